//! Connections under faults: who sees which answer, and what runs how often. `CONNECTION_SEEDS` plays more
//! seeds.

mod faulty_tier;
mod support;

use std::collections::BTreeMap;

const SEEDS: u64 = 30;

fn seeds() -> u64 {
    std::env::var("CONNECTION_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

#[test]
fn no_response_is_misdelivered_and_nothing_runs_twice() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..seeds() {
        let outcome = faulty_tier::play(seed);
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}: {:#?}",
            outcome.violations
        );
        outcome
            .counts
            .into_iter()
            .for_each(|(what, count)| *counts.entry(what).or_default() += count);
    }
    println!("{counts:#?}");
    let answered = counts.get("client got 200").copied().unwrap_or(0);
    assert!(
        answered > 0,
        "a run in which nothing is served shows nothing"
    );
}
