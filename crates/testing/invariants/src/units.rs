//! Units of the bare numbers in events and terms.

/// A time by the run's clock, or a duration, in seconds.
pub type Seconds = f64;

/// An amount of work, in seconds that one core takes for it.
pub type CoreSeconds = f64;

/// A share of a whole, from 0 to 1.
pub type Share = f64;
