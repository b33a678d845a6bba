//! Runs of a small fleet on the virtual clock: without faults, under combinations of faults, and of the scripts
//! that once broke a rule.

mod support;

use rstest::rstest;
use support::{play_without_breach, read_script, read_world};
use woadreach_simulation::{
    CallsWhileUnresponsive, Fault, FaultKind, Options, Outcome, Script, play,
};

/// Three co-ordinators and two shard groups of three replicas in two zones, without faults. The searches of one
/// query type may be repeated, those of the other may not.
const CALM: &str = r#"
seed = 11
seconds = 16.0
[fleet]
co_ordinators = 3
zones = 2
cells = 2
span = 1
shards = 4
replicas = 3
cores = 2
room = 64
clocks_apart = 0.0
way = 0.001
buffers = 131072
[load]
rate = 12.0
retries = 1
pause = 0.1
heeds = true
leaves = 0.02
[[query_type]]
name = "browse"
share = 2.0
latency_target = 0.6
client_timeout = 1.5
repeats = "idempotent"
window = 1.0
any_holder = true
need = 1.0
floor = 0.5
fetch = 1
least_parts = 2
most_parts = 4
work = 0.02
[[query_type]]
name = "check"
share = 1.0
latency_target = 0.6
client_timeout = 1.5
repeats = "non_idempotent"
window = 1.0
any_holder = true
need = 1.0
floor = 1.0
fetch = 0
least_parts = 1
most_parts = 2
work = 0.02
"#;

fn calm() -> Script {
    read_world("calm", CALM)
}

fn calm_with_faults(faults: &[Fault]) -> Script {
    Script {
        faults: faults.to_vec(),
        ..calm()
    }
}

/// The share of the searches that were answered within their latency target.
fn share_in_time(outcome: &Outcome) -> f64 {
    outcome.answered_in_time as f64 / outcome.searches.max(1) as f64
}

#[test]
fn a_calm_day_is_served() {
    let outcome = play_without_breach(&calm());
    assert!(
        outcome.searches > 300 && share_in_time(&outcome) > 0.97,
        "{} of {}",
        outcome.answered_in_time,
        outcome.searches
    );
}

