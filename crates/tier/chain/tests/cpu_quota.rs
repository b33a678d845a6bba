//! Core machines under a CPU quota: each process is stalled at the end of every period of a tenth of a second. No
//! member is suspected because of that, the view does not change, and writes continue.

mod simulation;

use std::ops::RangeInclusive;
use std::time::Duration;

use simulation::world::World;
use woadreach_sim_support::CpuQuota;

/// Runs of each case.
const RUNS: u64 = 10;
/// Interval between checks of the members' suspicions.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time at which the quota begins; by then, the view must contain every machine.
const START: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(15);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Result of a run.
#[derive(Debug, Default)]
struct RunResult {
    /// Number of suspected voters, summed over the running members and the checks.
    suspicions: usize,
    /// Number of view changes.
    views: u64,
    /// Number of acknowledged configuration changes.
    acknowledged: u64,
}

fn epoch(world: &World) -> u64 {
    let members = world.nodes.iter().filter_map(|node| node.member.as_ref());
    let epochs = members.map(|member| member.status(world.now).epoch);
    epochs.max().unwrap_or(0)
}

/// Number of suspected voters, summed over the members whose processes run now. A stalled process takes no
/// decisions.
fn suspicions(world: &World) -> usize {
    let running = (0..world.nodes.len()).filter(|node| world.stalled_until(*node).is_none());
    let members = running.filter_map(|node| world.nodes[node].member.as_ref());
    members
        .map(|member| member.status(world.now).suspected_voters.len())
        .sum()
}

fn simulate(
    seed: u64,
    nodes: usize,
    period: Duration,
    stall: RangeInclusive<Duration>,
) -> RunResult {
    let fault_tolerance = (nodes - 1) / 2;
    let mut world = World::new(seed, nodes, 0, fault_tolerance, None);
    world.are_faults_over = true;
    world.run_until(START);
    world.quota = Some(CpuQuota::new(seed, period, stall));
    let (first_epoch, acknowledged) = (epoch(&world), world.history.acknowledged);
    let mut result = RunResult::default();
    while world.now < START + LENGTH {
        let next = world.now + CHECK_INTERVAL;
        world.run_until(next);
        result.suspicions += suspicions(&world);
    }
    result.views = epoch(&world) - first_epoch;
    result.acknowledged = world.history.acknowledged - acknowledged;
    result
}

fn assert_no_member_is_suspected(nodes: usize) {
    for seed in 1..=RUNS {
        let result = simulate(seed, nodes, millis(100), millis(30)..=millis(95));
        assert_eq!(
            (result.suspicions, result.views),
            (0, 0),
            "seed {seed}: {result:?}"
        );
        assert!(result.acknowledged > 10, "seed {seed}: {result:?}");
    }
}

#[test]
fn three_machines_under_a_quota_suspect_no_member() {
    assert_no_member_is_suspected(3);
}

#[test]
fn five_machines_under_a_quota_suspect_no_member() {
    assert_no_member_is_suspected(5);
}

/// Shows that the check above detects suspicions: these stalls are longer than the suspicion time-out.
#[test]
fn stalls_beyond_the_suspicion_timeout_are_found() {
    let suspicions: usize = (1..=5)
        .map(|seed| simulate(seed, 3, millis(2000), millis(800)..=millis(1200)).suspicions)
        .sum();
    assert!(suspicions > 0);
}
