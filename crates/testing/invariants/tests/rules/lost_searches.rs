//! Each search gets one final answer by its deadline, and nothing is sent after it.

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
#[case::too_late(vec![(1.2, shed())], 9.0, &[Rule::NoSearchLost])]
#[case::never(vec![], 9.0, &[Rule::NoSearchLost])]
#[case::not_yet(vec![], 1.0, &[])]
#[case::client_left(vec![(0.5, EventKind::ClientDisconnected { search: "s".into() })], 9.0, &[])]
#[case::killed(vec![(0.5, EventKind::CoordinatorKilled { node: NODE })], 9.0, &[])]
#[case::ended_by_itself(vec![(0.5, EventKind::CoordinatorEnded { node: NODE })], 9.0, &[Rule::NoSearchLost])]
#[case::stood_still(vec![(0.5, EventKind::Stalled { node: NODE, seconds: 1.0 })], 9.0, &[])]
#[case::twice(vec![(0.5, shed()), (0.6, shed())], 9.0, &[Rule::NoSearchLost])]
#[case::dropped_untouched(vec![(0.5, EventKind::ConnectionClosed { search: "s".into() })], 9.0, &[])]
#[case::dropped_when_sent_on(
    vec![(0.1, sent_at(0, "a", 0.1)), (0.5, EventKind::ConnectionClosed { search: "s".into() })],
    9.0,
    &[Rule::NoSearchLost]
)]
#[case::sent_on_after(vec![(0.5, shed()), (0.6, sent_at(0, "a", 0.501))], 9.0, &[Rule::NoSearchLost])]
#[case::read_after_but_came_before(vec![(0.5, shed()), (0.6, sent_at(0, "a", 0.499))], 9.0, &[])]
#[case::held_back_on_its_way(
    vec![
        (0.1, link_blocked(true)),
        (0.5, shed()),
        (0.8, link_blocked(false)),
        (0.85, sent_at(0, "a", 0.85)),
    ],
    9.0,
    &[]
)]
#[case::long_after_its_way_was_free(
    vec![
        (0.1, link_blocked(true)),
        (0.5, shed()),
        (0.8, link_blocked(false)),
        (1.5, sent_at(0, "a", 1.5)),
    ],
    9.0,
    &[Rule::NoSearchLost]
)]
#[case::no_such_shard(vec![(0.1, sent_at(7, "a", 0.1)), (0.5, shed())], 9.0, &[Rule::NoSearchLost])]
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
