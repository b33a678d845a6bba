//! Decides when a replica's departure is acknowledged. [`CoreState`](crate::core_state::CoreState) starts the
//! notification, and [`CoreDiscovery`](crate::CoreDiscovery) calls the peers.
//!
//! After the acknowledgement, observers must soon stop sending new requests to the replica. A core machine therefore
//! notifies the other core machines first. A peer publishes the departure to its pending polls before it answers the
//! notification.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | notifying | every peer has answered, and a majority of the voters is notified | acknowledged |
//! | notifying, [`ALL_PEERS_TIMEOUT`] has passed | a majority of the voters is notified | acknowledged |
//! | notifying | [`MAJORITY_TIMEOUT`] has passed without a majority | unconfirmed |
//! | notifying | every peer has answered, without a majority | unconfirmed |
//!
//! If the departure is unconfirmed, the replica has to call another machine.
//!
//! Without the answers of a majority, this machine may be partitioned from the others, and the departure may not reach
//! the observers of those machines.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::ViewSummary;

/// Time to wait for the answers of all peers. After it, a majority of the voters suffices.
pub const ALL_PEERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to wait for a majority of the voters. Must be shorter than one second, the time-out after which a replica calls
/// another machine.
pub const MAJORITY_TIMEOUT: Duration = Duration::from_millis(700);

/// Whether a departure may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureDecision {
    /// Wait for more answers.
    Wait {
        /// When to call [`DepartureNotification::decision`] again if no answer is received before.
        until: Duration,
    },
    /// Acknowledge the departure.
    Acknowledged,
    /// Do not acknowledge: the departure may not reach all observers.
    Unconfirmed,
}

/// Progress of notifying the other core machines of one departure.
#[derive(Clone, Debug)]
pub struct DepartureNotification {
    started_at: Duration,
    /// Peers that have not answered yet.
    pending_peers: BTreeSet<SocketAddr>,
    /// Number of voters that have applied the departure, including this machine if it is a voter.
    notified_voters: usize,
    /// Voters of the view; all peers and this machine before the first view.
    voters: BTreeSet<SocketAddr>,
}

impl DepartureNotification {
    /// Starts a notification at `now` on the machine with the address `own`. Before the first view, this machine and
    /// all peers count as voters.
    pub fn new(now: Duration, own: SocketAddr, peers: &[SocketAddr], view: &ViewSummary) -> Self {
        let mut voters: BTreeSet<SocketAddr> = view.voters.iter().copied().collect();
        if voters.is_empty() {
            voters.extend(peers);
            voters.insert(own);
        }
        let notified_voters = usize::from(voters.contains(&own));
        Self {
            started_at: now,
            pending_peers: peers.iter().copied().collect(),
            notified_voters,
            voters,
        }
    }

    /// Records the answer of `peer`.
    pub fn record_answer(&mut self, peer: SocketAddr) {
        if self.pending_peers.remove(&peer) && self.voters.contains(&peer) {
            self.notified_voters += 1;
        }
    }

    /// Whether the departure may be acknowledged at `now`.
    pub fn decision(&self, now: Duration) -> DepartureDecision {
        let is_known_to_majority = 2 * self.notified_voters > self.voters.len();
        let all_answered = self.pending_peers.is_empty();
        let waited = now.saturating_sub(self.started_at);
        if is_known_to_majority && (all_answered || waited >= ALL_PEERS_TIMEOUT) {
            DepartureDecision::Acknowledged
        } else if waited >= MAJORITY_TIMEOUT || all_answered {
            DepartureDecision::Unconfirmed
        } else if waited < ALL_PEERS_TIMEOUT {
            DepartureDecision::Wait {
                until: self.started_at + ALL_PEERS_TIMEOUT,
            }
        } else {
            DepartureDecision::Wait {
                until: self.started_at + MAJORITY_TIMEOUT,
            }
        }
    }
}
