//! Exhaustive search of a small model of views and chain replication, with `stateright`. It has three members,
//! one of which may lose its disk once the others have caught up. Any majority may decide a view at any time,
//! and members may act on an old view.
//!
//! The next view is chosen by the real [`next_view`]. The agreement is assumed: a view is decided in one step,
//! which seals the epoch at the majority that decides it.

use std::net::{Ipv4Addr, SocketAddrV4};

use stateright::{Checker, HasDiscoveries, Model, Property};
use woadreach_chain::{
    Candidate, FailureDomain, MemberId, Policy, Tolerance, View, WritePosition, next_view,
};

const MEMBERS: usize = 3;
/// Injected bug of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// A member that lost its disk retains its identity and its last active epoch.
    IdentitySurvivesWipe,
}

#[derive(Clone, Debug)]
struct SmallWorld {
    bug: InjectedBug,
    /// Maximum number of views decided after the first.
    views: u64,
    /// Maximum number of writes.
    writes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    identity: u64,
    /// Epoch of the newest view that the node has installed.
    epoch: u64,
    /// The newest epoch that the node has sealed.
    sealed: u64,
    /// The last epoch in which the node was active.
    active: u64,
    /// Writes, each with the epoch in which it was appended.
    log: Vec<(u64, u8)>,
}

/// A decided view with identities instead of members, so that it can be hashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Decided {
    voters: Vec<u64>,
    chain: Vec<u64>,
    floor: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    views: Vec<Decided>,
    committed: Vec<(u64, u8)>,
    is_lost: bool,
    writes: u8,
    is_wiped: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    /// These members promise, and the next view is decided from their reports.
    Decide(Vec<usize>),
    Install(usize),
    Write(usize),
    /// The member copies its predecessor's state.
    Replicate(usize),
    /// The tail commits.
    Commit(usize),
    Wipe(usize),
}

fn member(index: usize, identity: u64) -> MemberId {
    MemberId {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000),
        identity,
    }
}

fn index_of(identity: u64) -> usize {
    (identity % 10) as usize
}

fn id(identity: u64) -> MemberId {
    member(index_of(identity), identity)
}

impl State {
    fn newest(&self) -> u64 {
        self.views.len() as u64
    }

    fn view(&self, epoch: u64) -> &Decided {
        &self.views[epoch as usize - 1]
    }

    /// Whether the node is in the chain of the view that it has installed.
    fn is_in_chain(&self, node: &Node) -> bool {
        self.view(node.epoch).chain.contains(&node.identity)
    }

    fn candidate(&self, node: &Node) -> Candidate {
        let number = node.log.len() as u64;
        let epoch = node.log.last().map_or(0, |(epoch, _)| *epoch);
        Candidate {
            member: id(node.identity),
            active_epoch: node.active,
            position: WritePosition { epoch, number },
            can_replicate: true,
            failure_domain: FailureDomain::default(),
        }
    }

    /// The next view according to the reports of these members.
    fn next(&self, promised: &[usize]) -> Option<Decided> {
        let epoch = self.newest();
        let decided = self.view(epoch);
        let current = View {
            epoch,
            voters: decided.voters.iter().copied().map(id).collect(),
            chain: decided.chain.iter().copied().map(id).collect(),
            floor: decided.floor,
        };
        let voters: Vec<Candidate> = promised
            .iter()
            .map(|&index| self.candidate(&self.nodes[index]))
            .collect();
        let others = self
            .nodes
            .iter()
            .filter(|node| !decided.voters.contains(&node.identity));
        let learners: Vec<Candidate> = others.map(|node| self.candidate(node)).collect();
        let policy = Policy::tolerating(Tolerance {
            machines: 1,
            ..Tolerance::default()
        });
        let next = next_view(&current, &voters, &learners, policy, &|_, _| true).ok()?;
        Some(Decided {
            voters: next.voters.iter().map(|voter| voter.identity).collect(),
            chain: next.chain.iter().map(|member| member.identity).collect(),
            floor: next.floor,
        })
    }

    /// Whether every member except `excluded` is active in the newest view, so that `excluded` may fail.
    fn have_others_caught_up(&self, excluded: usize) -> bool {
        let newest = self.newest();
        let others = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != excluded);
        others.into_iter().all(|(_, node)| {
            node.active == newest
                && node.sealed < newest
                && self.view(newest).chain.contains(&node.identity)
        })
    }
}

