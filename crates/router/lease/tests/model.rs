//! Every run of a small world, by `stateright`: three members, of which two would hold the duty; clocks one
//! per cent fast and slow; messages lost, late, doubled and in any order; a member that stands still for any
//! time, and one that starts again and has forgotten.

use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use woadreach_lease::{LeaseConfig, Leases, Message, Role, seal};
use woadreach_membership::MemberId;

const DUTY: Role = Role::QuotaAllocator(0);
const MEMBERS: usize = 3;
/// True seconds are whole; the fast clock is an acceptor's.
const RATES: [f64; MEMBERS] = [0.99, 1.0, 1.01];
const START: f64 = 10.0;

#[derive(Clone, Debug)]
struct World {
    figures: LeaseConfig,
    /// The true seconds up to which it is looked at, and most messages that are under way.
    until: u8,
    most: usize,
    /// Messages may come twice, and how many members may start again.
    doubled: u8,
    restarts: u8,
    /// Planted: the receiver takes whatever comes.
    takes_stale: bool,
    /// Nothing is lost or late and nobody stands still; this member dies at this time.
    fair: Option<(usize, u8)>,
}

#[derive(Clone, Debug)]
struct State {
    at: u8,
    nodes: Vec<Leases>,
    flight: Vec<(usize, usize, Message)>,
    doubled: u8,
    restarts: u8,
    /// The highest epoch under which each receiver has taken an act, and whether it took an older one after
    /// it.
    taken: u32,
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// The next second: all run then but those that stand still, a bit each.
    Second(u8),
    Deliver(usize, bool),
    Restart(usize),
}

fn clock(n: usize, at: u8) -> f64 {
    START + RATES[n] * f64::from(at)
}

impl State {
    fn key(&self) -> Vec<i64> {
        let mut key = vec![
            i64::from(self.at),
            i64::from(self.doubled),
            i64::from(self.restarts),
        ];
        key.extend([i64::from(self.taken), i64::from(self.went_back)]);
        for (n, node) in self.nodes.iter().enumerate() {
            key.push(-9 - n as i64);
            key.extend(node.essence(clock(n, self.at)));
        }
        let mut flight: Vec<Vec<i64>> = Vec::new();
        for (from, to, message) in &self.flight {
            let bytes = seal(std::slice::from_ref(message))
                .into_iter()
                .map(i64::from);
            flight.push(
                [*from as i64, *to as i64]
                    .into_iter()
                    .chain(bytes)
                    .collect(),
            );
        }
        flight.sort();
        key.extend(flight.into_iter().flat_map(|m| [vec![-8], m].concat()));
        key
    }

    fn holders(&self) -> usize {
        let holds = |n: &usize| self.nodes[*n].holds(clock(*n, self.at), DUTY).is_some();
        (0..MEMBERS).filter(holds).count()
    }

