//! Which lists are taken: tables of versions, without a network.

use super::*;
use crate::events::Lifecycle;
use rstest::rstest;
use std::net::SocketAddr;

const HELD: u64 = 42;

fn entry(id: &str, lifecycle: Lifecycle) -> Entry {
    let address = SocketAddr::from(([127, 0, 0, 1], 8443));
    Entry {
        id: id.into(),
        address,
        zone: "z".into(),
        cell: 0,
        lifecycle,
        started_at: 0.0,
    }
}

fn list(generation: u64, full: bool, entries: &[Entry]) -> List {
    List {
        generation,
        full,
        entries: entries.to_vec(),
    }
}

/// Holds a whole list of two replicas that are ready.
fn holding() -> Version {
    let mut version = Version::new(None);
    let entries = [entry("a", Lifecycle::Ready), entry("b", Lifecycle::Ready)];
    assert_eq!(version.judge(&list(HELD, true, &entries)), Judgement::Take);
    version
}

#[rstest]
#[case::next_change(HELD + 1, false, &[entry("a", Lifecycle::Draining)], Judgement::Take, HELD + 1)]
#[case::later_list(HELD + 9, true, &[], Judgement::Take, HELD + 9)]
#[case::nothing_new(HELD, false, &[], Judgement::Take, HELD)]
#[case::the_same_in_another_order(
    HELD, true, &[entry("b", Lifecycle::Ready), entry("a", Lifecycle::Ready)], Judgement::Take, HELD
)]
#[case::the_same_version_drains_one(
    HELD, true, &[entry("a", Lifecycle::Draining), entry("b", Lifecycle::Ready)],
    Judgement::TakeOtherEntries, HELD
)]
#[case::the_same_version_leaves_one_out(
    HELD, true, &[entry("a", Lifecycle::Ready)], Judgement::TakeOtherEntries, HELD
)]
#[case::a_change_of_the_same_version(
    HELD, false, &[entry("a", Lifecycle::Draining)], Judgement::TakeOtherEntries, HELD
)]
#[case::older_list(HELD - 1, true, &[entry("a", Lifecycle::Ready)], Judgement::IgnoreOlder, HELD)]
#[case::older_change(HELD - 1, false, &[entry("a", Lifecycle::Ready)], Judgement::Lost, HELD)]
fn judged(
    #[case] generation: u64,
    #[case] full: bool,
    #[case] entries: &[Entry],
    #[case] expected: Judgement,
    #[case] held: u64,
) {
    let mut version = holding();
    assert_eq!(version.judge(&list(generation, full, entries)), expected);
    assert_eq!(version.generation(), Some(held));
}

/// Entries that came as changes are not compared: a whole list may leave out what drains.
#[test]
fn a_list_after_changes_is_taken() {
    let mut version = holding();
    version.judge(&list(HELD + 1, false, &[entry("a", Lifecycle::Draining)]));
    let without = list(HELD + 1, true, &[entry("b", Lifecycle::Ready)]);
    assert_eq!(version.judge(&without), Judgement::Take);
}

/// A list that was put together long ago comes once; the next one is what the agent has, also where its
/// versions have begun anew.
#[test]
fn an_older_list_twice() {
    let mut version = holding();
    let older = list(3, true, &[]);
    assert_eq!(version.judge(&older), Judgement::IgnoreOlder);
    assert_eq!(version.judge(&older), Judgement::TakeOlder);
    assert_eq!(version.generation(), Some(3));
}

/// Anything that is taken in between ends the doubt.
#[test]
fn an_older_list_now_and_then() {
    let mut version = holding();
    for _ in 0..3 {
        assert_eq!(version.judge(&list(3, true, &[])), Judgement::IgnoreOlder);
        assert_eq!(version.judge(&list(HELD, false, &[])), Judgement::Take);
    }
}

/// After something that was lost or could not be read, the next whole list counts.
#[rstest]
#[case::unreadable(None)]
#[case::an_older_change(Some(HELD - 1))]
fn an_older_list_where_what_is_held_is_in_doubt(#[case] change: Option<u64>) {
    let mut version = holding();
    match change {
        Some(generation) => assert_eq!(
            version.judge(&list(generation, false, &[])),
            Judgement::Lost
        ),
        None => version.doubt(),
    }
    assert_eq!(
        version.judge(&list(HELD - 1, true, &[])),
        Judgement::TakeOlder
    );
}
