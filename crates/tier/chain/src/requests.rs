//! Requests to the head that are pending until the chain has confirmed what the reply is based on.
//!
//! A reply leaves only when everything on which it is based is committed. A rejection and a read also wait
//! for a barrier that began after the request arrived and has passed every member of the chain in the current
//! epoch. Before another epoch can commit anything, a member of this chain must seal this epoch. So when that
//! member forwarded the barrier, this head's state was still the newest.

use std::collections::BTreeMap;

use crate::state::{
    Command, ControlState, Rejection, StoredConfiguration, Undecided, WritePosition,
};

/// Number that the driver assigns to a request. Must be unique among the pending requests of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request to the head of the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Apply the command.
    Submit(Command),
    /// Return the newest committed configuration.
    ReadConfiguration,
    /// Confirm that the published state is the newest.
    Confirm,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command is committed.
    Committed,
    /// The same change was applied earlier, and that is committed.
    AlreadyCommitted,
    /// The command was not applied and never will be.
    Rejected(Rejection),
    /// The command was not applied now. A duplicate of it may be, or may have been.
    Undecided(Undecided),
    /// The newest committed configuration, if there is one.
    Configuration(Option<StoredConfiguration>),
    /// The published state was the newest at a moment after the request arrived.
    Confirmed,
    /// This member isn't the head, or has lost the role. Whether the command takes effect is unknown.
    Unavailable,
}

/// The reply that a pending request will get.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Committed,
    AlreadyCommitted,
    Rejected(Rejection),
    Configuration,
    Confirmed,
}

/// A pending request.
#[derive(Clone, Debug)]
struct PendingRequest {
    outcome: Outcome,
    /// Write that must be committed.
    position: WritePosition,
    /// Number of the barrier that must be confirmed; 0 for none.
    barrier: u64,
}

/// The pending requests of a head.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRequests {
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Adds a request that waits for the commit of `position`: of its own write if `is_new`, else of the state
    /// that contains the earlier one.
    pub(crate) fn wait_for_commit(&mut self, id: RequestId, position: WritePosition, is_new: bool) {
        let outcome = if is_new {
            Outcome::Committed
        } else {
            Outcome::AlreadyCommitted
        };
        self.pending.insert(
            id,
            PendingRequest {
                outcome,
                position,
                barrier: 0,
            },
        );
    }

    /// Adds a request that waits until the state on which `rejection` is based is committed and `barrier` is
    /// confirmed.
    pub(crate) fn wait_for_rejection(
        &mut self,
        id: RequestId,
        rejection: Rejection,
        position: WritePosition,
        barrier: u64,
    ) {
        self.pending.insert(
            id,
            PendingRequest {
                outcome: Outcome::Rejected(rejection),
                position,
                barrier,
            },
        );
    }

    /// Adds a read, or a confirmation, that waits for the commit of `position` and for `barrier`.
    pub(crate) fn wait_for_read(
        &mut self,
        id: RequestId,
        is_configuration: bool,
        position: WritePosition,
        barrier: u64,
    ) {
        let outcome = if is_configuration {
            Outcome::Configuration
        } else {
            Outcome::Confirmed
        };
        self.pending.insert(
            id,
            PendingRequest {
                outcome,
                position,
                barrier,
            },
        );
    }

    /// Whether no request is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes and returns the requests that wait for nothing beyond `committed` and `confirmed_barrier`,
    /// with their replies. `confirmed_barrier` must be of the head's current session, else 0.
    pub(crate) fn resolve(
        &mut self,
        committed: &ControlState,
        confirmed_barrier: u64,
    ) -> Vec<(RequestId, Reply)> {
        let is_done = |request: &PendingRequest| {
            request.position <= committed.position && request.barrier <= confirmed_barrier
        };
        let done: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, request)| is_done(request))
            .map(|(&id, _)| id)
            .collect();
        done.into_iter()
            .filter_map(|id| {
                self.pending
                    .remove(&id)
                    .map(|request| (id, request.reply(committed)))
            })
            .collect()
    }

    /// Lets every request that waits for a barrier wait for `barrier`. Must be called when the head stays
    /// head in a new epoch, since barriers of the earlier epoch prove nothing there.
    pub(crate) fn renew_barriers(&mut self, barrier: u64) {
        for request in self
            .pending
            .values_mut()
            .filter(|request| request.barrier > 0)
        {
            request.barrier = barrier;
        }
    }

    /// Removes and returns every request.
    pub(crate) fn drain(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.pending).into_keys().collect()
    }

    /// Removes a request whose caller has disconnected.
    pub(crate) fn cancel(&mut self, id: RequestId) {
        self.pending.remove(&id);
    }
}

impl PendingRequest {
    fn reply(self, committed: &ControlState) -> Reply {
        match self.outcome {
            Outcome::Committed => Reply::Committed,
            Outcome::AlreadyCommitted => Reply::AlreadyCommitted,
            Outcome::Rejected(rejection) => Reply::Rejected(rejection),
            Outcome::Confirmed => Reply::Confirmed,
            Outcome::Configuration => Reply::Configuration(committed.configuration.clone()),
        }
    }
}
