//! The order of arrival of datagrams in a simulated network. Tests of other crates include this file as well.

use std::collections::BTreeMap;

/// The time of arrival of a datagram in microseconds, and a sequence number that orders simultaneous arrivals.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Arrival {
    at_micros: u64,
    number: u64,
}

impl Arrival {
    /// Creates an arrival at `at_s` seconds.
    pub(crate) fn new(at_s: f64, number: u64) -> Arrival {
        Arrival {
            at_micros: (at_s * 1e6) as u64,
            number,
        }
    }
}

/// Removes and returns the first datagram that has arrived at `now_s` seconds; `None` if there is none.
pub(crate) fn take_arrived<T>(in_flight: &mut BTreeMap<Arrival, T>, now_s: f64) -> Option<T> {
    let first = in_flight.first_entry()?;
    let has_arrived = first.key().at_micros as f64 / 1e6 <= now_s;
    has_arrived.then(|| first.remove())
}
