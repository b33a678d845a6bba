//! Parameters of the task that speaks with peers.

use std::net::SocketAddr;

/// What the configuration says of the other co-ordinators of the tier.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerConfig {
    /// Address for datagrams of peers.
    pub(crate) listen: SocketAddr,
    /// One address for each co-ordinator of the tier, its own included.
    pub(crate) roster: Vec<SocketAddr>,
    /// Own index in the roster.
    pub(crate) index: usize,
    /// Own zone, as an index into `zones`.
    pub(crate) zone: usize,
    /// Names of the zones, in the settings' order.
    pub(crate) zones: Vec<String>,
    /// Each zone's region, by number.
    pub(crate) regions: Vec<u8>,
    /// Zones that an operator has taken out, at this co-ordinator alone.
    pub(crate) forced_out: Vec<usize>,
    /// Whether ties between replicas go to the nearer one. Off unless an operator asks for it: where clients
    /// are unevenly spread over zones it crowds the busy ones, and on the fleet bench's calm day it cost a
    /// fifth of the score.
    pub(crate) prefer_near: bool,
    /// Seconds for which a replica that has started warms up; 0 if it does not.
    pub(crate) warm_up: f64,
    /// Whether singleton roles are held by one co-ordinator for all; if not, each acts for itself.
    pub(crate) roles: bool,
    /// Whether a quota allocator grants shares of warming replicas. Off unless an operator asks for it: on
    /// the fleet bench's day of restarts, where all have demand for every warming replica, released shares
    /// lay idle and the score fell from 0.83 to 0.70.
    pub(crate) quota_allocator: bool,
    /// Whether each action under a lease is logged: for the process tests, and to find a role with two
    /// holders.
    pub(crate) log_role_actions: bool,
    /// How slow start is split, where there is one.
    pub(crate) slow_start: Option<SlowStartSplit>,
    /// Seed of random choices.
    pub(crate) seed: u64,
}

/// How what a warming replica takes is split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartSplit {
    /// Number of co-ordinators that share it.
    pub(crate) coordinators: usize,
    /// Window of the overload threshold, in seconds.
    pub(crate) window: f64,
}
