//! Decides when a replica's departure is acknowledged. [`CoreState`](crate::core_state::CoreState) starts the
//! notification, and [`CoreDiscovery`](crate::CoreDiscovery) calls the peers.
//!
//! After the acknowledgement, observers must soon stop sending new requests to the replica, even if every core process is
//! killed or loses power at once. A core machine therefore notifies the other core machines first. A machine confirms
//! the departure when it has published it to its pending polls and has it on disk; this machine confirms its own, too.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | notifying | every core machine has confirmed, among them a majority of the voters | acknowledged |
//! | notifying, [`ALL_MACHINES_TIMEOUT`] has passed | a majority of the voters has confirmed | acknowledged |
//! | notifying | [`MAJORITY_TIMEOUT`] has passed without a majority | unconfirmed |
//! | notifying | every core machine has confirmed, without a majority | unconfirmed |
//!
//! If the departure is unconfirmed, the replica has to call another machine.
//!
//! Without the confirmations of a majority, this machine may be partitioned from the others, and the departure may not
//! reach the observers of those machines. With them, it is still on a disk after as many losses as the core tolerates.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::ViewSummary;

/// Time to wait for the confirmations of all core machines. After it, a majority of the voters suffices.
pub const ALL_MACHINES_TIMEOUT: Duration = Duration::from_millis(300);
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

/// Progress of bringing one departure to the core machines and their disks.
#[derive(Clone, Debug)]
pub struct DepartureNotification {
    started_at: Duration,
    /// Core machines, this one included, that have not confirmed yet.
    pending_machines: BTreeSet<SocketAddr>,
    /// Number of voters that have confirmed.
    confirmed_voters: usize,
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
        Self {
            started_at: now,
            pending_machines: peers.iter().copied().chain([own]).collect(),
            confirmed_voters: 0,
            voters,
        }
    }

    /// Records that `machine`, a peer or this machine, has the departure on disk and has published it.
    pub fn record_confirmation(&mut self, machine: SocketAddr) {
        if self.pending_machines.remove(&machine) && self.voters.contains(&machine) {
            self.confirmed_voters += 1;
        }
    }

    /// Whether the departure may be acknowledged at `now`.
    pub fn decision(&self, now: Duration) -> DepartureDecision {
        let has_majority = 2 * self.confirmed_voters > self.voters.len();
        let all_confirmed = self.pending_machines.is_empty();
        let waited = now.saturating_sub(self.started_at);
        if has_majority && (all_confirmed || waited >= ALL_MACHINES_TIMEOUT) {
            DepartureDecision::Acknowledged
        } else if waited >= MAJORITY_TIMEOUT || all_confirmed {
            DepartureDecision::Unconfirmed
        } else if waited < ALL_MACHINES_TIMEOUT {
            DepartureDecision::Wait {
                until: self.started_at + ALL_MACHINES_TIMEOUT,
            }
        } else {
            DepartureDecision::Wait {
                until: self.started_at + MAJORITY_TIMEOUT,
            }
        }
    }
}
