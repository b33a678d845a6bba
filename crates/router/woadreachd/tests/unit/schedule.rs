//! When discovery is called: tables of times, without a network.

use super::*;
use rstest::rstest;

const GRACE: f64 = 0.5;

/// A call that was opened.
#[derive(Debug, PartialEq)]
struct OpenedCall {
    /// Seconds after the turn began.
    at: f64,
    slot: Slot,
    request: Request,
}

/// Plays a turn in which nothing is answered; the calls that are opened up to `until`.
fn played(need: Need, drain_grace: f64, until: f64) -> Vec<OpenedCall> {
    let mut schedule = Schedule::new(0.0, need, call_interval(drain_grace));
    let mut now = 0.0;
    let mut calls = Vec::new();
    while now <= until {
        match schedule.next(now) {
            Action::Open(slot, request) => calls.push(OpenedCall {
                at: now,
                slot,
                request,
            }),
            Action::WaitUntil(time) => {
                assert!(time > now, "it goes on");
                now = time;
            }
            Action::GiveUp => break,
        }
    }
    calls
}

/// Whatever moment the agent returns at, a list is asked for within half of the drain grace after it.
#[rstest]
#[case::of_half_a_second(0.5)]
#[case::of_two_seconds(2.0)]
#[case::of_a_tenth(0.1)]
fn a_list_is_requested_within_half_a_drain_grace(
    #[case] drain_grace: f64,
    #[values(Need::Changes, Need::Resume, Need::FullList)] need: Need,
) {
    let calls = played(need, drain_grace, 9.9);
    let mut lists: Vec<f64> = calls
        .iter()
        .filter(|call| call.request == Request::FullList)
        .map(|call| call.at)
        .collect();
    lists.insert(0, 0.0);
    for pair in lists.windows(2) {
        let apart = pair[1] - pair[0];
        // The first two of a turn that begins with a watch are one interval apart too.
        assert!(apart <= drain_grace / 2.0 + 1e-9, "{pair:?}");
    }
    assert!(lists.last().is_some_and(|last| *last > 9.0));
}

/// A watch waits from early on where one can stand in for a whole list, and only there.
#[rstest]
#[case::nothing_missed(Need::Changes, Some((0.0, Slot::First)))]
#[case::after_a_timeout(Need::Resume, Some((GRACE, Slot::Resume)))]
#[case::list_in_force_may_be_wrong(Need::FullList, None)]
fn a_watch_waits_through_the_turn(#[case] need: Need, #[case] expected: Option<(f64, Slot)>) {
    let watches: Vec<(f64, Slot)> = played(need, GRACE, 20.0)
        .into_iter()
        .filter(|call| call.request == Request::Watch)
        .map(|call| (call.at, call.slot))
        .collect();
    assert_eq!(
        watches,
        Vec::from_iter(expected),
        "opened once and never replaced"
    );
}

/// A whole list goes first after silence: a new watch may be as dead as the one before.
#[test]
fn the_first_call_after_a_timeout_is_for_a_list() {
    assert_eq!(
        played(Need::Resume, GRACE, 0.0),
        [OpenedCall {
            at: 0.0,
            slot: Slot::First,
            request: Request::FullList
        }]
    );
}

/// Slow answers are waited for: one call for a second and more, one through the whole turn.
#[test]
fn some_calls_stay_open() {
    let opened = |wanted| -> Vec<f64> {
        played(Need::Resume, GRACE, 9.9)
            .into_iter()
            .filter(|call| call.slot == wanted)
            .map(|call| call.at)
            .collect()
    };
    assert_eq!(opened(Slot::First), [0.0]);
    let second = opened(Slot::Second);
    assert!(
        second
            .windows(2)
            .all(|pair| pair[1] - pair[0] >= HUNG_CALL_TIMEOUT - 1e-9),
        "{second:?}"
    );
    assert!(second.len() > 5);
}

#[test]
fn a_turn_times_out() {
    let mut schedule = Schedule::new(100.0, Need::Resume, call_interval(GRACE));
    assert_eq!(
        schedule.next(100.0),
        Action::Open(Slot::First, Request::FullList)
    );
    assert_eq!(schedule.next(100.0), Action::WaitUntil(100.0 + GRACE / 2.0));
    assert_eq!(schedule.next(110.0), Action::GiveUp);
}

/// A call that fails alone ends the turn; beside others it is made anew soon after.
#[test]
fn a_call_that_fails() {
    let mut schedule = Schedule::new(0.0, Need::Resume, call_interval(GRACE));
    assert_eq!(
        schedule.next(0.0),
        Action::Open(Slot::First, Request::FullList)
    );
    assert!(!schedule.failed(0.1, Slot::First), "nothing else is open");

    let mut schedule = Schedule::new(0.0, Need::Resume, call_interval(GRACE));
    assert_eq!(
        schedule.next(0.0),
        Action::Open(Slot::First, Request::FullList)
    );
    assert_eq!(
        schedule.next(0.25),
        Action::Open(Slot::Second, Request::FullList)
    );
    assert!(schedule.failed(0.25, Slot::First));
    assert_eq!(
        schedule.next(0.25),
        Action::WaitUntil(0.25 + RETRY_INTERVAL)
    );
    assert_eq!(
        schedule.next(0.25 + RETRY_INTERVAL),
        Action::Open(Slot::First, Request::FullList)
    );
}

#[rstest]
#[case::half_of_the_grace(0.5, 0.25)]
#[case::never_longer_than_a_call_may_hang(10.0, HUNG_CALL_TIMEOUT)]
#[case::no_busy_loop(0.0, MIN_INTERVAL)]
fn call_interval_of_a_drain_grace(#[case] drain_grace: f64, #[case] expected: f64) {
    assert_eq!(call_interval(drain_grace), expected);
}
