//! Proposal numbers of the agreement on views, and what an acceptor records under them.
//!
//! Lamport, Paxos Made Simple (2001), section 2.2: a ballot is a proposal number; an acceptor keeps the
//! highest one that it has promised and the proposal with the highest number that it has accepted. Both are
//! on its disk ([`Durable`](crate::Durable)) before it reports them.

use speedy::{Readable, Writable};

use crate::view::{MemberId, View};

/// Number of a proposal, unique to its proposer. Ballots are ordered by round, then by proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Ballot {
    /// Counts the proposals of one instance; a proposer takes one above every round that it has seen.
    pub round: u64,
    /// Member that makes the proposal; breaks ties between equal rounds.
    pub proposer: MemberId,
}

/// An acceptor's promise to accept no proposal below `ballot` in the instance of `epoch`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Promise {
    /// Epoch whose successor is being decided. The promise seals this epoch at the acceptor.
    pub epoch: u64,
    /// Lowest ballot that the acceptor may still accept. Must never decrease within an epoch.
    pub ballot: Ballot,
}

/// A proposal that an acceptor has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Accepted {
    /// Ballot of the proposal; must not be below the acceptor's promise when it is accepted.
    pub ballot: Ballot,
    /// The proposed view. Its epoch must be one above that of the view in force.
    pub view: View,
}
