//! Model check of leases with `stateright`: all runs of a small tier. It has three members, of which two are
//! candidates, and clocks that are 1 % fast and slow. Messages are lost, delayed, duplicated and reordered; members
//! stall for any time, and one restarts.

use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use woadreach_lease::{
    Actions, ClockStamp, LeaseConfig, Leases, Message, OutgoingMessage, Role, encode_messages,
};
use woadreach_membership::MemberId;

const ROLE: Role = Role::QuotaAllocator(0);
const MEMBERS: usize = 3;
/// True time advances by whole seconds; the fast clock is an acceptor's.
const RATES: [f64; MEMBERS] = [0.99, 1.0, 1.01];
const START: f64 = 10.0;

#[derive(Clone, Debug)]
struct World {
    config: LeaseConfig,
    /// True time at which runs end, in seconds.
    until: u8,
    /// Limit on the number of messages in flight.
    max_in_flight: usize,
    /// Number of messages that may be duplicated.
    duplicates: u8,
    /// Number of restarts that may occur.
    restarts: u8,
    /// Injected bug: the receiver accepts every action.
    accepts_stale_tokens: bool,
    /// If set, this crash is the only fault: each message is delivered within the second in which it was sent, and no
    /// member stalls.
    only_fault: Option<Crash>,
}

/// A permanent crash of a member.
#[derive(Clone, Copy, Debug)]
struct Crash {
    member: usize,
    /// True time of the crash, in seconds.
    at: u8,
}

#[derive(Clone, Debug)]
struct State {
    at: u8,
    nodes: Vec<Leases>,
    in_flight: Vec<(usize, usize, Message)>,
    duplicates: u8,
    restarts: u8,
    /// Highest epoch of an accepted action.
    accepted_epoch: u32,
    /// Whether an action was accepted after one with a higher epoch.
    regressed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Advances time by one second. Members whose bit is set stall; all others run.
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
            i64::from(self.duplicates),
            i64::from(self.restarts),
        ];
        key.extend([i64::from(self.accepted_epoch), i64::from(self.regressed)]);
        for (n, node) in self.nodes.iter().enumerate() {
            key.push(-9 - n as i64);
            key.extend(node.canonical_state(clock(n, self.at)));
        }
        let mut in_flight: Vec<Vec<i64>> = Vec::new();
        for (from, to, message) in &self.in_flight {
            let bytes = encode_messages(std::slice::from_ref(message))
                .into_iter()
                .map(i64::from);
            in_flight.push(
                [*from as i64, *to as i64]
                    .into_iter()
                    .chain(bytes)
                    .collect(),
            );
        }
        in_flight.sort();
        key.extend(in_flight.into_iter().flat_map(|m| [vec![-8], m].concat()));
        key
    }

    fn holders(&self) -> usize {
        let holds = |n: &usize| self.nodes[*n].token(clock(*n, self.at), ROLE).is_some();
        (0..MEMBERS).filter(holds).count()
    }

    fn send(&mut self, from: usize, actions: Actions) {
        for OutgoingMessage { to, message } in actions.messages {
            let sent = (from, usize::from(to.0), message);
            // Equal messages in flight are stored once, as duplication is a separate action.
            if !self.in_flight.contains(&sent) {
                self.in_flight.push(sent);
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
    fn new(config: LeaseConfig) -> World {
        World {
            config,
            until: 4,
            max_in_flight: 4,
            duplicates: 0,
            restarts: 0,
            accepts_stale_tokens: false,
            only_fault: None,
        }
    }

    fn has_crashed(&self, n: usize, at: u8) -> bool {
        self.only_fault
            .is_some_and(|crash| crash.member == n && at >= crash.at)
    }

    fn run(&self, s: &mut State, n: usize) {
        let now = clock(n, s.at);
        let actions = s.nodes[n].set_candidates(now, &self.candidates());
        s.send(n, actions);
        // The holder sends an action to the member that is not a candidate.
        if let Some(token) = s.nodes[n].token(now, ROLE) {
            let action = (
                n,
                2,
                Message::Beacon {
                    role: ROLE,
                    token,
                    sent_at: ClockStamp(0),
                },
            );
            if !s.in_flight.contains(&action) {
                s.in_flight.push(action);
            }
        }
    }

    fn accept_action(&self, s: &mut State, message: &Message) {
        if let Message::Beacon { token, .. } = message
            && (s.nodes[2].accept_token(clock(2, s.at), ROLE, *token) || self.accepts_stale_tokens)
        {
            s.regressed |= token.epoch < s.accepted_epoch;
            s.accepted_epoch = s.accepted_epoch.max(token.epoch);
        }
    }

    fn candidates(&self) -> BTreeMap<Role, Vec<MemberId>> {
        BTreeMap::from([(ROLE, vec![MemberId(0), MemberId(1)])])
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // All members have started long ago, so that no acceptor is recovering. Their clocks agree at the beginning.
        let node = |n| {
            Leases::new(
                MemberId(n as u16),
                MEMBERS,
                self.config.clone(),
                n as u64,
                START - 5.0,
            )
        };
        let mut state = State {
            at: 0,
            nodes: (0..MEMBERS).map(node).collect(),
            in_flight: Vec::new(),
            duplicates: self.duplicates,
            restarts: self.restarts,
            accepted_epoch: 0,
            regressed: false,
        };
        state.nodes.iter_mut().for_each(|n| drop(n.tick(START)));
        vec![state]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if self.only_fault.is_none() {
            actions.extend((0..1 << MEMBERS).map(Action::Second));
        } else if s.in_flight.is_empty() {
            actions.push(Action::Second(0));
        }
        for i in 0..s.in_flight.len() {
            actions.push(Action::Deliver(i, false));
            if s.duplicates > 0 {
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
            Action::Second(stalled) => {
                s.at += 1;
                let runs = |n: &usize| stalled & (1 << n) == 0 && !self.has_crashed(*n, s.at);
                for n in (0..MEMBERS).filter(runs).collect::<Vec<_>>() {
                    self.run(&mut s, n);
                }
            }
            Action::Deliver(i, again) => {
                let (from, to, message) = s.in_flight[i].clone();
                if again {
                    s.duplicates -= 1;
                } else {
                    s.in_flight.remove(i);
                }
                if !self.has_crashed(to, s.at) {
                    self.accept_action(&mut s, &message);
                    let actions =
                        s.nodes[to].receive(clock(to, s.at), MemberId(from as u16), &message);
                    s.send(to, actions);
                }
            }
            Action::Restart(n) => {
                s.restarts -= 1;
                let (id, now) = (MemberId(n as u16), clock(n, s.at));
                s.nodes[n] = Leases::new(id, MEMBERS, self.config.clone(), 77, now);
                // The restarted member has lost the epochs that it accepted.
                s.accepted_epoch = 0;
            }
        }
        Some(s)
    }

    fn within_boundary(&self, s: &State) -> bool {
        s.at <= self.until && s.in_flight.len() <= self.max_in_flight
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one holder", |_, s: &State| s.holders() <= 1),
            Property::always(
                "epochs of accepted actions never decrease",
                |_, s: &State| !s.regressed,
            ),
            Property::sometimes("a member has the lease", |_, s: &State| s.holders() == 1),
            Property::sometimes("the lease passes to another member", |_, s: &State| {
                s.holders() == 1
                    && s.nodes[1]
                        .token(clock(1, s.at), ROLE)
                        .is_some_and(|f| f.epoch > 1)
            }),
            Property::always(
                "a majority elects a holder in time",
                |w: &World, s: &State| {
                    // The time is a lease and two rounds, of one second each in this model, after the crash.
                    let late = w
                        .only_fault
                        .is_some_and(|crash| f64::from(s.at - crash.at.min(s.at)) > 3.0 + 2.0);
                    !(late && s.in_flight.is_empty()) || s.holders() == 1
                },
            ),
        ]
    }
}

/// The configuration of leases in the model: a round trip takes one second, and there is no random backoff, because the
/// checker tries every order.
fn config() -> LeaseConfig {
    let default = LeaseConfig::default();
    let timing = LeaseConfig {
        renew_interval_s: 1.0,
        retry_interval_s: 1.0,
        proposal_timeout_s: 1.0,
        backoff_s: 0.0,
        initial_grant_duration_s: 2.0,
        ..default
    };
    LeaseConfig {
        max_acceptors: MEMBERS,
        ..timing
    }
}

/// Checks all runs, and stops early once a property fails.
fn check(world: World) -> impl Checker<World> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = world
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures);
    let checked = checker.spawn_bfs().join();
    println!(
        "{} states, {} of them distinct",
        checked.state_count(),
        checked.unique_state_count()
    );
    checked
}

