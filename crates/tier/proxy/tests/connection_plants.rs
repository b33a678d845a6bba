//! Each defence of the connections, switched off, is found missing within a bounded number of seeds.

mod faulty_tier;
mod support;

use woadreach_proxy::plants::{Plant, plant};

const SEEDS: u64 = 200;

fn first_broken(planted: Plant, rule: &str) {
    plant(Some(planted));
    let found = (0..SEEDS).find(|seed| {
        let outcome = faulty_tier::play(*seed);
        assert!(!outcome.counts.is_empty(), "nothing was asked");
        outcome
            .violations
            .iter()
            .any(|violation| violation.starts_with(rule))
    });
    println!("{planted:?}: {rule} at seed {found:?}");
    assert!(found.is_some(), "{planted:?} was not found");
}

#[test]
fn an_answer_of_any_id_is_found() {
    first_broken(Plant::AnyId, "MIXED");
}

#[test]
fn a_request_that_a_connection_carries_twice_is_found() {
    first_broken(Plant::CarriedTwice, "TWICE");
}

#[test]
fn a_request_sent_again_after_a_reset_is_found() {
    first_broken(Plant::BrokenIsUnsent, "TWICE");
}

#[test]
fn an_answer_cut_short_that_looks_whole_is_found() {
    first_broken(Plant::CutIsWhole, "MIXED");
}

#[test]
fn a_failure_that_promises_too_much_is_found() {
    first_broken(Plant::AnyFailurePasses, "REFUSED");
}
