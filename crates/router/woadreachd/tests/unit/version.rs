//! Which lists are accepted: tables of versions, without a network.

use super::*;
use crate::events::Lifecycle;
use rstest::rstest;
use std::net::SocketAddr;

const CURRENT: u64 = 42;

fn entry(id: &str, lifecycle: Lifecycle) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 8443));
    Endpoint {
        id: id.into(),
        address,
        zone: "z".into(),
        cell: 0,
        lifecycle,
        started_at: 0.0,
    }
}

fn list(generation: u64, full: bool, entries: &[Endpoint]) -> EndpointList {
    EndpointList {
        generation,
        full,
        entries: entries.to_vec(),
    }
}

/// Has a complete list of two replicas that are ready.
fn with_full_list() -> ListVersion {
    let mut version = ListVersion::new(None);
    let entries = [entry("a", Lifecycle::Ready), entry("b", Lifecycle::Ready)];
    assert_eq!(
        version.check(&list(CURRENT, true, &entries)),
        ListDecision::Accept
    );
    version
}

#[rstest]
#[case::next_change(CURRENT + 1, false, &[entry("a", Lifecycle::Draining)], ListDecision::Accept, CURRENT + 1)]
#[case::later_list(CURRENT + 9, true, &[], ListDecision::Accept, CURRENT + 9)]
#[case::nothing_new(CURRENT, false, &[], ListDecision::Accept, CURRENT)]
#[case::the_same_in_another_order(
    CURRENT, true, &[entry("b", Lifecycle::Ready), entry("a", Lifecycle::Ready)], ListDecision::Accept, CURRENT
)]
#[case::the_same_version_drains_one(
    CURRENT, true, &[entry("a", Lifecycle::Draining), entry("b", Lifecycle::Ready)],
    ListDecision::AcceptOtherEntries, CURRENT
)]
#[case::the_same_version_leaves_one_out(
    CURRENT, true, &[entry("a", Lifecycle::Ready)], ListDecision::AcceptOtherEntries, CURRENT
)]
#[case::a_change_of_the_same_version(
    CURRENT, false, &[entry("a", Lifecycle::Draining)], ListDecision::AcceptOtherEntries, CURRENT
)]
#[case::older_list(CURRENT - 1, true, &[entry("a", Lifecycle::Ready)], ListDecision::IgnoreOlder, CURRENT)]
#[case::older_change(CURRENT - 1, false, &[entry("a", Lifecycle::Ready)], ListDecision::Lost, CURRENT)]
fn decisions_by_version(
    #[case] generation: u64,
    #[case] full: bool,
    #[case] entries: &[Endpoint],
    #[case] expected: ListDecision,
    #[case] current: u64,
) {
    let mut version = with_full_list();
    assert_eq!(version.check(&list(generation, full, entries)), expected);
    assert_eq!(version.generation(), Some(current));
}

/// Entries that came as changes are not compared: a whole list may leave out what drains.
#[test]
fn a_list_after_changes_is_accepted() {
    let mut version = with_full_list();
    version.check(&list(
        CURRENT + 1,
        false,
        &[entry("a", Lifecycle::Draining)],
    ));
    let without = list(CURRENT + 1, true, &[entry("b", Lifecycle::Ready)]);
    assert_eq!(version.check(&without), ListDecision::Accept);
}

/// A list that was put together long ago comes once; the next one is what the agent has, also where its
/// versions have begun anew.
#[test]
fn an_older_list_twice() {
    let mut version = with_full_list();
    let older = list(3, true, &[]);
    assert_eq!(version.check(&older), ListDecision::IgnoreOlder);
    assert_eq!(version.check(&older), ListDecision::AcceptOlder);
    assert_eq!(version.generation(), Some(3));
}

/// Anything that is taken in between ends the doubt.
#[test]
fn an_older_list_now_and_then() {
    let mut version = with_full_list();
    for _ in 0..3 {
        assert_eq!(
            version.check(&list(3, true, &[])),
            ListDecision::IgnoreOlder
        );
        assert_eq!(
            version.check(&list(CURRENT, false, &[])),
            ListDecision::Accept
        );
    }
}

/// After something that was lost or could not be read, the next whole list counts.
#[rstest]
#[case::unreadable(None)]
#[case::an_older_change(Some(CURRENT - 1))]
fn an_older_list_where_the_current_one_is_in_doubt(#[case] change: Option<u64>) {
    let mut version = with_full_list();
    match change {
        Some(generation) => assert_eq!(
            version.check(&list(generation, false, &[])),
            ListDecision::Lost
        ),
        None => version.doubt(),
    }
    assert_eq!(
        version.check(&list(CURRENT - 1, true, &[])),
        ListDecision::AcceptOlder
    );
}
