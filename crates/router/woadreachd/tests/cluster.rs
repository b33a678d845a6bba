//! Several processes of the program on loopback, with faults between them: `woadreach cluster play` in small.
//! One after the other, so that they do not take the machine from each other.

use std::path::PathBuf;
use woadreach_process_tests::{Outcome, Plan, Scenario, play};

fn played(scenario: Scenario, seed: u64, peers: bool) -> Outcome {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_woadreachd"));
    let (co_ordinators, zones, regions) = (6, 3, 1);
    // Where traffic stays near, those outside a zone see too little of it at this rate to judge it.
    let near = scenario == Scenario::Calm;
    let plan = Plan {
        scenario,
        co_ordinators,
        zones,
        regions,
        seed,
        binary,
        peers,
        near,
        duties: true,
        rate: 30.0,
    };
    let outcome = play(&plan).unwrap_or_else(|why| panic!("{scenario}: {why}"));
    assert_eq!(
        (outcome.rules_broken, outcome.crashes),
        (0, 0),
        "{outcome:#?}"
    );
    assert!(outcome.searches > 500, "{outcome:#?}");
    outcome
}

#[test]
fn processes_under_faults_between_them_keep_the_rules() {
    let calm = played(Scenario::Calm, 1, true);
    assert_eq!(
        (calm.false_shifts, calm.flaps, calm.duties.two_holders),
        (0, 0, 0),
        "{calm:#?}"
    );
    assert!(calm.datagrams_per_s_per_member > 0.5, "{calm:#?}");
    let lost = played(Scenario::ZoneLoss, 2, true);
    assert!(
        lost.agreed > 0,
        "those outside come to hold the verdict: {lost:#?}"
    );
    played(Scenario::MassKill, 3, true);
    let killed = played(Scenario::HolderKill, 5, true).duties;
    assert_eq!(
        (killed.two_holders, killed.handovers),
        (0, killed.gripped),
        "{killed:#?}"
    );
    let stalled = played(Scenario::HolderStall, 6, true).duties;
    assert_eq!(
        (stalled.two_holders, stalled.handovers),
        (0, stalled.gripped),
        "{stalled:#?}"
    );
    assert!(
        stalled.gripped > 0 && stalled.handover_s_p99 < Some(stalled.lease_s + 2.0),
        "{stalled:#?}"
    );
    let alone = played(Scenario::ZoneCut, 4, false);
    assert_eq!(
        (alone.agreed, alone.datagrams_per_s_per_member),
        (0, 0.0),
        "{alone:#?}"
    );
    assert_eq!(alone.duties.acts, 0, "{alone:#?}");
}
