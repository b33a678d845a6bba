//! The searches that clients send, drawn from a script. Pure functions of their random generator.

use crate::network::seed_of;
use crate::script::{HEAVY_SHARE, HEAVY_WORK_FACTOR, Script};
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
    let all: Vec<f64> = (0..script.fleet.co_ordinators)
        .map(|_| (script.load.skew * normal()).exp())
        .collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    all.into_iter().map(|part| part / mean).collect()
}

/// Seconds until the next search, at a rate per second.
pub fn draw_gap(rate: f64, rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate.max(1e-3)
}

/// One search of any query type, by their shares. Its parts cost `work_factor` times as much as usual.
pub fn draw_request(
    script: &Script,
    work_factor: f64,
    search: Arc<str>,
    rng: &mut Pcg64Mcg,
) -> SearchRequest {
    let types = &script.query_types;
    let mut at = rng.random::<f64>() * types.iter().map(|t| t.share).sum::<f64>();
    let which = types.iter().position(|t| {
        at -= t.share;
        at < 0.0
    });
    let query_type = which.unwrap_or(0);
    let t = &types[query_type];
    let n = rng.random_range(t.min_parts..=t.max_parts);
    let mut shards = BTreeSet::new();
    while shards.len() < n {
        shards.insert(rng.random_range(0..script.fleet.shards));
    }
    let heavy = if rng.random_bool(HEAVY_SHARE) {
        HEAVY_WORK_FACTOR
    } else {
        1.0
    };
    let work = t.work_s * heavy * work_factor * (0.5 + rng.random::<f64>());
    let leaves = rng.random_bool(script.load.disconnect_share);
    let disconnect_after = leaves.then(|| rng.random::<f64>() * t.client_timeout_s);
    SearchRequest {
        search,
        query_type,
        path: t.name.as_str().into(),
        tenant: "acme".into(),
        parts: shards.into_iter().map(|s| (s, 1.0 / n as f64)).collect(),
        text: format!("{work:.6} q"),
        timeout: t.client_timeout_s,
        is_retry: false,
        disconnect_after,
    }
}
