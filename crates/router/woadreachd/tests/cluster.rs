//! Several processes of the program on loopback, with faults between them: `woadreach cluster play` in small.
//! One after the other, so that they do not take the machine from each other.

use std::path::PathBuf;
use woadreach_process_tests::{Outcome, PlayConfig, Scenario, play};

fn played(scenario: Scenario, seed: u64, has_peers: bool) -> Outcome {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_woadreachd"));
    let (co_ordinators, zones, regions) = (6, 3, 1);
    // Where traffic stays near, those outside a zone see too little of it at this rate to judge it.
    let prefers_near = scenario == Scenario::Calm;
    let config = PlayConfig {
        scenario,
        co_ordinators,
        zones,
        regions,
        seed,
        binary,
        has_peers,
        prefers_near,
        has_roles: true,
        searches_per_second: 30.0,
    };
    let outcome = play(&config).unwrap_or_else(|why| panic!("{scenario}: {why}"));
    assert_eq!(
        (outcome.broken_invariants, outcome.crashes),
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
        (calm.false_failovers, calm.flaps, calm.roles.two_holders),
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
    let killed = played(Scenario::HolderKill, 5, true).roles;
    assert_eq!(
        (killed.two_holders, killed.handovers),
        (0, killed.holder_faults),
        "{killed:#?}"
    );
    let stalled = played(Scenario::HolderStall, 6, true).roles;
    assert_eq!(
        (stalled.two_holders, stalled.handovers),
        (0, stalled.holder_faults),
        "{stalled:#?}"
    );
    assert!(
        stalled.holder_faults > 0 && stalled.handover_s_p99 < Some(stalled.lease_s + 2.0),
        "{stalled:#?}"
    );
    let alone = played(Scenario::ZoneCut, 4, false);
    assert_eq!(
        (alone.agreed, alone.datagrams_per_s_per_member),
        (0, 0.0),
        "{alone:#?}"
    );
    assert_eq!(alone.roles.actions, 0, "{alone:#?}");
}