/// Under several faults at once every rule holds, and most searches are still answered in time.
#[rstest]
#[case::crashes_and_slow_starts_under_full_load(&[
    Fault { at: 4.0, duration: 3.0, kind: FaultKind::Crash { replicas: vec![0, 3], listed_after_s: 1.0 } },
    Fault { at: 4.0, duration: 6.0, kind: FaultKind::LoadBurst { factor: 2.0 } },
])]
#[case::a_drain_that_one_co_ordinator_learns_of_late(&[
    Fault { at: 4.0, duration: 3.0, kind: FaultKind::DiscoveryUnresponsive { co_ordinators: vec![1] } },
    Fault { at: 4.2, duration: 4.0, kind: FaultKind::Drain { replicas: vec![0, 4] } },
])]
#[case::a_restart_within_a_reload(&[
    Fault { at: 4.0, duration: 1.0, kind: FaultKind::ReloadCoordinators { co_ordinators: vec![0, 1, 2] } },
    Fault { at: 4.05, duration: 1.0, kind: FaultKind::RestartCoordinators { co_ordinators: vec![0, 1] } },
])]
#[case::a_kill_in_a_load_burst(&[
    Fault { at: 4.0, duration: 2.0, kind: FaultKind::LoadBurst { factor: 3.0 } },
    Fault { at: 5.0, duration: 1.0, kind: FaultKind::KillCoordinators { co_ordinators: vec![0] } },
])]
#[case::answers_after_their_searches(&[
    Fault { at: 3.0, duration: 9.0, kind: FaultKind::IgnoreCancels { replicas: (0..6).collect() } },
    Fault { at: 4.0, duration: 3.0, kind: FaultKind::Slow { replicas: vec![0, 3], factor: 20.0 } },
])]
#[case::stalled_under_a_load_burst(&[
    Fault { at: 4.0, duration: 2.0, kind: FaultKind::StallCoordinators { co_ordinators: vec![0] } },
    Fault { at: 4.0, duration: 3.0, kind: FaultKind::LoadBurst { factor: 3.0 } },
])]
#[case::a_zone_partitioned_while_discovery_is_stale(&[
    Fault { at: 4.0, duration: 4.0, kind: FaultKind::DiscoveryUnresponsive { co_ordinators: vec![0, 1, 2] } },
    Fault { at: 4.2, duration: 3.0, kind: FaultKind::Partition { from: 0, to: 1, both: true } },
])]
#[case::corrupt_answers_beside_valid_ones(&[
    Fault { at: 3.0, duration: 8.0, kind: FaultKind::CorruptAnswers { replicas: vec![0, 1], share: 0.2 } },
    Fault { at: 3.0, duration: 8.0, kind: FaultKind::BreakConnections { replicas: vec![3, 4], share: 0.2 } },
    Fault { at: 3.0, duration: 8.0, kind: FaultKind::DuplicateAnswers { replicas: vec![2, 5], share: 1.0 } },
])]
#[case::malformed_requests_and_a_restart(&[
    Fault { at: 3.0, duration: 8.0, kind: FaultKind::MalformedRequests { rate: 20.0 } },
    Fault { at: 5.0, duration: 1.0, kind: FaultKind::RestartCoordinators { co_ordinators: vec![0] } },
])]
#[case::replicas_that_accept_and_read_late(&[
    Fault { at: 3.0, duration: 8.0, kind: FaultKind::SlowReads { replicas: vec![0, 1, 3], accept_delay_s: 0.1, read_delay_s: 0.001 } },
    Fault { at: 4.0, duration: 4.0, kind: FaultKind::Slow { replicas: vec![0, 3], factor: 10.0 } },
])]
fn combined_faults_break_no_rule(
    #[case] faults: &[Fault],
    #[values(0.0, 0.05)] max_clock_offset: f64,
) {
    let mut script = calm_with_faults(faults);
    script.fleet.max_clock_offset = max_clock_offset;
    let outcome = play_without_breach(&script);
    assert!(
        outcome.searches > 200 && share_in_time(&outcome) > 0.5,
        "{} of {}",
        outcome.answered_in_time,
        outcome.searches
    );
    assert_eq!(outcome.recoveries.len(), faults.len());
}

/// The discovery agents of all co-ordinators are unresponsive until this time, in seconds.
fn unresponsive_discovery_until(end: f64) -> Fault {
    Fault {
        at: 4.0,
        duration: end - 4.0,
        kind: FaultKind::DiscoveryUnresponsive {
            co_ordinators: vec![0, 1, 2],
        },
    }
}

/// A replica of each shard group drains from this time on, in seconds.
fn drain_at(at: f64) -> Fault {
    Fault {
        at,
        duration: 4.0,
        kind: FaultKind::Drain {
            replicas: vec![0, 4],
        },
    }
}

/// Discovery is unresponsive for some seconds, and replicas drain shortly before it responds again, at that
/// moment, or shortly after. What the agent knows then counts as published at once: whether it answers all calls
/// of the meantime, only watches, or none, and at whatever moment between two calls it responds again.
#[rstest]
fn a_drain_when_discovery_responds_again(
    #[values(
        CallsWhileUnresponsive::Delayed,
        CallsWhileUnresponsive::ListsLost,
        CallsWhileUnresponsive::Lost
    )]
    calls: CallsWhileUnresponsive,
    #[values(9.7, 9.9, 10.1, 10.3, 10.5, 10.7, 10.9)] responds_at: f64,
    #[values(-0.5, 0.0, 0.05)] drain_delay: f64,
) {
    let mut script = calm_with_faults(&[
        unresponsive_discovery_until(responds_at),
        drain_at(responds_at + drain_delay),
    ]);
    script.fleet.calls_while_unresponsive = calls;
    play_without_breach(&script);
}

