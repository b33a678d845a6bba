//! What a hollow run has measured.

use super::in_force::Times;
use super::probe::Traffic;
use super::size::HollowSize;
use super::usage::Usage;
use serde::{Deserialize, Serialize};

/// A run's sizes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Sizes {
    /// Control-side edges.
    pub edges: u64,
    /// Replicas.
    pub replicas: u64,
    /// Core processes.
    pub core: u8,
    /// Whole edge processes.
    pub whole_edges: u8,
    /// Routes of the configuration.
    pub routes: u64,
    /// Bytes of the configuration.
    pub configuration_bytes: usize,
    /// Interval between two heartbeats of a replica, in ms.
    pub heartbeat_ms: u64,
    /// Changes of the configuration asked for.
    pub changes_per_minute: u64,
    /// Changes of replicas asked for.
    pub replica_changes_per_minute: u64,
}

impl Sizes {
    /// Of a run.
    pub fn new(size: &HollowSize, configuration_bytes: usize) -> Self {
        Sizes {
            edges: size.edges,
            replicas: size.replicas,
            core: size.core,
            whole_edges: size.whole_edges,
            routes: size.routes,
            configuration_bytes,
            heartbeat_ms: size.heartbeat.as_millis() as u64,
            changes_per_minute: size.changes_per_minute,
            replica_changes_per_minute: size.replica_changes_per_minute,
        }
    }
}

/// What one process used.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProcessLoad {
    /// Processor time, in hundredths of a core.
    pub cpu_percent: f64,
    /// Resident memory at the end, in MB.
    pub memory_mb: f64,
}

impl ProcessLoad {
    /// Between two looks, `seconds` apart.
    pub fn between(before: &[Usage], after: &[Usage], seconds: f64) -> Vec<Self> {
        let pairs = before.iter().zip(after);
        pairs
            .map(|(before, after)| ProcessLoad {
                cpu_percent: 100.0 * (after.cpu_seconds - before.cpu_seconds) / seconds,
                memory_mb: after.resident as f64 / 1e6,
            })
            .collect()
    }
}

/// What an edge used on control, as a mean over the hollow ones.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EdgeLoad {
    /// Processor time of one edge, in hundredths of a core.
    pub cpu_percent: f64,
    /// Resident memory of one edge, in MB.
    pub memory_mb: f64,
    /// Processor time of one edge until it knew everything, in seconds.
    pub start_cpu_seconds: f64,
    /// Time until all edges knew everything, in seconds.
    pub start_seconds: f64,
}

/// Messages of one edge, as a mean over the probes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EdgeTraffic {
    /// Long-polls a second.
    pub polls_per_second: f64,
    /// Bytes of polls sent a second.
    pub poll_bytes_out_per_second: f64,
    /// Bytes of polls received a second.
    pub poll_bytes_in_per_second: f64,
    /// Fetches of the configuration a second.
    pub fetches_per_second: f64,
    /// Bytes of fetches received a second.
    pub fetch_bytes_in_per_second: f64,
}

impl EdgeTraffic {
    /// Of what `probes` probes counted in `seconds`.
    pub fn new(polls: Traffic, configurations: Traffic, probes: usize, seconds: f64) -> Self {
        let mean = |count: u64| count as f64 / seconds / probes as f64;
        EdgeTraffic {
            polls_per_second: mean(polls.calls),
            poll_bytes_out_per_second: mean(polls.bytes_out),
            poll_bytes_in_per_second: mean(polls.bytes_in),
            fetches_per_second: mean(configurations.calls),
            fetch_bytes_in_per_second: mean(configurations.bytes_in),
        }
    }
}

/// Heartbeats of all replicas.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HeartbeatLoad {
    /// Acknowledged heartbeats a second.
    pub per_second: f64,
    /// Heartbeats that were refused or failed while measured.
    pub failed: u64,
    /// Bytes of bodies and heads a second; the heads are estimated.
    pub bytes_per_second: f64,
}

/// What a run has measured.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HollowReport {
    /// The sizes.
    pub size: Sizes,
    /// Measured time, in seconds.
    pub seconds: f64,
    /// Load average of the machine before and after.
    pub machine_load: [f64; 2],
    /// Core processes.
    pub core: Vec<ProcessLoad>,
    /// Whole edges.
    pub whole_edges: Vec<ProcessLoad>,
    /// Hollow edges.
    pub edge: EdgeLoad,
    /// Messages of an edge.
    pub edge_traffic: EdgeTraffic,
    /// Heartbeats.
    pub heartbeats: HeartbeatLoad,
    /// Changes of replicas sent.
    pub replica_changes: u64,
    /// From sending a change to its acknowledgement, in ms.
    pub acknowledged_ms: Times,
    /// From acknowledgement to in force, over all edges and changes, in ms.
    pub in_force_ms: Times,
    /// Changes that were not in force at an edge by the end.
    pub not_in_force: usize,
}

impl HollowReport {
    /// Lines for people.
    pub fn text(&self) -> String {
        let core = mean(self.core.iter().map(|core| core.cpu_percent));
        let memory = mean(self.core.iter().map(|core| core.memory_mb));
        let in_force = &self.in_force_ms;
        format!(
            "core: {core:.2} % of a core, {memory:.0} MB each\n\
             edge: {:.3} % of a core, {:.2} MB, {:.1} polls/s, {:.0} bytes/s in\n\
             heartbeats: {:.0} a second, {} failed\n\
             in force: p50 {:.0} ms, p99 {:.0} ms, worst {:.0} ms, {} of {} missing",
            self.edge.cpu_percent,
            self.edge.memory_mb,
            self.edge_traffic.polls_per_second,
            self.edge_traffic.poll_bytes_in_per_second
                + self.edge_traffic.fetch_bytes_in_per_second,
            self.heartbeats.per_second,
            self.heartbeats.failed,
            in_force.p50,
            in_force.p99,
            in_force.worst,
            self.not_in_force,
            self.not_in_force + in_force.count,
        )
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}
