//! Each defence of the calls, switched off, is found missing within a bounded number of seeds.

mod faulty_server;

use woadreach_rpc::Mutation;

const SEEDS: u64 = 100;

fn first_broken(mutation: Mutation, rule: &str) {
    let found = (0..SEEDS).find(|seed| {
        let outcome = faulty_server::play(*seed, |client| client.mutation(mutation));
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
fn a_response_under_any_number_is_found() {
    first_broken(Mutation::AnyNumber, "MIXED");
}

#[test]
fn a_call_sent_again_after_its_connection_broke_is_found() {
    first_broken(Mutation::SentAgain, "TWICE");
}