impl Model for SmallWorld {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let node = |index: usize| Node {
            identity: 10 + index as u64,
            epoch: 1,
            sealed: 0,
            active: 0,
            log: Vec::new(),
        };
        let nodes: Vec<Node> = (0..MEMBERS).map(node).collect();
        let all: Vec<u64> = nodes.iter().map(|node| node.identity).collect();
        let mut state = State {
            nodes,
            views: vec![Decided {
                voters: all.clone(),
                chain: all,
                floor: 0,
            }],
            committed: Vec::new(),
            is_lost: false,
            writes: 0,
            is_wiped: false,
        };
        state.nodes[0].active = 1;
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let newest = state.newest();
        let is_open = |node: &Node| node.sealed < node.epoch;
        if newest <= self.views {
            for promised in [vec![0, 1], vec![0, 2], vec![1, 2], vec![0, 1, 2]] {
                let may_promise = |&index: &usize| {
                    let node = &state.nodes[index];
                    node.epoch == newest && state.view(newest).voters.contains(&node.identity)
                };
                if promised.iter().all(may_promise) {
                    actions.push(Action::Decide(promised));
                }
            }
        }
        for (index, node) in state.nodes.iter().enumerate() {
            if node.epoch < newest {
                actions.push(Action::Install(index));
            }
            let is_active = state.is_in_chain(node) && node.active == node.epoch && is_open(node);
            let chain = &state.view(node.epoch).chain;
            if is_active && chain.first() == Some(&node.identity) && state.writes < self.writes {
                actions.push(Action::Write(index));
            }
            if state.is_in_chain(node) && is_open(node) && chain.first() != Some(&node.identity) {
                actions.push(Action::Replicate(index));
            }
            if is_active && chain.last() == Some(&node.identity) && chain.len() >= 2 {
                actions.push(Action::Commit(index));
            }
            if !state.is_wiped && state.have_others_caught_up(index) {
                actions.push(Action::Wipe(index));
            }
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Decide(promised) => {
                let newest = state.newest();
                // The voters seal the epoch even if no view can be decided.
                for &index in &promised {
                    next.nodes[index].sealed = newest;
                }
                if let Some(decided) = state.next(&promised) {
                    let head = &state.nodes[index_of(decided.chain[0])];
                    next.is_lost |= !head.log.starts_with(&state.committed);
                    next.views.push(decided);
                }
            }
            Action::Install(index) => {
                let newest = state.newest();
                let is_head =
                    state.view(newest).chain.first() == Some(&state.nodes[index].identity);
                next.nodes[index].epoch = newest;
                if is_head {
                    next.nodes[index].active = newest;
                }
            }
            Action::Write(index) => {
                next.writes += 1;
                let epoch = state.nodes[index].epoch;
                next.nodes[index].log.push((epoch, next.writes));
            }
            Action::Replicate(index) => {
                let node = &state.nodes[index];
                let chain = &state.view(node.epoch).chain;
                let position = chain
                    .iter()
                    .position(|&identity| identity == node.identity)?;
                let predecessor = &state.nodes[index_of(chain[position - 1])];
                let is_sending = predecessor.identity == chain[position - 1]
                    && predecessor.epoch == node.epoch
                    && predecessor.active == node.epoch;
                if !is_sending {
                    return None;
                }
                next.nodes[index].log = predecessor.log.clone();
                next.nodes[index].active = node.epoch;
            }
            Action::Commit(index) => {
                let log = &state.nodes[index].log;
                if log.len() <= state.committed.len() {
                    return None;
                }
                next.is_lost |= !log.starts_with(&state.committed);
                next.committed = log.clone();
            }
            Action::Wipe(index) => {
                next.is_wiped = true;
                let node = &mut next.nodes[index];
                node.log.clear();
                node.sealed = 0;
                if self.bug != InjectedBug::IdentitySurvivesWipe {
                    node.identity = 20 + index as u64;
                    node.active = 0;
                }
                node.epoch = state.newest();
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no committed write is lost", |_, state| !state.is_lost),
            Property::<Self>::always("some majority can decide a view", |_, state| {
                let newest = state.newest();
                let all: Vec<usize> = (0..MEMBERS)
                    .filter(|&index| {
                        state
                            .view(newest)
                            .voters
                            .contains(&state.nodes[index].identity)
                    })
                    .collect();
                all.len() >= 2 && state.next(&all).is_some()
            }),
            Property::<Self>::sometimes("a write is committed after a wipe", |_, state| {
                state.is_wiped && state.committed.last().is_some_and(|(epoch, _)| *epoch > 2)
            }),
        ]
    }
}

#[test]
fn no_committed_write_is_lost() {
    let world = SmallWorld {
        bug: InjectedBug::None,
        views: 2,
        writes: 2,
    };
    world
        .checker()
        .threads(2)
        .spawn_bfs()
        .join()
        .assert_properties();
}

fn is_found(bug: InjectedBug) -> bool {
    let world = SmallWorld {
        bug,
        views: 3,
        writes: 1,
    };
    let checker = world
        .checker()
        .threads(2)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    checker.discovery("no committed write is lost").is_some()
}

#[test]
fn a_member_that_votes_under_its_old_identity_after_a_wipe_is_found() {
    assert!(is_found(InjectedBug::IdentitySurvivesWipe));
}
