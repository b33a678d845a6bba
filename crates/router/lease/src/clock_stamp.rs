//! Times on the wire, which are in hundredths of a second.

use serde::{Deserialize, Serialize};

/// Unit of all times on the wire.
pub(crate) const CENTIS_PER_SECOND: f64 = 100.0;
/// By how much [`ClockStamp::to_seconds`] may be too late by rounding, in seconds.
const MAX_ROUNDING_S: f64 = 0.01;

/// A time of the sender's own clock in hundredths of a second, modulo 2^16 (about eleven minutes). Only its sender can
/// read it: the receiver returns it unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStamp(pub u16);

impl ClockStamp {
    /// The stamp of the time `now_s`, in seconds.
    pub fn at(now_s: f64) -> ClockStamp {
        ClockStamp(((now_s * CENTIS_PER_SECOND) as u64 & 0xffff) as u16)
    }

    /// The latest time up to `now_s` that has this stamp, in seconds, and a hundredth earlier, so that rounding never
    /// makes it later than it was.
    pub fn to_seconds(self, now_s: f64) -> f64 {
        let centis_ago = ClockStamp::at(now_s).0.wrapping_sub(self.0);
        now_s - f64::from(centis_ago) / CENTIS_PER_SECOND - MAX_ROUNDING_S
    }

    /// Whether this stamp is `other` or later, for stamps less than half of the range apart.
    pub(crate) fn is_at_or_after(self, other: ClockStamp) -> bool {
        self.0.wrapping_sub(other.0) < 0x8000
    }
}
