//! Orders at the worst moments: a change of view at each moment of an order that two machines got, and more
//! changes than are remembered.
//!
//! `WOADREACH_RUNS` sets the number of runs beyond the limit (6 by default), `WOADREACH_SEED` the first seed.

mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::event::Event;
use simulation::faults::play_in;
use simulation::operator::{CallId, new_put};
use simulation::world::{InjectedBug, World};
use woadreach_chain::{Command, MAX_APPLIED_CONFIGURATIONS, PutConfiguration, Request};

/// Operators whose orders these tests send; the world's own ones are the first two.
const OWN_OPERATOR: usize = 0;
/// Distance of the moments at which the members are struck.
const GRID: Duration = Duration::from_micros(500);
/// An order in a calm world has its answer within this time.
const MAX_ORDER_TIME: Duration = Duration::from_millis(40);

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// A calm world of three machines, without orders of its own.
fn quiet_world(seed: u64, bug: Option<InjectedBug>) -> World {
    let mut world = World::new(seed, 3, 0, 1, bug);
    world.are_faults_over = true;
    world.operators.is_stopped = true;
    world.run_until(Duration::from_secs(6));
    world
}

/// Sends `put` to the machines `nodes` at once and expects the history to get the answers.
fn send(world: &mut World, order: u64, put: &PutConfiguration, nodes: &[usize]) {
    let request = Request::Submit(Command::PutConfiguration(put.clone()));
    let call = CallId {
        operator: OWN_OPERATOR,
        order,
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

/// A fault of a member while orders are in flight.
type InjectFault = fn(&mut World, usize);

const FAULTS: [(&str, InjectFault); 4] = [
    ("killed", World::kill),
    ("wiped", World::wipe),
    ("frozen", |world, node| {
        world.freeze(node, Duration::from_secs(3))
    }),
    ("cut off", |world, node| {
        for other in (0..world.nodes.len()).filter(|&other| other != node) {
            world.partitioned_links.insert((node, other));
            world.partitioned_links.insert((other, node));
        }
    }),
];

/// Two orders on one version, each at two machines, and then again at all of them; the member at `position`
/// of the chain is struck `moment` after they were sent.
fn race_through(
    moment: Duration,
    position: usize,
    inject_fault: InjectFault,
    bug: Option<InjectedBug>,
) -> World {
    let mut world = quiet_world(7, bug);
    let chain = world.nodes[0]
        .member
        .as_ref()
        .expect("it runs")
        .durable()
        .view
        .chain
        .clone();
    let affected = world
        .nodes
        .iter()
        .position(|node| node.address == chain[position].address);
    let affected = affected.expect("a machine of the world");
    let [one, other] = racing_orders();
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

fn racing_orders() -> [PutConfiguration; 2] {
    [new_put(0, 5, 1), new_put(0, 5, 2)]
}

/// Whether the first of the two orders won; what is wrong if not one of them did, or one was answered in two
/// ways.
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
    let [one, other] = racing_orders();
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
        Err(format!("acknowledged, rejected: {answers:?}"))
    }
}

/// Every moment, member and way of losing it; which orders won, or the first thing that is wrong.
fn race_at_each_moment(bug: Option<InjectedBug>) -> Result<BTreeSet<bool>, String> {
    let mut winners = BTreeSet::new();
    let moments = MAX_ORDER_TIME.as_micros() / GRID.as_micros();
    for (name, inject_fault) in FAULTS {
        for position in 0..3 {
            for step in 0..moments {
                let moment = GRID * u32::try_from(step).expect("small");
                let world = race_through(moment, position, inject_fault, bug);
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
fn of_two_orders_one_wins_whenever_a_member_is_lost() {
    assert_eq!(race_at_each_moment(None), Ok(BTreeSet::from([false, true])));
}

#[cfg(feature = "mutations")]
#[test]
fn hasty_answers_are_found_at_some_moment() {
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
fn beyond_the_limit_no_applied_change_is_rejected() {
    let first = number("WOADREACH_SEED", 1);
    for seed in first..first + number("WOADREACH_RUNS", 6) {
        let mut world = World::new(seed, 3, 0, 1, None);
        world.begin_after(MAX_APPLIED_CONFIGURATIONS as u64 + 100);
        let finding = play_in(world, Duration::from_secs(8));
        assert!(
            finding.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            finding.violations,
            finding.history
        );
        assert!(finding.acknowledged > 0, "seed {seed}");
    }
}
