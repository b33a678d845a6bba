//! Each defence of the calls is switched off, which the oracle must detect within a bounded number of seeds.

mod faulty_server;

use woadreach_rpc::Mutation;

const SEEDS: u64 = 100;

fn assert_found(mutation: Mutation, rule: &str) {
    let found = (0..SEEDS).find(|seed| {
        let outcome = faulty_server::run_seed(*seed, |client| client.set_mutation(mutation));
        assert!(!outcome.counts.is_empty(), "nothing was called");
        outcome
            .violations
            .iter()
            .any(|violation| violation.starts_with(rule))
    });
    println!("{mutation:?}: {rule} at seed {found:?}");
    assert!(found.is_some(), "{mutation:?} was not found");
}

#[test]
fn a_response_with_any_request_id_is_found() {
    assert_found(Mutation::AcceptsAnyRequestId, "MIXED");
}

#[test]
fn a_call_sent_again_after_its_connection_broke_is_found() {
    assert_found(Mutation::RetriesBrokenCalls, "TWICE");
}
