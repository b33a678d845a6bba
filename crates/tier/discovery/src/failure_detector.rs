//! How long a replica may be unresponsive before this core machine expires it: the failure detector of
//! [`CoreState`](crate::core_state::CoreState), which passes its time-out to
//! [`Registry::expire`](crate::Registry::expire).
//!
//! A machine that has just started, whose process has stalled, or that does not hear its peers or most
//! replicas cannot tell which replicas have failed. It then waits longer, or leaves the decision to the
//! others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A loop that runs later than this has stalled.
pub const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// A peer whose last batch is older than this is unreachable.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without a heartbeat after which a replica expires, in heartbeat intervals.
pub const EXPIRY_HEARTBEATS: f64 = 3.5;
/// The same while a peer of the view is unreachable, which may be receiving the replica's heartbeats.
pub const EXPIRY_HEARTBEATS_PEER_UNREACHABLE: f64 = 8.0;
/// The same while most replicas are unresponsive, so that the fault is probably on this side.
pub const EXPIRY_HEARTBEATS_MAJORITY_UNRESPONSIVE: f64 = 25.0;
/// Heartbeat intervals without a heartbeat from which a replica counts as unresponsive when the machine
/// judges whether most replicas are.
pub const SUSPECT_HEARTBEATS: f64 = 2.0;
/// How long a machine that has not received a peer's registry warms up, in heartbeat intervals.
pub const WARMING_HEARTBEATS: f64 = 1.5;

/// How complete this machine's knowledge of the replicas is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpState {
    /// The machine knows too little since it started or stalled.
    Warming {
        /// When it started, or found that it had stalled.
        since: Duration,
    },
    /// The machine has received its peers' registries, or has listened for long enough.
    Warm,
}

/// Observes this machine's own loop and its peers, and derives from them when replicas expire.
pub struct FailureDetector {
    /// Interval at which each replica sends heartbeats.
    heartbeat_interval: Duration,
    warm_up: WarmUpState,
    /// When the machine's loop last ran.
    last_tick: Duration,
    /// When the last batch of each peer arrived; peers that have been unreachable for long are removed.
    peers: BTreeMap<SocketAddr, Duration>,
}

/// What a tick of the failure detector found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TickOutcome {
    /// The loop has stalled: all time-outs start anew, and the peers' registries are requested.
    Stalled,
    /// No replica may expire, since this machine is warming up or out of quorum.
    NoExpiry,
    /// Replicas expire of which no heartbeat has arrived for longer than the time-out.
    Expire {
        /// The time-out.
        timeout: Duration,
    },
}

impl FailureDetector {
    /// The failure detector of a process that starts at `now`. Replicas send a heartbeat every
    /// `heartbeat_interval`.
    pub fn new(now: Duration, heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            warm_up: WarmUpState::Warming { since: now },
            last_tick: now,
            peers: BTreeMap::new(),
        }
    }

    /// Whether this machine may not know all replicas. True as well while its loop has stalled and no tick
    /// has noticed it yet.
    pub fn is_warming(&self, now: Duration) -> bool {
        self.warm_up != WarmUpState::Warm || self.has_stalled(now)
    }

    /// Records that a batch of `peer` has arrived.
    pub fn record_peer_batch(&mut self, now: Duration, peer: SocketAddr) {
        self.peers.insert(peer, now);
    }

    /// Peers of which a batch has arrived within [`PEER_TIMEOUT`].
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

    /// One iteration of the machine's loop. `idle_times` are the times since the last heartbeat of each
    /// replica; `has_received_heartbeats` says whether any heartbeat has arrived since the machine began to warm
    /// up.
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
