//! Encoding of times in messages.

use serde::{Deserialize, Serialize};

/// Times in messages are in hundredths of a second.
pub(crate) const CENTIS_PER_SECOND: f64 = 100.0;
/// Maximum rounding error of a [`ClockStamp`], in seconds.
const MAX_ROUNDING_S: f64 = 0.01;

/// A time of the sender's clock in hundredths of a second, modulo 2^16 (about eleven minutes). It is meaningful to its
/// sender only: receivers return it unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStamp(pub u16);

impl ClockStamp {
    /// Encodes a time in seconds of the member's own clock.
    pub fn at(now_s: f64) -> ClockStamp {
        ClockStamp(((now_s * CENTIS_PER_SECOND) as u64 & 0xffff) as u16)
    }

    /// Returns the latest time up to `now_s` that has this stamp, in seconds. The result is a hundredth of a second
    /// earlier, so that rounding never makes it later than the encoded time.
    pub fn to_seconds(self, now_s: f64) -> f64 {
        let centis_ago = ClockStamp::at(now_s).0.wrapping_sub(self.0);
        now_s - f64::from(centis_ago) / CENTIS_PER_SECOND - MAX_ROUNDING_S
    }

    /// Whether this stamp equals `other` or is later. Valid for stamps that are less than half of the range apart.
    pub(crate) fn is_at_or_after(self, other: ClockStamp) -> bool {
        self.0.wrapping_sub(other.0) < 0x8000
    }
}
