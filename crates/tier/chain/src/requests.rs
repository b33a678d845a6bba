//! Requests to the head that wait for the chain.
//!
//! A reply leaves only when everything on which it is based is committed. A refusal and a read also wait for
//! a barrier: a message that every member of the chain has passed on in the current epoch, after the request
//! came. Before another epoch can commit anything, one member of this chain must have sealed this epoch; so
//! at the moment at which that member passed the barrier on, this head's state was the newest.

use std::collections::BTreeMap;

use crate::blob::Blob;
use crate::state::{Command, ControlState, Rejection, Stamp, Undecided};

/// Number that the driver gives a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request to the head of the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Apply the command.
    Submit(Command),
    /// Give back the newest configuration.
    ReadConfiguration,
    /// Make sure that the published state is the newest.
    Confirm,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command is committed.
    Taken,
    /// The same change had been taken before; that is committed.
    AlreadyTaken,
    /// The command was not taken and never will be.
    Rejected(Rejection),
    /// The command was not taken now; nothing is promised.
    Undecided(Undecided),
    /// The newest configuration and its generation.
    Configuration(Option<(u64, Blob)>),
    /// The published state was the newest after the request came.
    Confirmed,
    /// This member isn't the head, or lost the role: nothing is promised.
    Unavailable,
}

/// What a waiting request becomes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Taken,
    AlreadyTaken,
    Rejected(Rejection),
    Configuration,
    Confirmed,
}

#[derive(Clone, Debug)]
struct Waiting {
    outcome: Outcome,
    /// State that must be committed.
    stamp: Stamp,
    /// Barrier that must be confirmed, 0 for none.
    barrier: u64,
}

/// Requests that wait for the chain.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRequests {
    waiting: BTreeMap<RequestId, Waiting>,
}

impl PendingRequests {
    /// Waits for the commit of a write that was just taken, or of one that was taken earlier.
    pub(crate) fn wait_for_commit(&mut self, id: RequestId, stamp: Stamp, is_new: bool) {
        let outcome = if is_new {
            Outcome::Taken
        } else {
            Outcome::AlreadyTaken
        };
        self.waiting.insert(
            id,
            Waiting {
                outcome,
                stamp,
                barrier: 0,
            },
        );
    }

    /// Waits until the state on which `rejection` is based is committed and was the newest.
    pub(crate) fn wait_for_rejection(
        &mut self,
        id: RequestId,
        rejection: Rejection,
        stamp: Stamp,
        barrier: u64,
    ) {
        self.waiting.insert(
            id,
            Waiting {
                outcome: Outcome::Rejected(rejection),
                stamp,
                barrier,
            },
        );
    }

    /// Waits until the committed state was the newest.
    pub(crate) fn wait_for_read(
        &mut self,
        id: RequestId,
        is_configuration: bool,
        stamp: Stamp,
        barrier: u64,
    ) {
        let outcome = if is_configuration {
            Outcome::Configuration
        } else {
            Outcome::Confirmed
        };
        self.waiting.insert(
            id,
            Waiting {
                outcome,
                stamp,
                barrier,
            },
        );
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes out the requests that need wait no longer, with their replies.
    pub(crate) fn resolve(
        &mut self,
        committed: &ControlState,
        confirmed_barrier: u64,
    ) -> Vec<(RequestId, Reply)> {
        let is_done = |waiting: &Waiting| {
            waiting.stamp <= committed.stamp && waiting.barrier <= confirmed_barrier
        };
        let done: Vec<RequestId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_done(waiting))
            .map(|(&id, _)| id)
            .collect();
        done.into_iter()
            .filter_map(|id| {
                self.waiting
                    .remove(&id)
                    .map(|waiting| (id, waiting.reply(committed)))
            })
            .collect()
    }

    /// In a new epoch of the same head: barriers of the earlier epoch prove nothing any more.
    pub(crate) fn renew_barriers(&mut self, barrier: u64) {
        for waiting in self
            .waiting
            .values_mut()
            .filter(|waiting| waiting.barrier > 0)
        {
            waiting.barrier = barrier;
        }
    }

    /// Takes out every request.
    pub(crate) fn drain(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting).into_keys().collect()
    }

    /// Takes out one request whose caller has gone.
    pub(crate) fn cancel(&mut self, id: RequestId) {
        self.waiting.remove(&id);
    }
}

impl Waiting {
    fn reply(self, committed: &ControlState) -> Reply {
        match self.outcome {
            Outcome::Taken => Reply::Taken,
            Outcome::AlreadyTaken => Reply::AlreadyTaken,
            Outcome::Rejected(rejection) => Reply::Rejected(rejection),
            Outcome::Confirmed => Reply::Confirmed,
            Outcome::Configuration => Reply::Configuration(
                committed
                    .configuration
                    .as_ref()
                    .map(|stored| (stored.generation, stored.body.clone())),
            ),
        }
    }
}
