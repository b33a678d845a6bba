//! State table of one request, from its complete reading to its end.
//!
//! | from | change | to |
//! | --- | --- | --- |
//! | `Preparing` | [`RequestProgress::admitted`] | `Waiting` |
//! | `Waiting`, `InFlight`, `Streaming` | [`RequestProgress::sent`] | `InFlight`, or `Streaming` if a stream broke off |
//! | `InFlight`, `Streaming` | [`RequestProgress::attempt_ended`] | `Waiting` if no attempt is in flight; `Streaming` stays |
//! | `InFlight`, `Streaming` | [`RequestProgress::stream_started`] | `Streaming` |
//! | `Streaming` | [`RequestProgress::committing`] | `Committing` |
//! | any but `Ended` | [`RequestProgress::end`] | `Ended` |
//!
//! The table also tracks which attempt's stream is being forwarded. While there is one, no other attempt is sent and no
//! other stream starts: the position from which an attempt resumes must not move while the attempt is in flight.
//! Otherwise a client would get events of two runs of which the second was not asked to go on after the first.
//!
//! The table also tracks whether the request may have run. An end that states that it has not run becomes one
//! that does not state it, when it may have: otherwise a client would repeat what must not run twice.

use crate::mutations::{Mutation, is_mutated};
use snafu::Snafu;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its stored turns are being loaded and its budget is being reserved.
    Preparing,
    /// No attempt is in flight.
    Waiting,
    /// At least one attempt is in flight.
    InFlight,
    /// A replica has started a stream.
    Streaming,
    /// All events have been forwarded; the turn is being made durable.
    Committing,
    /// It has ended.
    Ended(RequestEnd),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestEnd {
    /// A replica's complete response was forwarded.
    Answered,
    /// A replica's own error response was forwarded.
    ReplicaFailure,
    /// 503 with `Retry-After`: it has not run and never will, or it is idempotent and may be repeated.
    Refused,
    /// 504: its deadline has passed and it may have run.
    TimedOut,
    /// 502: it may have run and may not be repeated.
    MayHaveRun,
    /// 402: the program's budget is spent; it has not run.
    BudgetSpent,
    /// 404: the turn that it continues does not exist.
    UnknownTurn,
    /// The response was truncated after its head had been sent.
    Aborted,
    /// The client disconnected before its response was complete.
    ClientDisconnected,
}

/// A transition that the table does not name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a request in state {state:?} cannot take the change `{change}`"))]
pub struct InvalidTransition {
    /// The request's state.
    pub state: RequestState,
    /// The transition.
    pub change: &'static str,
}

/// Whether a replica may have run an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It may have run, or may still run.
    MayHaveRun,
    /// It has not run and never will.
    HasNotRun,
}

/// State of one request, its attempts in flight, and whether it may have run.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    state: RequestState,
    /// Whether it may run more than once.
    idempotent: bool,
    /// Whether an attempt that has ended, or one with a stream, may have run. Must stay `true` once set.
    ended_attempt_may_have_run: bool,
    /// Numbers of the attempts that were sent and have not ended.
    in_flight: Vec<u32>,
    /// The attempt in flight whose stream is being forwarded.
    streaming: Option<u32>,
}

impl RequestProgress {
    /// The state of a request that has just been read; `idempotent` if it may run more than once.
    pub fn new(idempotent: bool) -> Self {
        RequestProgress {
            state: RequestState::Preparing,
            idempotent,
            ended_attempt_may_have_run: false,
            in_flight: Vec::new(),
            streaming: None,
        }
    }

    /// The state it is in.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Whether a replica may have run it, or may still run it.
    pub fn may_have_run(&self) -> bool {
        self.ended_attempt_may_have_run || !self.in_flight.is_empty()
    }

    /// The attempt in flight whose stream is being forwarded.
    pub fn streaming(&self) -> Option<u32> {
        self.streaming
    }

    /// Whether this attempt was sent and has not ended.
    pub fn is_in_flight(&self, attempt: u32) -> bool {
        self.in_flight.contains(&attempt)
    }

    /// The request is prepared and may be sent.
    ///
    /// # Errors
    ///
    /// [`InvalidTransition`] unless it was `Preparing`.
    pub fn admitted(&mut self) -> Result<(), InvalidTransition> {
        match self.state {
            RequestState::Preparing => self.enter(RequestState::Waiting),
            _ => self.invalid("admitted"),
        }
    }

