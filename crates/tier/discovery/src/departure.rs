//! When a replica's departure is acknowledged.
//!
//! The acknowledgement promises that no observer sends the replica a new request soon after. So it waits for
//! the other core machines, which have then answered their polls:
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | telling | every peer has answered | acknowledged |
//! | telling, [`ALL_PEERS_TIMEOUT`] have passed | a majority of the voters knows it | acknowledged |
//! | telling | [`MAJORITY_TIMEOUT`] have passed | unconfirmed: the replica is to ask another machine |
//!
//! Without a majority this machine may be cut off, with observers on the other side that do not hear of it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::ViewSummary;

/// How long all peers are waited for; then a majority of the voters suffices.
pub const ALL_PEERS_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a majority is waited for. A replica calls another machine after a second.
pub const MAJORITY_TIMEOUT: Duration = Duration::from_millis(700);

/// What is to be done about a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureDecision {
    /// Wait for answers, until then at most.
    Wait {
        /// When to look again.
        until: Duration,
    },
    /// Acknowledge it.
    Acknowledged,
    /// Answer that this machine cannot promise anything.
    Unconfirmed,
}

/// One departure that the peers are being told of.
#[derive(Clone, Debug)]
pub struct DepartureNotification {
    started: Duration,
    silent: BTreeSet<SocketAddr>,
    /// Voters that know of it; this machine too, if it is one.
    notified_voters: usize,
    voters: BTreeSet<SocketAddr>,
}

impl DepartureNotification {
    /// Begins at `now` at the machine `own`. Before there is a view, all peers count as voters.
    pub fn new(now: Duration, own: SocketAddr, peers: &[SocketAddr], view: &ViewSummary) -> Self {
        let mut voters: BTreeSet<SocketAddr> = view.voters.iter().copied().collect();
        if voters.is_empty() {
            voters.extend(peers);
            voters.insert(own);
        }
        let notified_voters = usize::from(voters.contains(&own));
        Self {
            started: now,
            silent: peers.iter().copied().collect(),
            notified_voters,
            voters,
        }
    }

    /// `peer` has taken it.
    pub fn answered(&mut self, peer: SocketAddr) {
        if self.silent.remove(&peer) && self.voters.contains(&peer) {
            self.notified_voters += 1;
        }
    }

    /// What is to be done now.
    pub fn decision(&self, now: Duration) -> DepartureDecision {
        let is_known_to_majority = 2 * self.notified_voters > self.voters.len();
        let waited = now.saturating_sub(self.started);
        if is_known_to_majority && (self.silent.is_empty() || waited >= ALL_PEERS_TIMEOUT) {
            DepartureDecision::Acknowledged
        } else if waited >= MAJORITY_TIMEOUT || self.silent.is_empty() {
            DepartureDecision::Unconfirmed
        } else if waited < ALL_PEERS_TIMEOUT {
            DepartureDecision::Wait {
                until: self.started + ALL_PEERS_TIMEOUT,
            }
        } else {
            DepartureDecision::Wait {
                until: self.started + MAJORITY_TIMEOUT,
            }
        }
    }
}
