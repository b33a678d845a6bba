//! Result of running a scenario. `woadreach cluster play --format json` prints it as JSON. The keys of that output are
//! stable: a renamed field keeps its key through `#[serde(rename)]`.

use serde::Serialize;

/// Result of one run of a scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of co-ordinator processes.
    pub coordinators: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Number of times that an invariant was broken.
    #[serde(rename = "rules_broken")]
    pub broken_invariants: usize,
    /// Descriptions of the first broken invariants, at most five.
    pub breaches: Vec<String>,
    /// Number of processes that ended without a request, ended with a failure, or did not end at shutdown.
    pub crashes: usize,
    /// Median of the seconds from the first fault of a zone until a co-ordinator outside the faulty zones adopts its
    /// ejection; `None` if there was none.
    pub agree_s_p50: Option<f64>,
    /// 0.99 quantile of the same delays.
    pub agree_s_p99: Option<f64>,
    /// Number of expected adoptions: one for each pair of a faulty zone and a co-ordinator outside the faulty zones.
    pub expected: usize,
    /// Number of expected adoptions that were observed.
    pub agreed: usize,
    /// Number of ejections of a zone that had no fault, counted once for each zone and epoch.
    #[serde(rename = "false_shifts")]
    pub false_failovers: usize,
    /// Number of ejections of a zone in excess of the number of its faults, summed over all zones.
    pub flaps: usize,
    /// Share of parts that were sent within the zone of the co-ordinator while no zone was faulty; `None` if no part
    /// was counted.
    pub near_share_safe: Option<f64>,
    /// Expected value of that share if parts were spread evenly over the zones.
    pub near_share_even: f64,
    /// Datagrams per second that a co-ordinator sends to its peers, on average.
    pub datagrams_per_s_per_member: f64,
    /// Bytes per second that a co-ordinator sends to its peers, on average.
    pub bytes_per_s_per_member: f64,
    /// Measurements of singleton roles and their leases.
    #[serde(flatten)]
    pub roles: RoleOutcome,
    /// Number of searches that were answered or failed, excluding those that clients abandoned.
    pub searches: usize,
    /// Share of these searches that were answered within the latency target.
    #[serde(rename = "served")]
    pub served_share: f64,
}

/// Measurements of singleton roles and their leases.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleOutcome {
    /// Number of actions that show two holders of a lease: by the times in the logs, their epoch is lower than that of
    /// an earlier action of the role, or equal to it with another co-ordinator.
    pub two_holders: usize,
    /// Number of actions of all roles.
    #[serde(rename = "acts")]
    pub actions: usize,
    /// Number of actions that receivers rejected because they knew a later epoch.
    #[serde(rename = "stale_acts_refused")]
    pub stale_actions_rejected: u64,
    /// Median of the seconds from a fault of the lease holder until another co-ordinator acts in the role; `None` if
    /// there was no handover.
    pub handover_s_p50: Option<f64>,
    /// 0.99 quantile of the same delays.
    pub handover_s_p99: Option<f64>,
    /// Number of lease holder faults that were followed by an action of another co-ordinator.
    pub handovers: usize,
    /// Number of faults that were injected into lease holders.
    #[serde(rename = "gripped")]
    pub holder_faults: usize,
    /// Duration of a lease in seconds.
    pub lease_s: f64,
}
