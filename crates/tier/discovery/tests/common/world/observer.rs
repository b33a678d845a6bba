//! Observers of the core.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use woadreach_discovery::ReplicaState;
use woadreach_discovery::messages::{ConfigurationResponse, PollResponse, Request, decode, encode};
use woadreach_discovery::watcher::{WatchAction, Watcher};

use super::World;
use super::core_node::core_index;
use super::event::{Event, Message, Node};

pub(crate) struct EdgeNode {
    pub(crate) watcher: Watcher,
    pub(crate) incarnation: u64,
    pub(crate) name: String,
    pub(super) calls: BTreeMap<u64, (SocketAddr, Call)>,
    pub(crate) bytes: u64,
    pub(crate) messages: u64,
    pub(crate) configuration: u64,
    pub(super) wake: Option<Duration>,
    pub(crate) is_paused: bool,
    /// Events that the process handles when it resumes.
    pub(super) deferred_events: VecDeque<Event>,
}

impl EdgeNode {
    pub(super) fn new(edge: usize, seeds: Vec<SocketAddr>) -> Self {
        let name = format!("edge-{edge}");
        Self {
            watcher: Watcher::new(Duration::ZERO, name.clone(), seeds),
            incarnation: 1,
            name,
            calls: BTreeMap::new(),
            bytes: 0,
            messages: 0,
            configuration: 0,
            wake: None,
            is_paused: false,
            deferred_events: VecDeque::new(),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    Poll,
    Configuration,
}

impl World {
    pub(crate) fn restart_edge(&mut self, edge: usize, seeds: Vec<SocketAddr>) {
        let node = &mut self.edges[edge];
        node.incarnation += 1;
        node.watcher = Watcher::new(self.now, node.name.clone(), seeds);
        node.calls.clear();
        node.configuration = 0;
        node.wake = None;
        node.is_paused = false;
        node.deferred_events.clear();
        let incarnation = node.incarnation;
        self.schedule(self.now, Event::EdgeWake { edge, incarnation });
    }

    /// Pauses the observer until [`Self::resume_edge`] or [`Self::restart_edge`].
    pub(crate) fn pause_edge(&mut self, edge: usize) {
        self.edges[edge].is_paused = true;
    }

    /// Lets the observer handle what happened while it was paused. If `answers_are_late`, the time-outs that have passed
    /// come first, so that the answers to those calls are not read any more.
    pub(crate) fn resume_edge(&mut self, edge: usize, answers_are_late: bool) {
        self.edges[edge].is_paused = false;
        let mut deferred: Vec<Event> = self.edges[edge].deferred_events.drain(..).collect();
        if answers_are_late {
            deferred.sort_by_key(|event| matches!(event, Event::Deliver { .. }));
        }
        for event in deferred {
            self.schedule(self.now, event);
        }
    }

    /// Whether the observer would send new requests to the replica.
    pub(crate) fn edge_routes_to(&self, edge: usize, replica: usize) -> bool {
        let present = self.edges[edge].watcher.table().replicas();
        present
            .get(&self.replicas[replica].id)
            .is_some_and(|record| record.heartbeat.state == ReplicaState::Ready)
    }

    pub(crate) fn edges_using(&self, replica: usize) -> usize {
        (0..self.edges.len())
            .filter(|edge| self.edge_routes_to(*edge, replica))
            .count()
    }

    pub(super) fn wake_edge(&mut self, edge: usize) {
        self.edges[edge].wake = None;
        self.start_edge_calls(edge);
    }

    pub(super) fn start_edge_calls(&mut self, edge: usize) {
        let incarnation = self.edges[edge].incarnation;
        for action in self.edges[edge].watcher.start_due_calls(self.now) {
            let call = self.next_call();
            let (machine, kind, body, timeout) = match action {
                WatchAction::Poll {
                    machine,
                    request,
                    timeout,
                } => (
                    machine,
                    Call::Poll,
                    encode(&Request::Poll(request)),
                    timeout,
                ),
                WatchAction::FetchConfiguration { machine, timeout } => (
                    machine,
                    Call::Configuration,
                    encode(&Request::Configuration),
                    timeout,
                ),
            };
            self.edges[edge].calls.insert(call, (machine, kind));
            let to = Node::Core(core_index(machine));
            self.send(
                Node::Edge(edge),
                to,
                Message::Request {
                    call,
                    incarnation,
                    body,
                },
            );
            self.schedule(
                self.now + timeout,
                Event::EdgeTimeout {
                    edge,
                    incarnation,
                    call,
                },
            );
        }
        let node = &mut self.edges[edge];
        if let Some(next) = node.watcher.next_wake() {
            let next = next.max(self.now);
            if node.wake.is_none_or(|wake| wake > next) {
                node.wake = Some(next);
                self.schedule(next, Event::EdgeWake { edge, incarnation });
            }
        }
    }

    pub(super) fn edge_answered(&mut self, edge: usize, call: u64, body: &[u8]) {
        let now = self.now;
        let node = &mut self.edges[edge];
        let Some((machine, kind)) = node.calls.remove(&call) else {
            return;
        };
        match kind {
            Call::Poll => {
                let response: PollResponse = decode(body).expect("a valid answer to a poll");
                node.watcher.poll_answered(now, machine, response);
            }
            Call::Configuration => {
                let response: ConfigurationResponse = decode(body).expect("a configuration");
                let generation = response
                    .configuration
                    .map(|configuration| configuration.version);
                if node.watcher.configuration_fetched(now, generation) {
                    let generation = generation.expect("a newer configuration has a generation");
                    assert!(
                        generation > node.configuration,
                        "the generation decreased within one incarnation"
                    );
                    node.configuration = generation;
                }
            }
        }
        self.start_edge_calls(edge);
    }

    pub(super) fn edge_call_failed(&mut self, edge: usize, call: u64) {
        let now = self.now;
        let node = &mut self.edges[edge];
        match node.calls.remove(&call) {
            None => return,
            Some((machine, Call::Poll)) => {
                node.watcher.poll_failed(now, machine);
            }
            Some((_, Call::Configuration)) => {
                node.watcher.configuration_fetched(now, None);
            }
        }
        self.start_edge_calls(edge);
    }
}
