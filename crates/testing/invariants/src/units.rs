//! Units of numbers in events and terms.

/// A point in time by the run's clock, or a duration, in seconds.
pub type Seconds = f64;

/// An amount of work, as the time in seconds that one core needs for it.
pub type CoreSeconds = f64;

/// A fraction, from 0 to 1.
pub type Share = f64;
