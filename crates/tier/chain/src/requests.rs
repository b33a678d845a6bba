//! Requests to the head that are pending until the chain has confirmed what the reply is based on: the first
//! and the last step of a change at the head.
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

/// The reply that a pending request gets once what it waits for is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// [`Reply::Committed`].
    Committed,
    /// [`Reply::AlreadyCommitted`].
    AlreadyCommitted,
    /// [`Reply::Rejected`].
    Rejected(Rejection),
    /// [`Reply::Configuration`], with the configuration that is committed by then.
    Configuration,
    /// [`Reply::Confirmed`].
    Confirmed,
}

/// A request that waits for the chain.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// The reply that it gets.
    pub outcome: Outcome,
    /// Position of the last write that must be committed first.
    pub position: WritePosition,
    /// Number of the barrier that must be confirmed first, if the reply needs one.
    pub barrier: Option<u64>,
}

impl PendingRequest {
    /// Whether it waits for nothing beyond `committed` and `confirmed_barrier`.
    fn is_resolved(&self, committed: WritePosition, confirmed_barrier: u64) -> bool {
        self.position <= committed
            && self
                .barrier
                .is_none_or(|barrier| barrier <= confirmed_barrier)
    }

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

/// The pending requests of a head.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRequests {
    pending: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Adds a request. A rejection and a read must have a barrier that began after the request arrived.
    pub(crate) fn add(&mut self, id: RequestId, request: PendingRequest) {
        self.pending.insert(id, request);
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
        let resolved = self.pending.extract_if(.., |_, request| {
            request.is_resolved(committed.position, confirmed_barrier)
        });
        resolved
            .map(|(id, request)| (id, request.reply(committed)))
            .collect()
    }

    /// Lets every request that waits for a barrier wait for `barrier`. Must be called when the head stays
    /// head in a new epoch, since barriers of the earlier epoch prove nothing there.
    pub(crate) fn renew_barriers(&mut self, barrier: u64) {
        let awaited = self
            .pending
            .values_mut()
            .filter_map(|request| request.barrier.as_mut());
        awaited.for_each(|awaited| *awaited = barrier);
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
