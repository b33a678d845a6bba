//! Pending requests at the head. A request is pending until the chain has confirmed the state on which its
//! reply is based.
//!
//! A reply is sent only once every write on which it is based is committed. A rejection and a read also need a
//! barrier that began after the request was received and that every member of the chain has forwarded in the
//! current epoch. Before a later epoch can commit anything, a member of this chain must seal this epoch, and a
//! member that has sealed the epoch forwards no barrier of it. So the head's state was still the newest when
//! that member forwarded the barrier.

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
    /// The command was not applied now. A duplicate of it may be applied later or may have been applied earlier.
    Undecided(Undecided),
    /// The newest committed configuration, if there is one.
    Configuration(Option<StoredConfiguration>),
    /// The published state was the newest at some time after the request was received.
    Confirmed,
    /// This member is not the head, or it stopped being the head before it could answer. The command may or
    /// may not be applied.
    Unavailable,
}

/// The reply to a pending request, sent once the state on which it is based is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// [`Reply::Committed`].
    Committed,
    /// [`Reply::AlreadyCommitted`].
    AlreadyCommitted,
    /// [`Reply::Rejected`].
    Rejected(Rejection),
    /// [`Reply::Configuration`], with the configuration that is committed when the reply is sent.
    Configuration,
    /// [`Reply::Confirmed`].
    Confirmed,
}

/// A request whose reply depends on a commit or a barrier.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// The reply to send.
    pub outcome: Outcome,
    /// Position of the last write that must be committed before the reply is sent.
    pub position: WritePosition,
    /// Number of the barrier that must be confirmed before the reply is sent; `None` if it needs none.
    pub barrier: Option<u64>,
}

impl PendingRequest {
    /// Whether the reply can be sent once every write up to `committed` is committed and every barrier up to
    /// `confirmed_barrier` is confirmed.
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
    /// Adds a request. A rejection and a read must have a barrier that began after the request was received.
    pub(crate) fn add(&mut self, id: RequestId, request: PendingRequest) {
        self.pending.insert(id, request);
    }

    /// Whether no request is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes the requests that can be answered, and returns them with their replies. `committed` is the
    /// newest committed state; `confirmed_barrier` is the newest confirmed barrier of the head's current
    /// session, or 0 if that session has none.
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

    /// Replaces the barrier of every request that needs one by `barrier`. Must be called when the head remains
    /// head in a new epoch, since barriers of the earlier epoch prove nothing about the new one.
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
