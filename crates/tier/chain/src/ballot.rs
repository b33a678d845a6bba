//! Ballots of the agreement on views, and the promises and acceptances that an acceptor records.
//!
//! Lamport, Paxos Made Simple (2001), section 2.2: a ballot is a proposal number. An acceptor stores the highest
//! ballot that it has promised and the proposal with the highest ballot that it has accepted. Both are synced to
//! its disk ([`Durable`](crate::Durable)) before it reports them.

use speedy::{Readable, Writable};

use crate::view::{MemberId, View};

/// Number of a proposal, unique to its proposer. Ballots are ordered by round, then by proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Ballot {
    /// Round of the proposal; a proposer chooses a round above every one that it has observed.
    pub round: u64,
    /// Member that proposes; orders ballots of the same round.
    pub proposer: MemberId,
}

/// An acceptor's promise to accept no proposal below `ballot` in the instance of `epoch`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Promise {
    /// Epoch of the current view; the instance decides the view after it. The promise seals this epoch at the
    /// acceptor.
    pub epoch: u64,
    /// Lowest ballot that the acceptor may still accept. Must never decrease within an epoch.
    pub ballot: Ballot,
}

/// A proposal that an acceptor has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Accepted {
    /// Ballot of the proposal; must not be below the acceptor's promise when it is accepted.
    pub ballot: Ballot,
    /// The proposed view. Its epoch must be one above that of the current view.
    pub view: View,
}
