//! A draining or departed replica is sent no new part after the grace period.

use crate::support::{NODE, broken_rules, requested, sent_at};
use rstest::rstest;
use woadreach_invariants::{EventKind, Rule};

fn listed(ready: bool) -> EventKind {
    EventKind::ReplicaListed {
        node: NODE,
        replica: "a".into(),
        ready,
    }
}

#[rstest]
#[case::within_grace(vec![(0.0, listed(false)), (0.5, sent_at(0, "a", 0.5))], &[])]
#[case::after_grace(vec![(0.0, listed(false)), (0.6, sent_at(0, "a", 0.6))], &[Rule::DrainRespected])]
#[case::grace_starts_at_first_listing(
    vec![(0.0, listed(false)), (0.4, listed(false)), (0.6, sent_at(0, "a", 0.6))],
    &[Rule::DrainRespected]
)]
#[case::ready_again(vec![(0.0, listed(false)), (0.4, listed(true)), (0.6, sent_at(0, "a", 0.6))], &[])]
#[case::other_replica(vec![(0.0, listed(false)), (0.6, sent_at(0, "b", 0.6))], &[])]
#[case::coordinator_restarted(
    vec![(0.0, listed(false)), (0.1, EventKind::CoordinatorStarted { node: NODE }), (0.6, sent_at(0, "a", 0.6))],
    &[]
)]
fn drains(#[case] events: Vec<(f64, EventKind)>, #[case] expected: &[Rule]) {
    assert_eq!(
        broken_rules([vec![(0.0, requested(0))], events].concat(), 0.7),
        expected
    );
}
