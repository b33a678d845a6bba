//! Failure detector of [`CoreState`](crate::core_state::CoreState). It determines the time-out after which this core
//! machine expires an unresponsive replica through [`Registry::expire`](crate::Registry::expire).
//!
//! A machine cannot tell which replicas have failed if it has just started, if its process has stalled, or if it
//! receives nothing from its peers or from most replicas. It then uses a longer time-out, or expires no replicas and
//! leaves the decision to the other core machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time since the last tick after which the process counts as stalled.
pub const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// Time without a batch after which a peer counts as unreachable.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without a heartbeat after which a replica expires, in heartbeat intervals.
pub const EXPIRY_HEARTBEATS: f64 = 3.5;
/// As [`EXPIRY_HEARTBEATS`], while a peer of the view is unreachable. That peer may be receiving the replica's
/// heartbeats.
pub const EXPIRY_HEARTBEATS_PEER_UNREACHABLE: f64 = 8.0;
/// As [`EXPIRY_HEARTBEATS`], while most replicas are unresponsive. The fault is then probably on this machine's side.
pub const EXPIRY_HEARTBEATS_MAJORITY_UNRESPONSIVE: f64 = 25.0;
/// Time without a heartbeat, in heartbeat intervals, after which a replica counts as unresponsive in the test whether
/// most replicas are.
pub const SUSPECT_HEARTBEATS: f64 = 2.0;
/// Minimum warm-up time, in heartbeat intervals, of a machine that has not received its peers' registries.
pub const WARMING_HEARTBEATS: f64 = 1.5;

/// Whether this machine's registry is complete enough to expire replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpState {
    /// The machine has started or stalled recently and may not know all replicas.
    Warming {
        /// Time of the start, or of the tick that detected the stall.
        since: Duration,
    },
    /// The machine has received its peers' registries, or has received heartbeats for long enough.
    Warm,
}

/// Monitors this machine's ticks and the batches of its peers, and derives the expiry time-out of replicas.
pub struct FailureDetector {
    /// Interval at which each replica sends heartbeats.
    heartbeat_interval: Duration,
    warm_up: WarmUpState,
    /// Time of the last tick.
    last_tick: Duration,
    /// Receipt time of each peer's last batch. Peers without a batch for four times [`PEER_TIMEOUT`] are removed.
    peers: BTreeMap<SocketAddr, Duration>,
}

/// Result of a tick of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TickOutcome {
    /// The process has stalled. The caller resets all replicas' time-outs and requests the peers' registries.
    Stalled,
    /// No replica may expire, because this machine is warming up or out of quorum.
    NoExpiry,
    /// Replicas without a heartbeat for longer than the time-out expire.
    Expire {
        /// Time without a heartbeat after which a replica expires.
        timeout: Duration,
    },
}

impl FailureDetector {
    /// Creates the failure detector of a process that starts at `now`. Replicas send a heartbeat every
    /// `heartbeat_interval`.
    pub fn new(now: Duration, heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            warm_up: WarmUpState::Warming { since: now },
            last_tick: now,
            peers: BTreeMap::new(),
        }
    }

    /// Whether this machine may not know all replicas. Also true during a stall that no tick has detected yet.
    pub fn is_warming(&self, now: Duration) -> bool {
        self.warm_up != WarmUpState::Warm || self.has_stalled(now)
    }

    /// Records that a batch of `peer` was received.
    pub fn record_peer_batch(&mut self, now: Duration, peer: SocketAddr) {
        self.peers.insert(peer, now);
    }

    /// Peers whose last batch was received within [`PEER_TIMEOUT`].
    pub fn reachable_peers(&self, now: Duration) -> impl Iterator<Item = SocketAddr> {
        self.peers
            .iter()
            .filter(move |(_, received_at)| now.saturating_sub(**received_at) <= PEER_TIMEOUT)
            .map(|(peer, _)| *peer)
    }

    /// Records that the registries of all reachable peers have been received.
    pub fn complete_warm_up(&mut self) {
        self.warm_up = WarmUpState::Warm;
    }

    /// Runs one tick. `idle_times` are the times since the last heartbeat of each replica. `has_received_heartbeats` is
    /// set if any heartbeat was received since the machine began to warm up.
    pub fn tick(
        &mut self,
        now: Duration,
        in_quorum: bool,
        peers: &[SocketAddr],
        idle_times: impl Iterator<Item = Duration>,
        has_received_heartbeats: bool,
    ) -> TickOutcome {
        let has_stalled = self.has_stalled(now);
        self.last_tick = now;
        self.peers
            .retain(|_, received_at| now.saturating_sub(*received_at) <= PEER_TIMEOUT * 4);
        if has_stalled {
            self.warm_up = WarmUpState::Warming { since: now };
            return TickOutcome::Stalled;
        }
        match self.warm_up {
            WarmUpState::Warming { since } => {
                let min_warm_up = self.heartbeat_interval.mul_f64(WARMING_HEARTBEATS);
                if has_received_heartbeats && now.saturating_sub(since) >= min_warm_up {
                    self.warm_up = WarmUpState::Warm;
                }
                TickOutcome::NoExpiry
            }
            WarmUpState::Warm if in_quorum => TickOutcome::Expire {
                timeout: self.expiry_timeout(now, peers, idle_times),
            },
            WarmUpState::Warm => TickOutcome::NoExpiry,
        }
    }

    fn has_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_tick) > PROCESS_STALL_THRESHOLD
    }

    /// Time without a heartbeat after which a replica expires.
    fn expiry_timeout(
        &self,
        now: Duration,
        peers: &[SocketAddr],
        idle_times: impl Iterator<Item = Duration>,
    ) -> Duration {
        let heartbeats = if self.is_majority_unresponsive(idle_times) {
            EXPIRY_HEARTBEATS_MAJORITY_UNRESPONSIVE
        } else if self.are_all_reachable(now, peers) {
            EXPIRY_HEARTBEATS
        } else {
            EXPIRY_HEARTBEATS_PEER_UNREACHABLE
        };
        self.heartbeat_interval.mul_f64(heartbeats)
    }

    fn is_majority_unresponsive(&self, idle_times: impl Iterator<Item = Duration>) -> bool {
        let suspect_after = self.heartbeat_interval.mul_f64(SUSPECT_HEARTBEATS);
        let (mut unresponsive, mut all) = (0_usize, 0_usize);
        for idle_time in idle_times {
            all += 1;
            unresponsive += usize::from(idle_time > suspect_after);
        }
        unresponsive * 2 > all
    }

    fn are_all_reachable(&self, now: Duration, peers: &[SocketAddr]) -> bool {
        peers.iter().all(|peer| {
            self.peers
                .get(peer)
                .is_some_and(|received_at| now.saturating_sub(*received_at) <= PEER_TIMEOUT)
        })
    }
}
