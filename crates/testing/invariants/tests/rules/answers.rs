//! Answers hold only values that replicas computed, and say correctly whether they are complete.

use crate::support::{COMPLETE, NODE, answered, broken_rules, part, requested};
use rstest::rstest;
use woadreach_invariants::{EventKind, Rule};

/// A part of the second step, with what it says of the first.
fn second_step_part(shard: u64, first_step_shards: &[u64], complete: bool) -> EventKind {
    EventKind::PartReceived {
        node: NODE,
        replica: "a".into(),
        part: part(shard, true),
        first_byte_at: 0.3,
        last_byte_at: 0.3,
        work: 0.1,
        first_step_shards: first_step_shards.to_vec(),
        first_step_complete: Some(complete),
    }
}

fn completed(shard: u64, second_step: bool) -> EventKind {
    EventKind::PartCompleted {
        node: NODE,
        replica: "a".into(),
        part: part(shard, second_step),
        value: format!("v{shard}{second_step}").into(),
    }
}

#[rstest]
#[case::whole(0, vec![completed(0, false), completed(1, false), answered(true, &COMPLETE)], &[])]
#[case::half(0, vec![completed(0, false), answered(false, &COMPLETE[..1])], &[])]
#[case::half_marked_whole(0, vec![completed(0, false), answered(true, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::under_the_floor(1, vec![completed(0, false), answered(false, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::nobody_made_it(0, vec![completed(0, false), answered(true, &COMPLETE)], &[Rule::HonestAnswers])]
#[case::twice(0, vec![completed(0, false), answered(false, &[COMPLETE[0], COMPLETE[0]])], &[Rule::HonestAnswers])]
#[case::before_the_second_step(3, vec![completed(0, false), answered(false, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::second_step(
    3,
    vec![
        completed(0, false),
        completed(1, false),
        second_step_part(0, &[0, 1], true),
        completed(0, true),
        answered(true, &[(0, "v0true")]),
    ],
    &[]
)]
#[case::second_step_of_a_half(
    3,
    vec![completed(0, false), second_step_part(0, &[0], false), completed(0, true), answered(true, &[(0, "v0true")])],
    &[Rule::HonestAnswers]
)]
#[case::names_one_that_is_not_in(3, vec![completed(0, false), second_step_part(0, &[0, 1], true)], &[Rule::HonestAnswers])]
#[case::fetches_what_is_not_in(3, vec![completed(0, false), second_step_part(1, &[0], false)], &[Rule::HonestAnswers])]
fn honest(#[case] query_type: usize, #[case] events: Vec<EventKind>, #[case] expected: &[Rule]) {
    let events = events.into_iter().map(|kind| (0.5, kind));
    assert_eq!(
        broken_rules(
            [(0.0, requested(query_type))]
                .into_iter()
                .chain(events)
                .collect(),
            0.9
        ),
        expected
    );
}
