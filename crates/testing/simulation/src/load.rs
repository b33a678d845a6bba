//! The searches that clients send, drawn from a script. Nothing here has a clock or does I/O: the simulated network and
//! loopback sockets get the same load.

use crate::network::seed_of;
use crate::script::{HEAVY_SHARE, HEAVY_WORK_FACTOR, QueryType, Script};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::Arc;
use woadreach_fakes::SearchRequest;

/// The rate of searches at each co-ordinator, as a multiple of the mean.
pub(crate) fn rate_shares(script: &Script) -> Vec<f64> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed_of(script.seed, "uneven"));
    // The sum of twelve uniform draws is close enough to a normal distribution.
    let mut normal = || (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let rates: Vec<f64> = (0..script.fleet.co_ordinators)
        .map(|_| (script.load.skew * normal()).exp())
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    rates.into_iter().map(|rate| rate / mean).collect()
}

/// Seconds until the next search, at a rate per second.
pub fn draw_gap(rate: f64, rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate.max(1e-3)
}

/// One search of any query type, by their shares. Its parts cost `work_factor` times as much as the script says.
pub fn draw_request(
    script: &Script,
    work_factor: f64,
    search: Arc<str>,
    rng: &mut Pcg64Mcg,
) -> SearchRequest {
    let index = draw_query_type(&script.query_types, rng);
    let query_type = &script.query_types[index];
    let shards = draw_shards(query_type, script.fleet.shards, rng);
    let weight = 1.0 / shards.len() as f64;
    let work_s = draw_work(query_type, work_factor, rng);
    let disconnects = rng.random_bool(script.load.disconnect_share);
    let disconnect_after = disconnects.then(|| rng.random::<f64>() * query_type.client_timeout_s);
    SearchRequest {
        search,
        query_type: index,
        path: query_type.name.as_str().into(),
        tenant: "acme".into(),
        parts: shards.into_iter().map(|shard| (shard, weight)).collect(),
        // Fake replicas take the work of a part from its text.
        text: format!("{work_s:.6} q"),
        timeout: query_type.client_timeout_s,
        is_retry: false,
        disconnect_after,
    }
}

/// The index of a query type, by their shares.
fn draw_query_type(query_types: &[QueryType], rng: &mut Pcg64Mcg) -> usize {
    let mut remaining = rng.random::<f64>() * query_types.iter().map(|t| t.share).sum::<f64>();
    let chosen = query_types.iter().position(|t| {
        remaining -= t.share;
        remaining < 0.0
    });
    // By rounding, none may be left.
    chosen.unwrap_or(0)
}

/// The shards of a search's parts, of which each has one.
fn draw_shards(query_type: &QueryType, shards: u64, rng: &mut Pcg64Mcg) -> BTreeSet<u64> {
    let parts = rng.random_range(query_type.min_parts..=query_type.max_parts);
    let mut chosen = BTreeSet::new();
    while chosen.len() < parts {
        chosen.insert(rng.random_range(0..shards));
    }
    chosen
}

/// The work of each part of a search, in seconds of one core.
fn draw_work(query_type: &QueryType, work_factor: f64, rng: &mut Pcg64Mcg) -> f64 {
    let heavy_factor = if rng.random_bool(HEAVY_SHARE) {
        HEAVY_WORK_FACTOR
    } else {
        1.0
    };
    query_type.work_s * heavy_factor * work_factor * (0.5 + rng.random::<f64>())
}
