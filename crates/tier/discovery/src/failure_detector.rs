//! Whether this core machine may conclude anything from a replica's silence.
//!
//! A machine that has just started, that stood still, or that cannot hear its peers or most replicas does
//! not know who is silent. Only the others may then take a replica as gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A loop that runs this late has stood still.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// A peer whose last batch is older than this is not heard.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Silence after which a replica is gone, in heartbeats.
pub const EXPIRY_HEARTBEATS: f64 = 3.5;
/// The same while a peer of the view is not heard: the replica may be talking to that one.
pub const EXPIRY_HEARTBEATS_PEER_UNREACHABLE: f64 = 8.0;
/// The same while most replicas are silent.
pub const EXPIRY_HEARTBEATS_MAJORITY_UNRESPONSIVE: f64 = 25.0;
/// Silence in heartbeats from which a replica counts as silent when asking whether most are.
pub const SUSPECT_HEARTBEATS: f64 = 2.0;
/// How long a machine says that it is warming without its peers' registry, in heartbeats.
pub const WARMING_HEARTBEATS: f64 = 1.5;

/// How complete this machine's knowledge of the replicas is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpState {
    /// It started or woke at `since`, and knows too little.
    Warming {
        /// When.
        since: Duration,
    },
    /// It has its peers' registry, or has listened long enough.
    Warm,
}

/// Watches this machine's own loop and its peers.
pub struct FailureDetector {
    heartbeat: Duration,
    warmth: WarmUpState,
    last_tick: Duration,
    peers: BTreeMap<SocketAddr, Duration>,
}

/// What a tick found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TickResult {
    /// The loop stood still: count all silence anew, and ask the peers for their registries.
    pub stalled: bool,
    /// How long a replica must be silent now before it is gone; none: nothing may be concluded.
    pub expiry: Option<Duration>,
}

impl FailureDetector {
    /// Of a process that starts at `now`.
    pub fn new(now: Duration, heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            warmth: WarmUpState::Warming { since: now },
            last_tick: now,
            peers: BTreeMap::new(),
        }
    }

    /// Whether this machine says that it is warming; also when its loop has stood still and has not found it
    /// yet.
    pub fn is_warming(&self, now: Duration) -> bool {
        self.warmth != WarmUpState::Warm || now.saturating_sub(self.last_tick) > STALL_THRESHOLD
    }

    /// A batch of `peer` has come.
    pub fn record_peer_batch(&mut self, now: Duration, peer: SocketAddr) {
        self.peers.insert(peer, now);
    }

    /// Peers heard lately.
    pub fn reachable_peers(&self, now: Duration) -> impl Iterator<Item = SocketAddr> {
        self.peers
            .iter()
            .filter(move |(_, heard)| now.saturating_sub(**heard) <= PEER_TIMEOUT)
            .map(|(peer, _)| *peer)
    }

    /// The registry of every reachable peer has been taken in.
    pub fn complete_warm_up(&mut self) {
        self.warmth = WarmUpState::Warm;
    }

    /// One turn of the loop. `silences` are the replicas' silences, `has_heard_replicas` says whether any heartbeat
    /// has come to this machine since it is warming.
    pub fn tick(
        &mut self,
        now: Duration,
        in_quorum: bool,
        peers: &[SocketAddr],
        silences: impl Iterator<Item = Duration>,
        has_heard_replicas: bool,
    ) -> TickResult {
        let stalled = now.saturating_sub(self.last_tick) > STALL_THRESHOLD;
        self.last_tick = now;
        self.peers
            .retain(|_, heard| now.saturating_sub(*heard) <= PEER_TIMEOUT * 4);
        if stalled {
            self.warmth = WarmUpState::Warming { since: now };
        }
        if let WarmUpState::Warming { since } = self.warmth {
            if has_heard_replicas
                && now.saturating_sub(since) >= self.heartbeat.mul_f64(WARMING_HEARTBEATS)
            {
                self.warmth = WarmUpState::Warm;
            }
            return TickResult {
                stalled,
                expiry: None,
            };
        }
        let expiry = if in_quorum {
            Some(self.expiry(now, peers, silences))
        } else {
            None
        };
        TickResult { stalled, expiry }
    }

    fn expiry(
        &self,
        now: Duration,
        peers: &[SocketAddr],
        silences: impl Iterator<Item = Duration>,
    ) -> Duration {
        let suspect_after = self.heartbeat.mul_f64(SUSPECT_HEARTBEATS);
        let (mut silent, mut all) = (0_usize, 0_usize);
        for silence in silences {
            all += 1;
            silent += usize::from(silence > suspect_after);
        }
        if silent * 2 > all {
            return self
                .heartbeat
                .mul_f64(EXPIRY_HEARTBEATS_MAJORITY_UNRESPONSIVE);
        }
        let all_heard = peers.iter().all(|peer| {
            self.peers
                .get(peer)
                .is_some_and(|heard| now.saturating_sub(*heard) <= PEER_TIMEOUT)
        });
        let heartbeats = if all_heard {
            EXPIRY_HEARTBEATS
        } else {
            EXPIRY_HEARTBEATS_PEER_UNREACHABLE
        };
        self.heartbeat.mul_f64(heartbeats)
    }
}