#[rstest]
#[case::duplicates(4, 1, 0, 3)]
#[case::acceptor_restart(4, 0, 1, 3)]
#[case::longer_run(5, 0, 0, 3)]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn no_run_has_two_holders(
    #[case] until: u8,
    #[case] duplicates: u8,
    #[case] restarts: u8,
    #[case] max_in_flight: usize,
) {
    let checked = check(World {
        until,
        duplicates,
        restarts,
        max_in_flight,
        ..World::new(config())
    });
    checked.assert_no_discovery("at most one holder");
    checked.assert_no_discovery("epochs of accepted actions never decrease");
    checked.assert_any_discovery("a member has the lease");
    if until > 4 {
        checked.assert_any_discovery("the lease passes to another member");
    }
}

#[rstest]
#[case::no_clock_margin("at most one holder", World::new(LeaseConfig { clock_margin_s: 0.0, ..config() }))]
#[case::stale_epoch_accepted(
    "epochs of accepted actions never decrease",
    World { until: 6, accepts_stale_tokens: true, ..World::new(config()) }
)]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn an_injected_bug_is_detected(#[case] property: &'static str, #[case] world: World) {
    // Depth first, because injected bugs take effect at the end of long runs.
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
fn a_majority_elects_a_holder_in_time() {
    let one_crash = World {
        only_fault: Some(Crash { member: 0, at: 3 }),
        until: 10,
        max_in_flight: 12,
        ..World::new(config())
    };
    let checked = check(one_crash);
    checked.assert_no_discovery("a majority elects a holder in time");
    checked.assert_any_discovery("a member has the lease");
}
