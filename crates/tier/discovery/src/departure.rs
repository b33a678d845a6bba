//! When a replica's departure is acknowledged. [`CoreState`](crate::core_state::CoreState) starts the notification, and
//! [`CoreDiscovery`](crate::CoreDiscovery) calls the peers.
//!
//! The acknowledgement promises the replica that no observer sends it a new request soon after. A core
//! machine therefore first notifies the other core machines; one that answers has answered its pending polls
//! too:
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | notifying | every peer has answered | acknowledged |
//! | notifying, [`ALL_PEERS_TIMEOUT`] has passed | a majority of the voters has answered | acknowledged |
//! | notifying | [`MAJORITY_TIMEOUT`] has passed | unconfirmed: the replica has to call another machine |
//!
//! Without a majority this machine may be partitioned from the others, whose observers would not learn of the
//! departure.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::ViewSummary;

/// How long to wait for all peers. After that a majority of the voters suffices.
pub const ALL_PEERS_TIMEOUT: Duration = Duration::from_millis(300);
/// How long to wait for a majority. Shorter than the second after which a replica calls another machine.
pub const MAJORITY_TIMEOUT: Duration = Duration::from_millis(700);

/// Whether a departure may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureDecision {
    /// Wait for further answers.
    Wait {
        /// When to decide anew if no answer comes before.
        until: Duration,
    },
    /// Acknowledge the departure.
    Acknowledged,
    /// Answer that observers may not learn of the departure.
    Unconfirmed,
}

/// A departure of which the other core machines are being notified.
#[derive(Clone, Debug)]
pub struct DepartureNotification {
    started_at: Duration,
    /// Peers that have not acknowledged the notification yet.
    pending_peers: BTreeSet<SocketAddr>,
    /// Voters that know of the departure, among them this machine if it is a voter.
    notified_voters: usize,
    /// Voters of the view, or all peers and this machine before there is a view.
    voters: BTreeSet<SocketAddr>,
}

impl DepartureNotification {
    /// Starts at `now` on the machine with the address `own`. All peers count as voters before there is a
    /// view.
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

    /// Records that `peer` has acknowledged the notification.
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
