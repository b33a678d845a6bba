//! Inputs and results of outlier ejection.

use super::Seconds;

/// Parameters of outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    /// Number of latest calls that are considered.
    pub window: usize,
    /// Number of failures among these calls from which a replica or zone is ejected, if at least half of the calls
    /// failed.
    pub min_failures: usize,
}

/// Outcome of a call, as evidence of the health of its replica or zone. `C` is a class of calls, such as the query
/// type.
#[derive(Clone, Copy, Debug)]
pub struct Observation<C> {
    /// Time at which the call ended.
    pub at: Seconds,
    /// Time at which the call was sent.
    pub sent_at: Seconds,
    /// Class of the call.
    pub class: C,
    /// Whether the call failed or was late.
    pub failed: bool,
}

/// A change in the health of a replica or zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The replica or zone is sent no traffic except probes.
    Ejected,
    /// The replica or zone is sent normal traffic again.
    Restored,
}

impl HealthChange {
    /// Name of the change in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            HealthChange::Ejected => "ejected",
            HealthChange::Restored => "restored",
        }
    }
}
