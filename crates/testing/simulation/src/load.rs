//! The searches that clients ask, drawn from a script. Pure functions of their chance; must never know what
//! becomes of a search.

use crate::network::seed_of;
use crate::script::{HEAVY_SHARE, HEAVY_WORK_FACTOR, Script};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::Arc;
use woadreach_fakes::Ask;

/// How many times the mean of all each co-ordinator gets.
pub fn parts(script: &Script) -> Vec<f64> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed_of(script.seed, "uneven"));
    // Twelve draws add up to what is normal enough here.
    let mut normal = || (0..12).map(|_| chance.random::<f64>()).sum::<f64>() - 6.0;
    let all: Vec<f64> = (0..script.fleet.co_ordinators)
        .map(|_| (script.load.skew * normal()).exp())
        .collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    all.into_iter().map(|part| part / mean).collect()
}

/// The time until a client's next search, at so many a second.
pub fn draw_gap(rate: f64, chance: &mut Pcg64Mcg) -> f64 {
    -(1.0 - chance.random::<f64>()).ln() / rate.max(1e-3)
}

/// One search of any query type, by their shares; its parts cost `costly` times as much as ever.
pub fn draw_ask(script: &Script, costly: f64, search: Arc<str>, chance: &mut Pcg64Mcg) -> Ask {
    let types = &script.query_types;
    let mut at = chance.random::<f64>() * types.iter().map(|t| t.share).sum::<f64>();
    let which = types.iter().position(|t| {
        at -= t.share;
        at < 0.0
    });
    let query_type = which.unwrap_or(0);
    let t = &types[query_type];
    let n = chance.random_range(t.min_parts..=t.max_parts);
    let mut shards = BTreeSet::new();
    while shards.len() < n {
        shards.insert(chance.random_range(0..script.fleet.shards));
    }
    let heavy = if chance.random_bool(HEAVY_SHARE) {
        HEAVY_WORK_FACTOR
    } else {
        1.0
    };
    let work = t.work * heavy * costly * (0.5 + chance.random::<f64>());
    let leaves = chance.random_bool(script.load.disconnect_share);
    let leaves_after = leaves.then(|| chance.random::<f64>() * t.client_timeout);
    Ask {
        search,
        query_type,
        path: t.name.as_str().into(),
        tenant: "acme".into(),
        parts: shards.into_iter().map(|s| (s, 1.0 / n as f64)).collect(),
        text: format!("{work:.6} q"),
        expires: t.client_timeout,
        again: false,
        leaves_after,
    }
}
