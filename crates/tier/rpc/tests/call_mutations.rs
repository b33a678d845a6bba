//! Checks the oracle itself: each injected bug must be detected within a bounded number of seeds.

mod faulty_server;

use woadreach_rpc::Mutation;

const SEEDS: u64 = 100;

fn assert_detected(mutation: Mutation, rule: &str) {
    let detected_at = (0..SEEDS).find(|seed| {
        let outcome = faulty_server::run_seed(*seed, |client| client.set_mutation(mutation));
        assert!(
            !outcome.counts.is_empty(),
            "seed {seed}: no event was counted"
        );
        outcome
            .violations
            .iter()
            .any(|violation| violation.starts_with(rule))
    });
    println!("{mutation:?}: {rule} at seed {detected_at:?}");
    assert!(
        detected_at.is_some(),
        "{mutation:?}: no violation of {rule} in {SEEDS} seeds"
    );
}

#[test]
fn accepting_any_request_id_is_detected() {
    assert_detected(Mutation::AcceptsAnyRequestId, "WRONG_RESPONSE");
}

#[test]
fn retrying_a_broken_call_is_detected() {
    assert_detected(Mutation::RetriesBrokenCalls, "DUPLICATE_REQUEST");
}
