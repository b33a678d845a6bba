//! Units of the plain numbers in the interface. Times are numbers and not `Instant`s, since the decisions also run on
//! simulated clocks.

/// A point in time or a duration, in seconds. The caller chooses the origin of points in time.
pub type Seconds = f64;

/// A share of a whole, from 0 to 1.
pub type Share = f64;

/// Capacity in units of the capacity of one warm replica.
pub type WarmReplicas = f64;
