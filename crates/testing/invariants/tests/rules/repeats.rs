//! A part runs again only if its query type allows it.

use crate::support::{NODE, broken_rules, part, requested, sent_at, shed};
use rstest::rstest;
use woadreach_invariants::{EventKind, Rule};

fn rejected(shard: u64) -> EventKind {
    EventKind::PartRejected {
        node: NODE,
        replica: "a".into(),
        part: part(shard, false),
    }
}

#[rstest]
#[case::idempotent(0, vec![(0.1, sent_at(0, "a", 0.1)), (0.2, sent_at(0, "b", 0.2))], &[])]
#[case::non_idempotent(1, vec![(0.1, sent_at(0, "a", 0.1)), (0.2, sent_at(0, "b", 0.2))], &[Rule::NoEffectTwice])]
#[case::non_idempotent_rejected(
    1,
    vec![(0.1, sent_at(0, "a", 0.1)), (0.15, rejected(0)), (0.2, sent_at(0, "b", 0.2))],
    &[]
)]
#[case::shed_after_sent(1, vec![(0.1, sent_at(0, "a", 0.1)), (0.2, shed())], &[Rule::NoEffectTwice])]
#[case::shed_after_rejected(
    1,
    vec![(0.1, sent_at(0, "a", 0.1)), (0.15, rejected(0)), (0.2, shed())],
    &[]
)]
#[case::token_same_replica(2, vec![(0.1, sent_at(0, "a", 0.1)), (0.9, sent_at(0, "a", 0.9))], &[])]
#[case::token_other_replica(
    2,
    vec![(0.1, sent_at(0, "a", 0.1)), (0.9, sent_at(0, "b", 0.9))],
    &[Rule::NoEffectTwice]
)]
#[case::token_window_expired(
    2,
    vec![(-0.5, sent_at(0, "a", -0.5)), (0.9, sent_at(0, "a", 0.9))],
    &[Rule::NoEffectTwice]
)]
fn no_effect_twice(
    #[case] query_type: usize,
    #[case] events: Vec<(f64, EventKind)>,
    #[case] expected: &[Rule],
) {
    assert_eq!(
        broken_rules([vec![(-1.0, requested(query_type))], events].concat(), 0.0),
        expected
    );
}
