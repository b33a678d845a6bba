//! Walks the states of a request beside an oracle that remembers what may have run.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use woadreach_proxy::request::state::{Execution, RequestEnd, RequestProgress, RequestState};

#[derive(Clone, Copy, Debug)]
enum Change {
    Admitted,
    Sent,
    EndedNotRun,
    EndedMaybeRun,
    StreamStarted,
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
            Change::EndedNotRun,
            Change::EndedMaybeRun,
            Change::StreamStarted,
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
    ended: Option<RequestEnd>,
}

impl Oracle {
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
            Change::Sent => progress.sent(),
            Change::EndedNotRun => progress.attempt_ended(Execution::HasNotRun),
            Change::EndedMaybeRun => progress.attempt_ended(Execution::MayHaveRun),
            Change::StreamStarted => progress.stream_started(),
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
                oracle.sends += 1;
            }
            Change::EndedNotRun => oracle.known_not_run += 1,
            Change::StreamStarted => oracle.streamed = true,
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
    progress.sent().expect("a first send");
    assert!(progress.sent().is_err());
    assert_eq!(
        progress.end(RequestEnd::Refused),
        Ok(RequestEnd::MayHaveRun)
    );
}

#[test]
fn an_unsafe_request_goes_elsewhere_after_a_promise_only() {
    let mut progress = RequestProgress::new(false);
    progress.admitted().expect("first change");
    progress.sent().expect("a first send");
    progress
        .attempt_ended(Execution::HasNotRun)
        .expect("it was out");
    progress.sent().expect("a second send after a promise");
    progress
        .attempt_ended(Execution::MayHaveRun)
        .expect("it was out");
    assert!(progress.sent().is_err());
}
