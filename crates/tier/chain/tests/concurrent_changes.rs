//! Concurrent configuration changes. A member fails at each moment while two conflicting changes are in flight,
//! each sent to two machines; and more changes are made than the state retains.
//!
//! `WOADREACH_RUNS` sets the number of runs beyond the retention limit (6 by default), `WOADREACH_SEED` the first
//! seed.

mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::event::Event;
use simulation::faults::simulate_world;
use simulation::operator::{CallId, new_put};
use simulation::world::{InjectedBug, World};
use woadreach_chain::{Command, MAX_APPLIED_CONFIGURATIONS, PutConfiguration, Request};

/// Operator as which these tests send changes; the first of the two operators of the world.
const OPERATOR: usize = 0;
/// Interval between the moments at which a member fails.
const MOMENT_INTERVAL: Duration = Duration::from_micros(500);
/// Without faults, a change is answered within this time.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(40);

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Three machines without faults, whose operators send nothing.
fn idle_world(seed: u64, bug: Option<InjectedBug>) -> World {
    let mut world = World::new(seed, 3, 0, 1, bug);
    world.are_faults_over = true;
    world.operators.is_stopped = true;
    world.run_until(Duration::from_secs(6));
    world
}

/// Sends `put` to the machines `nodes` at once. The history records the answers.
fn send(world: &mut World, operation: u64, put: &PutConfiguration, nodes: &[usize]) {
    let request = Request::Submit(Command::PutConfiguration(put.clone()));
    let call = CallId {
        operator: OPERATOR,
        operation,
        attempt: 0,
    };
    for &node in nodes {
        let event = Event::Call {
            node,
            call,
            request: request.clone(),
            hops: 0,
        };
        world.schedule(Duration::ZERO, event);
    }
}

fn run_for(world: &mut World, time: Duration) {
    let end = world.now + time;
    world.run_until(end);
}

/// Injects a fault of a member while changes are in flight.
type InjectFault = fn(&mut World, usize);

const FAULTS: [(&str, InjectFault); 4] = [
    ("killed", World::kill),
    ("wiped", World::wipe),
    ("frozen", |world, node| {
        world.freeze(node, Duration::from_secs(3))
    }),
    ("partitioned", |world, node| {
        for other in (0..world.nodes.len()).filter(|&other| other != node) {
            world.partitioned_links.insert((node, other));
            world.partitioned_links.insert((other, node));
        }
    }),
];

/// Sends two changes with the same base, each to two machines, and later again to all machines. The member at
/// `position` of the chain fails `moment` after they were sent.
fn race_with_fault(
    moment: Duration,
    position: usize,
    inject_fault: InjectFault,
    bug: Option<InjectedBug>,
) -> World {
    let mut world = idle_world(7, bug);
    let chain = world.nodes[0]
        .member
        .as_ref()
        .expect("a running process")
        .durable()
        .view
        .chain
        .clone();
    let affected = world
        .nodes
        .iter()
        .position(|node| node.address == chain[position].address);
    let affected = affected.expect("a machine of the world");
    let [one, other] = racing_changes();
    send(&mut world, 1, &one, &[0, 1]);
    send(&mut world, 2, &other, &[1, 2]);
    run_for(&mut world, moment);
    inject_fault(&mut world, affected);
    for _ in 0..12 {
        run_for(&mut world, Duration::from_millis(200));
        send(&mut world, 1, &one, &[0, 1, 2]);
        send(&mut world, 2, &other, &[2, 1, 0]);
    }
    world.heal();
    run_for(&mut world, Duration::from_secs(5));
    for _ in 0..5 {
        send(&mut world, 1, &one, &[0, 1, 2]);
        send(&mut world, 2, &other, &[2, 1, 0]);
        run_for(&mut world, Duration::from_millis(100));
    }
    world
}

fn racing_changes() -> [PutConfiguration; 2] {
    [new_put(0, 5, 1), new_put(0, 5, 2)]
}

/// Whether the first of the two changes was applied. An error if not exactly one of them was applied, or if one
/// was both acknowledged and rejected.
fn winner(world: &World) -> Result<bool, String> {
    let members = world.nodes.iter().filter_map(|node| node.member.as_ref());
    let newest = members
        .map(|member| member.published().clone())
        .max_by_key(|state| state.position);
    let newest = newest.expect("machines run");
    let violations = world.history.check(&newest);
    if !violations.is_empty() || newest.applied.len() != 1 {
        return Err(format!("{violations:?}, applied: {:?}", newest.applied));
    }
    let [one, other] = racing_changes();
    let is_first = newest.applied[0].digest == one.digest;
    let answers = world.history.recorded_answers([one.digest, other.digest]);
    let (acknowledged, rejected) = ((true, false), (false, true));
    let expected = if is_first {
        [acknowledged, rejected]
    } else {
        [rejected, acknowledged]
    };
    if answers == expected {
        Ok(is_first)
    } else {
        Err(format!(
            "answers (acknowledged, rejected) are {answers:?}, expected {expected:?}"
        ))
    }
}

/// Runs the race for every fault, member and moment. Returns which of the changes were applied (true: the first),
/// or the first error.
fn race_at_each_moment(bug: Option<InjectedBug>) -> Result<BTreeSet<bool>, String> {
    let mut winners = BTreeSet::new();
    let moments = MAX_CHANGE_TIME.as_micros() / MOMENT_INTERVAL.as_micros();
    for (name, inject_fault) in FAULTS {
        for position in 0..3 {
            for step in 0..moments {
                let moment = MOMENT_INTERVAL * u32::try_from(step).expect("small");
                let world = race_with_fault(moment, position, inject_fault, bug);
                let winner = winner(&world);
                winners.insert(
                    winner.map_err(|why| format!("{position} {name} after {moment:?}: {why}"))?,
                );
            }
        }
    }
    Ok(winners)
}

#[test]
fn exactly_one_of_two_conflicting_changes_is_applied_whenever_a_member_fails() {
    assert_eq!(race_at_each_moment(None), Ok(BTreeSet::from([false, true])));
}

#[cfg(feature = "mutations")]
#[test]
fn premature_answers_are_found() {
    for mutation in [
        woadreach_chain::Mutation::RejectedBeforeCommit,
        woadreach_chain::Mutation::DuplicateBeforeCommit,
    ] {
        let found = race_at_each_moment(Some(InjectedBug::Member(mutation)));
        println!("{mutation:?}: {found:?}");
        assert!(found.is_err(), "{mutation:?}");
    }
}

#[test]
fn applied_changes_beyond_the_retention_limit_are_never_rejected() {
    let first = number("WOADREACH_SEED", 1);
    for seed in first..first + number("WOADREACH_RUNS", 6) {
        let mut world = World::new(seed, 3, 0, 1, None);
        world.preload_changes(MAX_APPLIED_CONFIGURATIONS as u64 + 100);
        let result = simulate_world(world, Duration::from_secs(8));
        assert!(
            result.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            result.violations,
            result.history
        );
        assert!(result.acknowledged > 0, "seed {seed}");
    }
}
