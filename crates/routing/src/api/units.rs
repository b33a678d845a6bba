//! Units of the bare numbers in the interface. The decisions run on simulated clocks too, so that times are numbers
//! and not instants.

/// A time from any origin that the caller chooses, or a duration, in seconds.
pub type Seconds = f64;

/// A share of a whole, from 0 to 1.
pub type Share = f64;

/// Capacity as a multiple of what one warm replica can take.
pub type WarmReplicas = f64;
