//! Parameters of the task that speaks with peers.

use std::net::SocketAddr;
use woadreach_lease::SlowStartSplit;

/// What the configuration says of the other co-ordinators of the tier.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    /// Address for datagrams of peers.
    pub listen: SocketAddr,
    /// One address for each co-ordinator of the tier, its own included.
    pub roster: Vec<SocketAddr>,
    /// Own index in the roster.
    pub index: usize,
    /// Own zone, as an index into `zones`.
    pub zone: usize,
    /// Names of the zones, in the settings' order.
    pub zones: Vec<String>,
    /// Each zone's region, by number.
    pub regions: Vec<u8>,
    /// Zones that an operator has ejected at this co-ordinator alone.
    pub ejected_by_operator: Vec<usize>,
    /// Whether ties between replicas go to the nearer one. Off unless an operator asks for it: where clients
    /// are unevenly spread over zones it crowds the busy ones, and on the fleet bench's calm day it cost a
    /// fifth of the score.
    pub prefer_near: bool,
    /// Seconds for which a replica that has started warms up; 0 if it does not.
    pub warm_up_s: f64,
    /// Whether singleton roles are held by one co-ordinator for all; if not, each acts for itself.
    pub roles: bool,
    /// Whether a quota allocator grants shares of warming replicas. Off unless an operator asks for it: on
    /// the fleet bench's day of restarts, where all have demand for every warming replica, released shares
    /// lay idle and the score fell from 0.83 to 0.70.
    pub quota_allocator: bool,
    /// Whether each action under a lease is logged: for the process tests, and to find a role with two
    /// holders.
    pub log_role_actions: bool,
    /// How slow start is split, where there is one.
    pub slow_start: Option<SlowStartSplit>,
    /// Seed of random choices.
    pub seed: u64,
}
