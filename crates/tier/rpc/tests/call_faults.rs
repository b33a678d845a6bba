//! Calls to a faulty server: each response completes its own call, and no request is sent twice. The environment
//! variable `CALL_SEEDS` sets the number of seeds.

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
fn responses_match_their_calls_and_no_request_is_sent_twice() {
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
            .for_each(|(event, count)| *counts.entry(event).or_default() += count);
    }
    println!("{counts:#?}");
    assert!(
        counts.contains_key("call: answered"),
        "no call was answered in any seed, so that no response was checked"
    );
}
