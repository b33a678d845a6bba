//! Retries and hedges stay within the retry budget.

use crate::support::{NODE, broken_rules, requested, sent_at};
use rstest::rstest;
use woadreach_invariants::{EventKind, Rule};

#[rstest]
#[case::one_retry(&[0.1, 0.2], &[])]
#[case::two_retries(&[0.1, 0.2, 0.3], &[Rule::Budget])]
fn budget(#[case] at: &[f64], #[case] expected: &[Rule]) {
    let sent = at.iter().map(|at| (*at, sent_at(0, "a", *at)));
    assert_eq!(
        broken_rules([(0.0, requested(0))].into_iter().chain(sent).collect(), 0.9),
        expected
    );
}

/// A suspended replica may read attempts of the previous process only after the co-ordinator has restarted. They are
/// not counted in the retry budget of the new process.
#[test]
fn attempts_of_the_previous_process_are_not_counted() {
    let late = [(0, 0.1), (0, 0.2), (0, 0.3)]
        .map(|(shard, received)| (0.6, sent_at(shard, "a", received)));
    let started = (0.5, EventKind::CoordinatorStarted { node: NODE });
    let now = (0.7, sent_at(0, "a", 0.7));
    let events = [(0.0, requested(0)), started]
        .into_iter()
        .chain(late)
        .chain([now])
        .collect();
    assert_eq!(broken_rules(events, 0.9), []);
}
