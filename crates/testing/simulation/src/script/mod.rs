//! A script: the fleet, its settings, the load, and what goes wrong when.
//!
//! [`Script::draw`] draws one from a seed, and [`Script::read`] reads one from TOML; `check` says whether it
//! stays within what one process can play. The names of keys are part of saved scripts, and older than the
//! names of the fields.

use serde::{Deserialize, Serialize};

mod check;
mod draw;
mod draw_faults;
mod draw_tier;
mod fault;
mod model;
mod query_type;
mod random;
mod read;

pub use check::InvalidScript;
pub use fault::{Fault, FaultKind};
pub use model::{Budget, CallsWhileUnresponsive, Fleet, Load, Peers, Settings, SlowStart};
pub(crate) use query_type::{HEAVY_SHARE, HEAVY_WORK_FACTOR};
pub use query_type::{QueryType, Repeats};
pub use read::{Position, ScriptError};

/// Everything that determines a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seeds every random generator of the run: work, arrivals, jitter.
    pub seed: u64,
    /// How long clients send searches, in seconds. The run goes on until all have ended.
    pub seconds: f64,
    /// Co-ordinators, replicas and their machines.
    pub fleet: Fleet,
    /// The settings of the co-ordinators.
    pub settings: Settings,
    /// What clients send.
    pub load: Load,
    /// The network of datagrams between co-ordinators; none where they don't exchange any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// The query types.
    #[serde(rename = "query_type")]
    pub query_types: Vec<QueryType>,
    /// What goes wrong.
    #[serde(rename = "fault", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

impl Script {
    /// The script as TOML, which [`Script::read`] reads.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// How many replicas the fleet has.
    pub fn replicas(&self) -> usize {
        self.fleet.cells as usize * self.fleet.replicas
    }

    /// The latency target of each query type, in seconds.
    pub(crate) fn latency_targets(&self) -> Vec<f64> {
        self.query_types
            .iter()
            .map(|t| t.latency_target_s)
            .collect()
    }

    /// When the last fault has ended and the last search's client has given up, in seconds.
    pub(crate) fn end(&self) -> f64 {
        let last_fault = self.faults.iter().map(|f| f.at + f.duration);
        last_fault.fold(self.seconds, f64::max) + self.max_client_timeout()
    }

    /// The longest client timeout of all query types, in seconds.
    pub(crate) fn max_client_timeout(&self) -> f64 {
        self.query_types
            .iter()
            .map(|t| t.client_timeout_s)
            .fold(0.0, f64::max)
    }

    /// The mean work of a part over all query types, in seconds of one core.
    pub fn mean_work(&self) -> f64 {
        let parts = |t: &QueryType| t.share * t.mean_parts();
        let all: f64 = self.query_types.iter().map(parts).sum();
        let work = self.query_types.iter().map(|t| parts(t) * t.work_s);
        work.sum::<f64>() / all * query_type::MEAN_WORK_FACTOR
    }
}

#[cfg(test)]
#[path = "../../tests/unit/script.rs"]
mod tests;
