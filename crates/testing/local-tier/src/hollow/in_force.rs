//! Times from the acknowledgement of a change to its being in force.

use super::edge::InForce;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// An acknowledged change.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    /// Generation of the configuration.
    pub generation: u64,
    /// When the acknowledgement came.
    pub at: Instant,
}

/// Quantiles of a set of times, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Times {
    /// Number of times.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99 in 100 are below.
    pub p99: f64,
    /// Longest.
    pub worst: f64,
}

impl Times {
    /// Of these times.
    pub fn of(mut times: Vec<Duration>) -> Self {
        times.sort_unstable();
        let quantile = |share: f64| {
            let rank = (share * times.len() as f64).ceil() as usize;
            times
                .get(rank.saturating_sub(1))
                .map_or(0.0, |time| time.as_secs_f64() * 1000.0)
        };
        Times {
            count: times.len(),
            p50: quantile(0.5),
            p99: quantile(0.99),
            worst: quantile(1.0),
        }
    }
}

/// For each change and edge: how long after its acknowledgement the edge had it, or a newer one, in force.
/// The second value counts those that did not come.
pub fn delays(
    acknowledged: &[Acknowledged],
    taken: &[InForce],
    edges: usize,
) -> (Vec<Duration>, usize) {
    let mut by_edge: BTreeMap<usize, Vec<&InForce>> = BTreeMap::new();
    for event in taken {
        by_edge.entry(event.edge).or_default().push(event);
    }
    let mut delays = Vec::new();
    for events in by_edge.values() {
        for change in acknowledged {
            let reached = events
                .iter()
                .filter(|event| event.generation >= change.generation);
            delays.extend(
                reached
                    .map(|event| event.at.saturating_duration_since(change.at))
                    .min(),
            );
        }
    }
    let missing = acknowledged.len() * edges - delays.len();
    (delays, missing)
}
