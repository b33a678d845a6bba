//! The encoding of a verdict on a zone.

use serde::{Deserialize, Serialize};

/// Unit of an encoded age, in seconds.
const AGE_UNIT_S: f64 = 0.01;

/// The encoding of a verdict on a zone. It contains an age instead of a time, so that clocks needn't be synchronised.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneVerdict {
    /// Zone, as a position in the settings' list of zones.
    pub zone: u8,
    /// Epoch of the verdict. The zone is ejected if it is odd.
    pub epoch: u32,
    /// Age of the verdict when it was sent, in units of [`AGE_UNIT_S`].
    age: u32,
    /// Number of consecutive ejections that each came soon after the previous restoration.
    pub consecutive_failovers: u8,
}

impl ZoneVerdict {
    /// Encodes a verdict that started `age_s` seconds ago.
    pub fn new(zone: u8, epoch: u32, age_s: f64, consecutive_failovers: u8) -> ZoneVerdict {
        ZoneVerdict {
            zone,
            epoch,
            age: (age_s.max(0.0) / AGE_UNIT_S) as u32,
            consecutive_failovers,
        }
    }

    /// Returns the age of the verdict when it was sent, in seconds, rounded down to hundredths.
    pub fn age_s(&self) -> f64 {
        f64::from(self.age) * AGE_UNIT_S
    }
}
