//! Each defence of the connections, switched off, is found missing within a bounded number of seeds.

mod faulty_tier;
mod stalled_tasks;
mod support;

use woadreach_proxy::mutations::{Mutation, set_mutation};

const SEEDS: u64 = 200;

fn first_broken(mutation: Mutation, rule: &str) {
    set_mutation(Some(mutation));
    let found = (0..SEEDS).find(|seed| {
        let outcome = faulty_tier::play(*seed);
        assert!(!outcome.counts.is_empty(), "nothing was asked");
        outcome
            .violations
            .iter()
            .any(|violation| violation.starts_with(rule))
    });
    println!("{mutation:?}: {rule} at seed {found:?}");
    assert!(found.is_some(), "{mutation:?} was not found");
}

#[test]
fn an_answer_of_any_id_is_found() {
    first_broken(Mutation::SkipResponseIdCheck, "MIXED");
}

#[test]
fn a_request_that_a_connection_carries_twice_is_found() {
    first_broken(Mutation::ReuseConnectionForResend, "TWICE");
}

#[test]
fn a_request_sent_again_after_a_reset_is_found() {
    first_broken(Mutation::TreatBrokenAsUnsent, "TWICE");
}

#[test]
fn a_truncated_response_that_looks_complete_is_found() {
    first_broken(Mutation::AcceptTruncatedBody, "MIXED");
}

#[test]
fn a_failure_that_promises_too_much_is_found() {
    first_broken(Mutation::ForwardAnyFailure, "REFUSED");
}

#[test]
fn a_stream_of_an_aborted_attempt_that_is_forwarded_is_found() {
    set_mutation(Some(Mutation::ForwardAbortedStream));
    let found = (0..SEEDS).find(|seed| !stalled_tasks::play(*seed).violations.is_empty());
    println!("ForwardAbortedStream: ORDER at seed {found:?}");
    assert!(found.is_some(), "it was not found");
}
