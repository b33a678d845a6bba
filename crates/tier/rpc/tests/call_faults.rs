//! Calls under faults: every response goes to its call, and no request is sent twice. `CALL_SEEDS` sets the
//! number of seeds.

mod faulty_server;

use std::collections::BTreeMap;

const SEEDS: u64 = 30;

fn seeds() -> u64 {
    std::env::var("CALL_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

#[test]
fn no_response_goes_astray_and_no_call_is_sent_twice() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..seeds() {
        let outcome = faulty_server::run_seed(seed, |_| {});
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
    assert!(
        counts.contains_key("call: answered"),
        "a run in which nothing is answered shows nothing"
    );
}
