//! Walks the states of a request beside an oracle that remembers what may have run.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;
use woadreach_proxy::request::state::{Execution, RequestEnd, RequestProgress, RequestState};

#[derive(Clone, Copy, Debug)]
enum Change {
    Admitted,
    /// The next attempt is sent.
    Sent,
    /// An attempt ends, selected modulo the number of sends and one more, which was never sent.
    Ended(u8, Execution),
    /// The stream of an attempt starts, selected in the same way.
    StreamStarted(u8),
    Committing,
    End(RequestEnd),
}

const REQUEST_ENDS: [RequestEnd; 9] = [
    RequestEnd::Answered,
    RequestEnd::ReplicaFailure,
    RequestEnd::Refused,
    RequestEnd::TimedOut,
    RequestEnd::MayHaveRun,
    RequestEnd::BudgetSpent,
    RequestEnd::UnknownTurn,
    RequestEnd::Aborted,
    RequestEnd::ClientDisconnected,
];

impl Arbitrary for Change {
    fn arbitrary(generator: &mut Gen) -> Self {
        let choices = [
            Change::Admitted,
            Change::Sent,
            Change::Sent,
            Change::Ended(u8::arbitrary(generator), Execution::HasNotRun),
            Change::Ended(u8::arbitrary(generator), Execution::MayHaveRun),
            Change::StreamStarted(u8::arbitrary(generator)),
            Change::Committing,
        ];
        match u8::arbitrary(generator) % 12 {
            0 => Change::End(*generator.choose(&REQUEST_ENDS).expect("there are ends")),
            _ => *generator.choose(&choices).expect("there are choices"),
        }
    }
}

/// What a reader of the rules would remember.
#[derive(Default)]
struct Oracle {
    sends: u32,
    known_not_run: u32,
    streamed: bool,
    in_flight: BTreeSet<u32>,
    /// The attempt whose stream is forwarded.
    streaming: Option<u32>,
    ended: Option<RequestEnd>,
}

impl Oracle {
    fn attempt(&self, selector: u8) -> u32 {
        u32::from(selector) % (self.sends + 1)
    }

    fn may_have_run(&self) -> bool {
        self.streamed || self.sends > self.known_not_run
    }
}

fn promises_not_run(end: RequestEnd) -> bool {
    matches!(
        end,
        RequestEnd::Refused | RequestEnd::BudgetSpent | RequestEnd::UnknownTurn
    )
}

fn keeps_the_rules(idempotent: bool, changes: Vec<Change>) -> bool {
    let mut progress = RequestProgress::new(idempotent);
    let mut oracle = Oracle::default();
    for change in changes {
        let before = progress.state();
        let ran_before = oracle.may_have_run();
        let taken = match change {
            Change::Admitted => progress.admitted(),
            Change::Sent => progress.sent(oracle.sends),
            Change::Ended(selector, execution) => {
                progress.attempt_ended(oracle.attempt(selector), execution)
            }
            Change::StreamStarted(selector) => progress.stream_started(oracle.attempt(selector)),
            Change::Committing => progress.committing(),
            Change::End(wanted) => progress.end(wanted).map(|end| oracle.ended = Some(end)),
        };
        if taken.is_err() {
            assert_eq!(progress.state(), before, "a refused change changes nothing");
            continue;
        }
        assert!(
            !matches!(before, RequestState::Ended(_)),
            "nothing follows an end"
        );
        match change {
            Change::Sent => {
                assert!(
                    idempotent || !ran_before,
                    "what may not be repeated is sent once"
                );
                assert_eq!(
                    oracle.streaming, None,
                    "nothing is sent while a stream is forwarded"
                );
                oracle.in_flight.insert(oracle.sends);
                oracle.sends += 1;
            }
            Change::Ended(selector, execution) => {
                let attempt = oracle.attempt(selector);
                assert!(oracle.in_flight.remove(&attempt), "an attempt ends once");
                oracle.streaming = oracle.streaming.filter(|streaming| *streaming != attempt);
                oracle.known_not_run += u32::from(execution == Execution::HasNotRun);
            }
            Change::StreamStarted(selector) => {
                let attempt = oracle.attempt(selector);
                assert!(oracle.in_flight.contains(&attempt), "an ended attempt");
                assert_eq!(oracle.streaming, None, "one stream is forwarded at a time");
                oracle.streaming = Some(attempt);
                oracle.streamed = true;
            }
            _ => {}
        }
        assert_eq!(progress.may_have_run(), oracle.may_have_run());
        if let Some(end) = oracle.ended {
            assert_eq!(progress.state(), RequestState::Ended(end));
            let false_promise = promises_not_run(end) && oracle.may_have_run();
            assert!(
                !false_promise || (idempotent && end == RequestEnd::Refused),
                "{end:?} is a promise"
            );
        }
    }
    true
}

#[test]
fn no_walk_breaks_a_promise_or_sends_twice() {
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(keeps_the_rules as fn(bool, Vec<Change>) -> bool);
}

#[test]
fn a_request_that_was_never_sent_is_refused_not_timed_out() {
    let mut progress = RequestProgress::new(false);
    progress.admitted().expect("first change");
    assert_eq!(progress.end(RequestEnd::TimedOut), Ok(RequestEnd::Refused));
}

#[test]
fn an_unsafe_request_that_is_out_is_never_refused() {
    let mut progress = RequestProgress::new(false);
    progress.admitted().expect("first change");
    progress.sent(0).expect("a first send");
    assert!(progress.sent(1).is_err());
    assert_eq!(
        progress.end(RequestEnd::Refused),
        Ok(RequestEnd::MayHaveRun)
    );
}

#[test]
fn an_unsafe_request_goes_elsewhere_after_a_promise_only() {
    let mut progress = RequestProgress::new(false);
    progress.admitted().expect("first change");
    progress.sent(0).expect("a first send");
    progress
        .attempt_ended(0, Execution::HasNotRun)
        .expect("it was out");
    progress.sent(1).expect("a second send after a promise");
    progress
        .attempt_ended(1, Execution::MayHaveRun)
        .expect("it was out");
    assert!(progress.sent(1).is_err());
}

/// Guards against a client getting events of two runs: the position at which the second attempt was sent would move
/// with the first one's stream.
#[test]
fn no_attempt_is_sent_and_no_stream_starts_beside_a_stream() {
    let mut progress = RequestProgress::new(true);
    progress.admitted().expect("first change");
    progress.sent(0).expect("a first send");
    progress.stream_started(0).expect("it is in flight");
    assert!(progress.sent(1).is_err());
    progress
        .attempt_ended(0, Execution::MayHaveRun)
        .expect("it was in flight");
    progress
        .sent(1)
        .expect("the first attempt's stream has ended");
    assert!(progress.stream_started(0).is_err(), "it has ended");
    progress.stream_started(1).expect("it is in flight");
}