    /// The attempt of this number is sent.
    ///
    /// # Errors
    ///
    /// [`InvalidTransition`] if the table does not name it, the attempt is in flight already, a stream is being
    /// forwarded, or the request may have run and is not idempotent.
    pub fn sent(&mut self, attempt: u32) -> Result<(), InvalidTransition> {
        let next = match self.state {
            RequestState::Waiting | RequestState::InFlight => RequestState::InFlight,
            RequestState::Streaming => RequestState::Streaming,
            _ => return self.invalid("sent"),
        };
        if self.may_have_run() && !self.idempotent {
            return self.invalid("sent again");
        }
        if self.is_forwarding_stream() || self.is_in_flight(attempt) {
            return self.invalid("sent beside a stream or twice");
        }
        self.in_flight.push(attempt);
        self.enter(next)
    }

    /// This attempt has ended.
    ///
    /// # Errors
    ///
    /// [`InvalidTransition`] if it is not in flight.
    pub fn attempt_ended(
        &mut self,
        attempt: u32,
        execution: Execution,
    ) -> Result<(), InvalidTransition> {
        let next = match self.state {
            _ if !self.is_in_flight(attempt) => return self.invalid("attempt_ended"),
            RequestState::InFlight if self.in_flight.len() == 1 => RequestState::Waiting,
            RequestState::InFlight | RequestState::Streaming => self.state,
            _ => return self.invalid("attempt_ended"),
        };
        self.in_flight.retain(|in_flight| *in_flight != attempt);
        self.streaming = self.streaming.filter(|streaming| *streaming != attempt);
        self.ended_attempt_may_have_run |= execution == Execution::MayHaveRun;
        self.enter(next)
    }

    /// The replica of this attempt has started a stream, which is forwarded from now on.
    ///
    /// # Errors
    ///
    /// [`InvalidTransition`] if the attempt is not in flight, or a stream is being forwarded.
    pub fn stream_started(&mut self, attempt: u32) -> Result<(), InvalidTransition> {
        match self.state {
            _ if self.is_forwarding_stream() || !self.is_in_flight(attempt) => {
                self.invalid("stream_started")
            }
            RequestState::InFlight | RequestState::Streaming => {
                self.ended_attempt_may_have_run = true;
                self.streaming = Some(attempt);
                self.enter(RequestState::Streaming)
            }
            _ => self.invalid("stream_started"),
        }
    }

    /// All events have been forwarded and the turn is to be made durable.
    ///
    /// # Errors
    ///
    /// [`InvalidTransition`] unless it was `Streaming`.
    pub fn committing(&mut self) -> Result<(), InvalidTransition> {
        match self.state {
            RequestState::Streaming => self.enter(RequestState::Committing),
            _ => self.invalid("committing"),
        }
    }

    /// The request ends. Returns `wanted`, or the end that is true of this request instead.
    ///
    /// # Errors
    ///
    /// [`InvalidTransition`] if it has ended before.
    pub fn end(&mut self, wanted: RequestEnd) -> Result<RequestEnd, InvalidTransition> {
        if matches!(self.state, RequestState::Ended(_)) {
            return Err(InvalidTransition {
                state: self.state,
                change: "end",
            });
        }
        let ran = self.may_have_run();
        let end = match wanted {
            RequestEnd::Refused if ran && !self.idempotent => RequestEnd::MayHaveRun,
            RequestEnd::BudgetSpent | RequestEnd::UnknownTurn if ran => RequestEnd::MayHaveRun,
            RequestEnd::TimedOut | RequestEnd::MayHaveRun if !ran => RequestEnd::Refused,
            other => other,
        };
        self.state = RequestState::Ended(end);
        Ok(end)
    }

    fn is_forwarding_stream(&self) -> bool {
        self.streaming.is_some() && !is_mutated(Mutation::ForwardAbortedStream)
    }

    fn enter(&mut self, state: RequestState) -> Result<(), InvalidTransition> {
        self.state = state;
        Ok(())
    }

    fn invalid(&self, change: &'static str) -> Result<(), InvalidTransition> {
        Err(InvalidTransition {
            state: self.state,
            change,
        })
    }
}
