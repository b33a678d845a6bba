//! The states of a request from the end of its reading to its answer.
//!
//! | from | change | to |
//! | --- | --- | --- |
//! | `Preparing` | [`RequestProgress::admitted`] | `Waiting` |
//! | `Waiting`, `InFlight`, `Streaming` | [`RequestProgress::sent`] | `InFlight`, or `Streaming` if a stream was cut |
//! | `InFlight`, `Streaming` | [`RequestProgress::attempt_ended`] | `Waiting` if nothing is out, unless it streams |
//! | `InFlight`, `Streaming` | [`RequestProgress::stream_began`] | `Streaming` |
//! | `Streaming` | [`RequestProgress::committing`] | `Committing` |
//! | any but `Ended` | [`RequestProgress::end`] | `Ended` |
//!
//! The machine also knows whether the request may have run; an end that promises that it has not is turned
//! into one that promises nothing when it may have.

use snafu::Snafu;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its chain is looked up and its budget reserved.
    Preparing,
    /// Nothing of it is out at a replica.
    Waiting,
    /// At least one attempt is out.
    InFlight,
    /// The head of a stream has been passed on, or is about to be.
    Streaming,
    /// All events have been passed on; the turn is being made durable.
    Committing,
    /// It is over.
    Ended(RequestEnd),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestEnd {
    /// A replica's whole answer was passed on.
    Answered,
    /// A replica's own failure was passed on.
    ReplicaFailure,
    /// 503 with `Retry-After`: it has not run and never will.
    Refused,
    /// 504: its time is over and it may have run.
    TimedOut,
    /// 502: it may have run and may not be repeated.
    MayHaveRun,
    /// 402: the program's budget is spent; it has not run.
    BudgetSpent,
    /// 404: the turn that it goes on from does not exist.
    UnknownTurn,
    /// The client's connection was cut in the middle of a stream.
    Aborted,
    /// The client has gone.
    ClientGone,
}

/// A change that the table does not name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a request in state {state:?} cannot take the change `{change}`"))]
pub struct StateError {
    /// The state it is in.
    pub state: RequestState,
    /// The change.
    pub change: &'static str,
}

/// State of one request, and what may have run.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    state: RequestState,
    repeatable: bool,
    may_have_run: bool,
    out: u32,
}

impl RequestProgress {
    /// A request that has been read whole; `repeatable` if it may run more than once.
    pub fn new(repeatable: bool) -> Self {
        RequestProgress {
            state: RequestState::Preparing,
            repeatable,
            may_have_run: false,
            out: 0,
        }
    }

    /// Where it is.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Whether a replica may have run it, or may run it still.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.out > 0
    }

    /// It is ready to be sent.
    pub fn admitted(&mut self) -> Result<(), StateError> {
        match self.state {
            RequestState::Preparing => self.become_state(RequestState::Waiting),
            _ => self.refuse("admitted"),
        }
    }

    /// An attempt goes out.
    pub fn sent(&mut self) -> Result<(), StateError> {
        let next = match self.state {
            RequestState::Waiting | RequestState::InFlight => RequestState::InFlight,
            RequestState::Streaming => RequestState::Streaming,
            _ => return self.refuse("sent"),
        };
        if self.may_have_run() && !self.repeatable {
            return self.refuse("sent again");
        }
        self.out += 1;
        self.become_state(next)
    }

    /// An attempt is over; `has_not_run` if the replica cannot have run it.
    pub fn attempt_ended(&mut self, has_not_run: bool) -> Result<(), StateError> {
        let next = match self.state {
            _ if self.out == 0 => return self.refuse("attempt_ended"),
            RequestState::InFlight if self.out == 1 => RequestState::Waiting,
            RequestState::InFlight | RequestState::Streaming => self.state,
            _ => return self.refuse("attempt_ended"),
        };
        self.out -= 1;
        self.may_have_run |= !has_not_run;
        self.become_state(next)
    }

    /// A replica has begun a stream.
    pub fn stream_began(&mut self) -> Result<(), StateError> {
        match self.state {
            RequestState::InFlight | RequestState::Streaming => {
                self.may_have_run = true;
                self.become_state(RequestState::Streaming)
            }
            _ => self.refuse("stream_began"),
        }
    }

    /// All events are out and the turn is to be made durable.
    pub fn committing(&mut self) -> Result<(), StateError> {
        match self.state {
            RequestState::Streaming => self.become_state(RequestState::Committing),
            _ => self.refuse("committing"),
        }
    }

    /// It ends. A promise that cannot be kept becomes an end without one.
    pub fn end(&mut self, wanted: RequestEnd) -> Result<RequestEnd, StateError> {
        if matches!(self.state, RequestState::Ended(_)) {
            return Err(StateError {
                state: self.state,
                change: "end",
            });
        }
        let ran = self.may_have_run();
        let end = match wanted {
            RequestEnd::Refused if ran && !self.repeatable => RequestEnd::MayHaveRun,
            RequestEnd::BudgetSpent | RequestEnd::UnknownTurn if ran => RequestEnd::MayHaveRun,
            RequestEnd::TimedOut | RequestEnd::MayHaveRun if !ran => RequestEnd::Refused,
            other => other,
        };
        self.state = RequestState::Ended(end);
        Ok(end)
    }

    fn become_state(&mut self, state: RequestState) -> Result<(), StateError> {
        self.state = state;
        Ok(())
    }

    fn refuse(&self, change: &'static str) -> Result<(), StateError> {
        Err(StateError {
            state: self.state,
            change,
        })
    }
}