    fn send(&mut self, from: usize, acts: woadreach_lease::Actions) {
        for (to, message) in acts.send {
            let sent = (from, usize::from(to.0), message);
            // One of a kind under way is as good as two: doubling is an action of its own.
            if !self.flight.contains(&sent) {
                self.flight.push(sent);
            }
        }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

impl World {
    fn new(figures: LeaseConfig) -> World {
        World {
            figures,
            until: 4,
            most: 4,
            doubled: 0,
            restarts: 0,
            takes_stale: false,
            fair: None,
        }
    }

    fn dead(&self, n: usize, at: u8) -> bool {
        self.fair.is_some_and(|(who, from)| who == n && at >= from)
    }

    fn run(&self, s: &mut State, n: usize) {
        let now = clock(n, s.at);
        let acts = s.nodes[n].want(now, &self.wanted());
        s.send(n, acts);
        // An act, on its way to the member that bids for nothing.
        if let Some(fence) = s.nodes[n].holds(now, DUTY) {
            let act = (
                n,
                2,
                Message::Beacon {
                    duty: DUTY,
                    fence,
                    stamp: 0,
                },
            );
            if !s.flight.contains(&act) {
                s.flight.push(act);
            }
        }
    }

    fn take(&self, s: &mut State, message: &Message) {
        if let Message::Beacon { fence, .. } = message
            && (s.nodes[2].accept(clock(2, s.at), DUTY, *fence) || self.takes_stale)
        {
            s.went_back |= fence.epoch < s.taken;
            s.taken = s.taken.max(fence.epoch);
        }
    }

    fn wanted(&self) -> BTreeMap<Role, Vec<MemberId>> {
        BTreeMap::from([(DUTY, vec![MemberId(0), MemberId(1)])])
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // Long started, so that all may speak; the clocks agree at the beginning.
        let node = |n| {
            Leases::new(
                MemberId(n as u16),
                MEMBERS,
                self.figures.clone(),
                n as u64,
                START - 5.0,
            )
        };
        let mut state = State {
            at: 0,
            nodes: (0..MEMBERS).map(node).collect(),
            flight: Vec::new(),
            doubled: self.doubled,
            restarts: self.restarts,
            taken: 0,
            went_back: false,
        };
        state.nodes.iter_mut().for_each(|n| drop(n.tick(START)));
        vec![state]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if self.fair.is_none() {
            actions.extend((0..1 << MEMBERS).map(Action::Second));
        } else if s.flight.is_empty() {
            actions.push(Action::Second(0));
        }
        for i in 0..s.flight.len() {
            actions.push(Action::Deliver(i, false));
            if s.doubled > 0 {
                actions.push(Action::Deliver(i, true));
            }
        }
        if s.restarts > 0 {
            actions.push(Action::Restart(2));
        }
    }

    fn next_state(&self, s: &State, action: Action) -> Option<State> {
        let mut s = s.clone();
        match action {
            Action::Second(still) => {
                s.at += 1;
                let runs = |n: &usize| still & (1 << n) == 0 && !self.dead(*n, s.at);
                for n in (0..MEMBERS).filter(runs).collect::<Vec<_>>() {
                    self.run(&mut s, n);
                }
            }
            Action::Deliver(i, again) => {
                let (from, to, message) = s.flight[i].clone();
                if again {
                    s.doubled -= 1;
                } else {
                    s.flight.remove(i);
                }
                if !self.dead(to, s.at) {
                    self.take(&mut s, &message);
                    let acts = s.nodes[to].heard(clock(to, s.at), MemberId(from as u16), &message);
                    s.send(to, acts);
                }
            }
            Action::Restart(n) => {
                s.restarts -= 1;
                let (id, now) = (MemberId(n as u16), clock(n, s.at));
                s.nodes[n] = Leases::new(id, MEMBERS, self.figures.clone(), 77, now);
                // What it took before is forgotten with it.
                s.taken = 0;
            }
        }
        Some(s)
    }

    fn within_boundary(&self, s: &State) -> bool {
        s.at <= self.until && s.flight.len() <= self.most
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at most", |_, s: &State| s.holders() <= 1),
            Property::always("no older epoch after a later one", |_, s: &State| {
                !s.went_back
            }),
            Property::sometimes("somebody holds", |_, s: &State| s.holders() == 1),
            Property::sometimes("it passes to another", |_, s: &State| {
                s.holders() == 1
                    && s.nodes[1]
                        .holds(clock(1, s.at), DUTY)
                        .is_some_and(|f| f.epoch > 1)
            }),
            Property::always(
                "once most hear each other, somebody holds in time",
                |w: &World, s: &State| {
                    // A lease and two rounds, of a second each here, after the death; asked at the next second.
                    let late = w
                        .fair
                        .is_some_and(|(_, from)| f64::from(s.at - from.min(s.at)) > 3.0 + 2.0);
                    !(late && s.flight.is_empty()) || s.holders() == 1
                },
            ),
        ]
    }
}

/// One second is a round here: what is a tenth of one in service is whole. No chance: each order is tried.
fn figures() -> LeaseConfig {
    let real = LeaseConfig::default();
    let rounds = LeaseConfig {
        renew: 1.0,
        again: 1.0,
        patience: 1.0,
        backoff: 0.0,
        first: 2.0,
        ..real
    };
    LeaseConfig {
        acceptors: MEMBERS,
        ..rounds
    }
}

/// All that can happen, or until a property fails.
fn check(world: World) -> impl Checker<World> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = world
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures);
    let checked = checker.spawn_bfs().join();
    println!(
        "{} states, {} of them unlike",
        checked.state_count(),
        checked.unique_state_count()
    );
    checked
}

#[rstest]
#[case::doubled(4, 1, 0, 3)]
#[case::an_acceptor_starts_again(4, 0, 1, 3)]
#[case::longer(5, 0, 0, 3)]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn in_every_run_of_a_small_world_one_holds_at_most(
    #[case] until: u8,
    #[case] doubled: u8,
    #[case] restarts: u8,
    #[case] most: usize,
) {
    let checked = check(World {
        until,
        doubled,
        restarts,
        most,
        ..World::new(figures())
    });
    checked.assert_no_discovery("one holder at most");
    checked.assert_no_discovery("no older epoch after a later one");
    checked.assert_any_discovery("somebody holds");
    if until > 4 {
        checked.assert_any_discovery("it passes to another");
    }
}

#[rstest]
#[case::a_holder_without_its_margin("one holder at most", World::new(LeaseConfig { margin: 0.0, ..figures() }))]
#[case::a_receiver_that_takes_a_stale_epoch(
    "no older epoch after a later one",
    World { until: 6, takes_stale: true, ..World::new(figures()) }
)]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_injected_bug_is_found(#[case] property: &'static str, #[case] world: World) {
    // Depth first: what is planted shows at the end of long runs.
    let failures = HasDiscoveries::AnyFailures;
    let checked = world
        .checker()
        .finish_when(failures)
        .target_state_count(30_000_000)
        .spawn_dfs()
        .join();
    checked.assert_any_discovery(property);
}

#[test]
fn once_most_hear_each_other_somebody_holds_in_time() {
    let fair = World {
        fair: Some((0, 3)),
        until: 10,
        most: 12,
        ..World::new(figures())
    };
    let checked = check(fair);
    checked.assert_no_discovery("once most hear each other, somebody holds in time");
    checked.assert_any_discovery("somebody holds");
}
