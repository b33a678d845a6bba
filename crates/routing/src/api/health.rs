//! Inputs and results of outlier ejection.

use super::Seconds;

/// Parameters of outlier ejection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    /// Number of calls that count: the latest ones.
    pub window: usize,
    /// Least number of failures among them that ejects; they must also be half of the calls.
    pub min_failures: usize,
}

/// The end of a call, as far as it says something about health. `C` is a class of calls, such as the query type.
#[derive(Clone, Copy, Debug)]
pub struct Observation<C> {
    /// When it ended.
    pub at: Seconds,
    /// When it was sent.
    pub sent_at: Seconds,
    /// Its class.
    pub class: C,
    /// Whether it failed, or took far longer than usual.
    pub failed: bool,
}

/// A change in the health of a replica or zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It gets no more traffic but probes.
    Ejected,
    /// It gets traffic again.
    Restored,
}

impl Change {
    /// The change as log lines name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Change::Ejected => "ejected",
            Change::Restored => "restored",
        }
    }
}
