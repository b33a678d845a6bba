//! What playing a scenario gave. Its fields are printed as JSON by `woadreach cluster play --format json`;
//! names in that output stay, whatever the fields are called here.

use serde::Serialize;

/// The result of one play.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The seed of all random choices.
    pub seed: u64,
    /// Number of co-ordinator processes.
    pub coordinators: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Seconds under load.
    pub seconds: f64,
    /// How often an invariant was broken.
    #[serde(rename = "rules_broken")]
    pub broken_invariants: usize,
    /// The first of the broken invariants, in words.
    pub breaches: Vec<String>,
    /// Processes that ended without having been asked to, or with a failure.
    pub crashes: usize,
    /// Median of the seconds from a zone's first fault until a co-ordinator outside the zones at fault adopts
    /// the verdict.
    pub agree_s_p50: Option<f64>,
    /// 0.99 quantile of the same.
    pub agree_s_p99: Option<f64>,
    /// How many verdicts were due: one for each zone at fault and co-ordinator outside the zones at fault.
    pub expected: usize,
    /// How many of these were adopted.
    pub agreed: usize,
    /// Verdicts against a zone that was not at fault, counted by zone and epoch.
    #[serde(rename = "false_shifts")]
    pub false_failovers: usize,
    /// Verdicts against a zone beyond one for each of its faults.
    pub flaps: usize,
    /// Share of the parts that were sent within their co-ordinator's zone while no zone was at fault.
    pub near_share_safe: Option<f64>,
    /// What that share would be if parts were spread evenly.
    pub near_share_even: f64,
    /// Datagrams that a co-ordinator sends to its peers in a second, on average.
    pub datagrams_per_s_per_member: f64,
    /// Bytes that a co-ordinator sends to its peers in a second, on average.
    pub bytes_per_s_per_member: f64,
    /// Figures of singleton roles and their leases.
    #[serde(flatten)]
    pub roles: RoleOutcome,
    /// Searches that were answered or failed, without those that clients abandoned.
    pub searches: usize,
    /// Share of these that was answered within the latency target.
    #[serde(rename = "served")]
    pub served_share: f64,
}

/// Figures of singleton roles and their leases.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleOutcome {
    /// Actions of a role under an epoch older than one under which another co-ordinator had acted before, by
    /// the times in the logs.
    pub two_holders: usize,
    /// Actions of all roles.
    #[serde(rename = "acts")]
    pub actions: usize,
    /// Actions that their receivers rejected since they knew of a later epoch.
    #[serde(rename = "stale_acts_refused")]
    pub stale_actions_rejected: u64,
    /// Median of the seconds from a lease holder's fault until another co-ordinator acts.
    pub handover_s_p50: Option<f64>,
    /// 0.99 quantile of the same.
    pub handover_s_p99: Option<f64>,
    /// How many faults of lease holders were followed by another holder's action.
    pub handovers: usize,
    /// Faults that were injected into lease holders.
    #[serde(rename = "gripped")]
    pub holder_faults: usize,
    /// Duration of a lease in seconds.
    pub lease_s: f64,
}