/// The same for processes that start while discovery is unresponsive, with the endpoint list known before.
#[rstest]
fn a_process_that_starts_while_discovery_is_down(
    #[values(
        CallsWhileUnresponsive::Delayed,
        CallsWhileUnresponsive::ListsLost,
        CallsWhileUnresponsive::Lost
    )]
    calls: CallsWhileUnresponsive,
    #[values(9.7, 10.0, 10.3, 10.6, 10.9)] responds_at: f64,
) {
    let kill = Fault {
        at: 5.0,
        duration: 1.0,
        kind: FaultKind::KillCoordinators {
            co_ordinators: vec![0, 1],
        },
    };
    let mut script = calm_with_faults(&[
        unresponsive_discovery_until(responds_at),
        kill,
        drain_at(responds_at),
    ]);
    script.fleet.calls_while_unresponsive = calls;
    play_without_breach(&script);
}

/// Scripts that once broke a rule. Those of the first list are as they were shrunk, those of the second as they
/// were drawn; the numbers are their seeds.
///
/// In a small fleet:
/// - the retry budget counted a search from when it was placed;
/// - half a request kept a process running after its end;
/// - a replica that was warming up got all parts of one search (13403);
/// - a replica that crashed and started again before the endpoint list said so got full traffic (17695);
/// - a replica that was warming up got parts whose cost was estimated by the median of skewed work (9217);
/// - parts that a process had sent before its end, and that were read late, counted in the retry budget of the
///   next process (2595, 5211).
///
/// In a tier of twenty or thirty co-ordinators a replica that was warming up got too much
/// - from co-ordinators that took their turns by chance (762);
/// - because answers of a process that had crashed since counted for it (551);
/// - because the larger of two quota shares was used, and the larger ones of all co-ordinators exceed the whole
///   (959).
#[rstest]
#[case::budget_after_a_stall(include_str!("scripts/budget-after-a-stall.toml"))]
#[case::half_a_request_at_the_end(include_str!("scripts/half-a-request-at-the-end.toml"))]
#[case::cold_one_search_all_parts(include_str!("scripts/cold-one-search-all-parts.toml"))]
#[case::cold_back_before_listed(include_str!("scripts/cold-back-before-listed.toml"))]
#[case::cold_skewed_work(include_str!("scripts/cold-skewed-work.toml"))]
#[case::cold_turns_by_chance(include_str!("scripts/cold-turns-by-chance.toml"))]
#[case::cold_answers_of_the_dead(include_str!("scripts/cold-answers-of-the-dead.toml"))]
#[case::cold_larger_of_two_shares(include_str!("scripts/cold-larger-of-two-shares.toml"))]
#[case::budget_of_the_process_before(include_str!("scripts/budget-of-the-process-before.toml"))]
#[case::budget_of_the_process_before_too(include_str!("scripts/budget-of-the-process-before-2.toml"))]
fn saved_scripts_break_no_rule(#[case] text: &str) {
    play_without_breach(&read_script("pinned", text));
}

/// Two runs of one script are the same, whatever else the process plays at the same time.
#[test]
fn a_run_is_the_same_again() {
    let script = Script::draw(5, &[], Some(8.0));
    let alone = play(
        &script,
        Options {
            trace: true,
            ..Options::default()
        },
    );
    let beside: Vec<_> = (0..3)
        .map(|_| {
            std::thread::spawn(|| play(&Script::draw(5, &[], Some(8.0)), Options::default()).digest)
        })
        .collect();
    for other in beside {
        assert_eq!(other.join().ok().as_ref(), Some(&alone.digest));
    }
    assert_eq!(alone.events as usize, alone.trace.len());
    let another = play(&Script { seed: 6, ..script }, Options::default());
    assert_ne!(another.digest, alone.digest);
}

/// A script in which the rule breaks without the defence breaks no rule with it.
#[cfg(feature = "mutations")]
#[rstest]
#[case::no_wait("core-no-wait", woadreach_invariants::Rule::NoSearchLost)]
#[case::drains_unread("discovery-no-drains", woadreach_invariants::Rule::DrainRespected)]
#[case::floor("routing-floor", woadreach_invariants::Rule::HonestAnswers)]
fn an_injected_bug_is_found(#[case] mutation: &str, #[case] rule: woadreach_invariants::Rule) {
    let hunted = woadreach_simulation::mutations::hunt(mutation, 0..200, false).unwrap();
    assert_eq!(hunted.rule, Some(rule.to_string()));
    play_without_breach(&Script::draw(hunted.seed.unwrap(), &[], None));
}
