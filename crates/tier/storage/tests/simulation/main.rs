//! Simulation of the complete storage tier on simulated time and disks, checked against an oracle.
//!
//! Each seed draws a deployment, programs that run turns through several proxies, and faults within the tolerated
//! number: kills, power losses, wiped disks, freezes, partitions, and replaced, added and retired machines.
//! In some runs turns are kept for a short time only, and replicas are so slow that the turn before has expired when a
//! turn ends. In others several turns at once compete for a budget that is too small for all of them. The oracle
//! records acknowledgements: no acknowledged turn may be missing or changed within its retention, no budget may be
//! overspent, and no turn that fits its budget may be refused.

mod core;
mod event;
mod faults;
mod final_fault;
mod machine;
mod mutation;
mod oracle;
mod proxy;
mod stops;
mod violation;
mod world;

use parking_lot::Mutex;
use rstest::rstest;

use self::mutation::Mutation;
use self::world::{FoundViolation, World};

/// Number of seeds of a test run; `STORAGE_SEEDS` overrides it.
const SEEDS: u64 = 300;
/// Seeds within which each injected bug must be found.
const MUTATION_SEEDS: u64 = 600;

/// A seed whose run breaks a guarantee.
struct FailedSeed {
    seed: u64,
    violation: FoundViolation,
}

fn violation(seed: u64, mutation: Mutation) -> Option<FoundViolation> {
    World::new(seed, mutation).run()
}

fn violation_with_final_fault(seed: u64, mutation: Mutation) -> Option<FoundViolation> {
    World::new(seed, mutation).with_final_fault().run()
}

/// Runs `count` seeds from `first` on several threads until one finds a violation.
fn first_violation(
    first: u64,
    count: u64,
    violation: impl Fn(u64) -> Option<FoundViolation> + Sync,
) -> Option<FailedSeed> {
    let threads = 4;
    let found = Mutex::new(None);
    std::thread::scope(|scope| {
        for offset in 0..threads {
            let (found, violation) = (&found, &violation);
            scope.spawn(move || {
                for seed in (first..first + count).filter(|seed| seed % threads == offset) {
                    if found.lock().is_some() {
                        return;
                    }
                    if let Some(violation) = violation(seed) {
                        found.lock().get_or_insert(FailedSeed { seed, violation });
                    }
                }
            });
        }
    });
    found.into_inner()
}

/// Reads a number from an environment variable; `None` if it is unset or not a number.
fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Runs the seeds selected by `STORAGE_FIRST_SEED` and `STORAGE_SEEDS`; panics at the first violation.
fn assert_none_violates(violation: impl Fn(u64) -> Option<FoundViolation> + Sync) {
    let count = env_number("STORAGE_SEEDS").unwrap_or(SEEDS);
    let first = env_number("STORAGE_FIRST_SEED").unwrap_or(0);
    if let Some(FailedSeed { seed, violation }) = first_violation(first, count, violation) {
        panic!("seed {seed}: {violation}");
    }
}

#[test]
fn nothing_acknowledged_is_lost_and_no_budget_overspent() {
    assert_none_violates(|seed| violation(seed, Mutation::None));
}

/// All machines lose power right after an acknowledgement, and the tolerated number of disks is wiped.
#[test]
fn a_final_fault_loses_no_turn_and_no_reservation() {
    assert_none_violates(|seed| violation_with_final_fault(seed, Mutation::None));
}

#[test]
fn bugs_that_a_final_fault_brings_out_are_found() {
    for mutation in [
        Mutation::EndBeforeSync,
        Mutation::OneReplicaTooFew,
        Mutation::ReservationInMemory,
    ] {
        let violation = |seed| violation_with_final_fault(seed, mutation);
        let found = first_violation(0, MUTATION_SEEDS, violation);
        assert!(
            found.is_some(),
            "{mutation:?} was not found in {MUTATION_SEEDS} runs"
        );
    }
}

/// Each mutation is found within [`MUTATION_SEEDS`] seeds from the given one.
#[rstest]
#[case::an_end_before_the_sync(Mutation::EndBeforeSync, 0)]
#[case::one_replica_too_few(Mutation::OneReplicaTooFew, 0)]
#[case::reservations_in_memory_only(Mutation::ReservationInMemory, 100)]
#[case::a_joint_epoch_that_ends_too_early(Mutation::JointEpochEndsEarly, 350)]
#[case::a_wiped_machine_that_counts_at_once(Mutation::WipedMachineCounts, 0)]
#[case::an_unfenced_machine(Mutation::Unfenced, 1_000)]
#[case::a_machine_that_exits_without_waiting_for_others(Mutation::ExitsAtOnce, 0)]
#[case::a_turn_acknowledged_without_its_chain(Mutation::ChainNotRequired, 0)]
#[case::a_reservation_that_is_written_once(Mutation::OneReservationRound, 0)]
fn an_injected_bug_is_found(#[case] mutation: Mutation, #[case] first: u64) {
    let found = first_violation(first, MUTATION_SEEDS, |seed| violation(seed, mutation));
    assert!(
        found.is_some(),
        "{mutation:?} was not found in {MUTATION_SEEDS} runs from {first}"
    );
}
