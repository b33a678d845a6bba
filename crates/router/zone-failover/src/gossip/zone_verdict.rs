//! A zone's verdict as it is sent.

use serde::{Deserialize, Serialize};

/// Unit of an encoded age, in seconds.
const AGE_UNIT_S: f64 = 0.01;

/// A zone's verdict as it is sent. It has an age instead of a time, so that clocks needn't agree.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneVerdict {
    /// The zone, as a position in the settings' list of zones.
    pub zone: u8,
    /// The verdict's epoch: odd if the zone is ejected.
    pub epoch: u32,
    /// In units of [`AGE_UNIT_S`].
    age: u32,
    /// How often in succession the zone was ejected soon after its return.
    pub consecutive_failovers: u8,
}

impl ZoneVerdict {
    /// A verdict that has been in force for `age_s` seconds.
    pub fn new(zone: u8, epoch: u32, age_s: f64, consecutive_failovers: u8) -> ZoneVerdict {
        ZoneVerdict {
            zone,
            epoch,
            age: (age_s.max(0.0) / AGE_UNIT_S) as u32,
            consecutive_failovers,
        }
    }

    /// How long it had been in force when it was sent, in seconds, rounded down to hundredths.
    pub fn age_s(&self) -> f64 {
        f64::from(self.age) * AGE_UNIT_S
    }
}
