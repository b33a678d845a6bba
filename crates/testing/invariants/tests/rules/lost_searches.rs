//! Each search gets one final answer by its deadline, and no part is sent afterwards.

use crate::support::{NODE, broken_rules, requested, sent_at, shed};
use rstest::rstest;
use woadreach_invariants::{EventKind, Rule};

fn link_blocked(blocked: bool) -> EventKind {
    EventKind::LinkBlocked {
        replica: "a".into(),
        blocked,
    }
}

#[rstest]
#[case::answered_once(vec![(0.5, shed())], 9.0, &[])]
#[case::within_grace(vec![(1.09, shed())], 9.0, &[])]
#[case::answered_late(vec![(1.2, shed())], 9.0, &[Rule::NoSearchLost])]
#[case::never_answered(vec![], 9.0, &[Rule::NoSearchLost])]
#[case::not_yet_due(vec![], 1.0, &[])]
#[case::client_disconnected(vec![(0.5, EventKind::ClientDisconnected { search: "s".into() })], 9.0, &[])]
#[case::coordinator_killed(vec![(0.5, EventKind::CoordinatorKilled { node: NODE })], 9.0, &[])]
#[case::coordinator_exited(vec![(0.5, EventKind::CoordinatorEnded { node: NODE })], 9.0, &[Rule::NoSearchLost])]
#[case::coordinator_stalled(vec![(0.5, EventKind::Stalled { node: NODE, seconds: 1.0 })], 9.0, &[])]
#[case::answered_twice(vec![(0.5, shed()), (0.6, shed())], 9.0, &[Rule::NoSearchLost])]
#[case::closed_before_any_part(vec![(0.5, EventKind::ConnectionClosed { search: "s".into() })], 9.0, &[])]
#[case::closed_after_a_part(
    vec![(0.1, sent_at(0, "a", 0.1)), (0.5, EventKind::ConnectionClosed { search: "s".into() })],
    9.0,
    &[Rule::NoSearchLost]
)]
#[case::part_sent_after_answer(vec![(0.5, shed()), (0.6, sent_at(0, "a", 0.501))], 9.0, &[Rule::NoSearchLost])]
#[case::part_read_after_but_received_before_answer(vec![(0.5, shed()), (0.6, sent_at(0, "a", 0.499))], 9.0, &[])]
#[case::part_delayed_on_link(
    vec![
        (0.1, link_blocked(true)),
        (0.5, shed()),
        (0.8, link_blocked(false)),
        (0.85, sent_at(0, "a", 0.85)),
    ],
    9.0,
    &[]
)]
#[case::part_received_long_after_link_recovered(
    vec![
        (0.1, link_blocked(true)),
        (0.5, shed()),
        (0.8, link_blocked(false)),
        (1.5, sent_at(0, "a", 1.5)),
    ],
    9.0,
    &[Rule::NoSearchLost]
)]
#[case::shard_not_queried(vec![(0.1, sent_at(7, "a", 0.1)), (0.5, shed())], 9.0, &[Rule::NoSearchLost])]
fn no_search_lost(
    #[case] events: Vec<(f64, EventKind)>,
    #[case] until: f64,
    #[case] expected: &[Rule],
) {
    assert_eq!(
        broken_rules([vec![(0.0, requested(0))], events].concat(), until),
        expected
    );
}
