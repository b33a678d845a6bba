//! Conversions between the clock's nanoseconds and the seconds of scripts and records.

use crate::clock::Nanos;

/// Nanoseconds in a second.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;

/// The time on the clock that is nearest to these seconds; 0 if they are negative.
pub(crate) fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * NANOS_PER_SECOND).round() as Nanos
}

/// A time of the clock in seconds.
pub(crate) fn seconds(time: Nanos) -> f64 {
    time as f64 / NANOS_PER_SECOND
}
