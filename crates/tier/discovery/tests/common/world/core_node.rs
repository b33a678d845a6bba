//! Core machines: their state, batches to each other, and long-polls.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use woadreach_discovery::core_state::{CoreIdentity, CoreState};
use woadreach_discovery::departure::DepartureNotification;
use woadreach_discovery::exchange::{CHANGE_DELAY, Urgency};
use woadreach_discovery::messages::{
    Batch, ConfigurationResponse, PollRequest, RegistryResponse, Request, VersionedBytes, decode,
    encode,
};
use woadreach_discovery::poll_response::has_updates;
use woadreach_discovery::registry::RegistryVersion;
use woadreach_discovery::{CommittedState, ViewSummary};

use super::disk::{Confirmation, CoreDisk, PendingConfirmation};
use super::event::{Event, Message, Node};
use super::{HEARTBEAT, LINK_DELAY, TICK_INTERVAL, World};
use crate::common::FixedState;

pub(crate) struct CoreNode {
    pub(crate) state: CoreState,
    pub(crate) committed: Arc<FixedState>,
    pub(crate) node_state: NodeState,
    pub(crate) incarnation: u64,
    pub(crate) disk: CoreDisk,
    /// Whether a write of departures is in progress.
    pub(super) is_writing: bool,
    pub(super) pending_confirmations: Vec<PendingConfirmation>,
    pub(super) polls: BTreeMap<u64, PendingPoll>,
    pub(super) pending_acknowledgements: BTreeMap<u64, PendingAcknowledgement>,
    pub(super) pending_pulls: BTreeSet<usize>,
    pub(super) warm_peer: bool,
    pub(super) pull_not_before: Duration,
    pub(super) deferred_events: VecDeque<Event>,
    pub(super) is_flush_due: bool,
    /// State after whose change the pending polls were last checked; `None` before the first check.
    pub(super) polls_checked_for: Option<AnsweredState>,
}

impl CoreNode {
    pub(super) fn new(core: usize, members: &[SocketAddr]) -> Self {
        let committed = Arc::new(FixedState::new(members.to_vec()));
        committed.commit_configuration(1);
        Self {
            state: CoreState::new(Duration::ZERO, identity(core, 1, members.len())),
            committed,
            node_state: NodeState::Up,
            incarnation: 1,
            disk: CoreDisk::default(),
            is_writing: false,
            pending_confirmations: Vec::new(),
            polls: BTreeMap::new(),
            pending_acknowledgements: BTreeMap::new(),
            pending_pulls: BTreeSet::new(),
            warm_peer: false,
            pull_not_before: Duration::ZERO,
            deferred_events: VecDeque::new(),
            is_flush_due: false,
            polls_checked_for: None,
        }
    }

    /// Whether the answer to `request` contains updates.
    fn has_updates(&self, now: Duration, request: &PollRequest) -> bool {
        let response = self.state.respond(now, request, self.committed.as_ref());
        has_updates(request, &response)
    }
}

/// Unanswered poll of an observer.
pub(super) struct PendingPoll {
    from: Node,
    incarnation: u64,
    request: PollRequest,
}

/// Versions of the state that a core machine's answers to polls depend on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct AnsweredState {
    registry: RegistryVersion,
    is_warming: bool,
    /// Number of changes of the committed state.
    committed_changes: u64,
}

/// Departure whose acknowledgement waits for the notification of the other core machines.
pub(super) struct PendingAcknowledgement {
    pub(super) replica: usize,
    pub(super) notification: DepartureNotification,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeState {
    Up,
    Down,
    Unreachable,
    Paused,
}

pub(crate) fn core_address(core: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (core >> 8) as u8, core as u8], 7380))
}

pub(super) fn core_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            usize::from(octets[2]) << 8 | usize::from(octets[3])
        }
        SocketAddr::V6(_) => unreachable!("simulated addresses are IPv4"),
    }
}

pub(super) fn identity(core: usize, incarnation: u64, cores: usize) -> CoreIdentity {
    CoreIdentity {
        incarnation: incarnation * 1000 + core as u64,
        address: core_address(core),
        seeds: (0..cores.min(3)).map(core_address).collect(),
        heartbeat_interval: HEARTBEAT,
        reuse_after: Duration::from_secs(2),
    }
}

impl World {
    /// Restarts the core machine with the departures on its disk and no other state.
    pub(crate) fn restart_core(&mut self, core: usize) {
        let cores = self.cores.len();
        let node = &mut self.cores[core];
        node.incarnation += 1;
        node.node_state = NodeState::Up;
        node.state = CoreState::new(self.now, identity(core, node.incarnation, cores));
        node.polls.clear();
        node.pending_acknowledgements.clear();
        node.pending_pulls.clear();
        node.deferred_events.clear();
        node.polls_checked_for = None;
        node.is_flush_due = false;
        self.recover_departures(core);
        self.start_core(core);
    }

    /// Stops, isolates or pauses the core machine until [`Self::restart_core`] or [`Self::resume_core`].
    pub(crate) fn set_node_state(&mut self, core: usize, node_state: NodeState) {
        self.cores[core].node_state = node_state;
        if node_state == NodeState::Down {
            let calls: Vec<(usize, u64, u64)> = self
                .edges
                .iter()
                .enumerate()
                .flat_map(|(edge, node)| {
                    node.calls
                        .iter()
                        .map(move |(call, (to, _))| (edge, node.incarnation, *call, *to))
                })
                .filter(|(.., to)| *to == core_address(core))
                .map(|(edge, incarnation, call, _)| (edge, incarnation, call))
                .collect();
            for (edge, incarnation, call) in calls {
                self.schedule(
                    self.now + LINK_DELAY,
                    Event::Refused {
                        edge,
                        incarnation,
                        call,
                    },
                );
            }
        }
    }

    pub(crate) fn resume_core(&mut self, core: usize) {
        self.cores[core].node_state = NodeState::Up;
        let deferred = std::mem::take(&mut self.cores[core].deferred_events);
        for event in deferred {
            self.schedule(self.now, event);
        }
    }

    pub(crate) fn commit_configuration(&mut self, generation: u64) {
        let all: Vec<usize> = (0..self.cores.len()).collect();
        self.commit_configuration_at(&all, generation);
    }

    pub(crate) fn commit_configuration_at(&mut self, cores: &[usize], generation: u64) {
        for &core in cores {
            self.cores[core].committed.commit_configuration(generation);
            self.answer_polls(core);
        }
    }

    pub(crate) fn set_view(&mut self, core: usize, view: ViewSummary) {
        self.cores[core].committed.set_view(view);
        self.answer_polls(core);
    }

    pub(super) fn start_core(&mut self, core: usize) {
        let incarnation = self.cores[core].incarnation;
        self.schedule(self.now, Event::Pull { core, incarnation });
        self.schedule(self.now, Event::CoreTick { core, incarnation });
    }

    /// Sends the batch of the changes collected during [`CHANGE_DELAY`].
    pub(super) fn flush(&mut self, core: usize) {
        self.cores[core].is_flush_due = false;
        self.send_batch(core);
        self.after_change(core);
    }

    pub(super) fn core_tick(&mut self, core: usize) {
        let incarnation = self.cores[core].incarnation;
        let view = self.cores[core].committed.view();
        self.cores[core].state.tick(self.now, &view);
        self.schedule(
            self.now + TICK_INTERVAL,
            Event::CoreTick { core, incarnation },
        );
        self.send_batch(core);
        self.after_change(core);
    }

    pub(super) fn after_change(&mut self, core: usize) {
        self.answer_polls(core);
        self.write_departures(core);
        self.pull_if_incomplete(core);
    }

    pub(super) fn flush_soon(&mut self, core: usize) {
        if !std::mem::replace(&mut self.cores[core].is_flush_due, true) {
            let incarnation = self.cores[core].incarnation;
            self.schedule(
                self.now + CHANGE_DELAY,
                Event::CoreFlush { core, incarnation },
            );
        }
    }

    pub(super) fn send_batch(&mut self, core: usize) {
        let Some(batch) = self.cores[core].state.next_batch(self.now) else {
            return;
        };
        let body = encode(&Request::Batch(batch));
        for peer in self.peers(core) {
            self.send(
                Node::Core(core),
                Node::Core(peer),
                Message::Batch { body: body.clone() },
            );
        }
    }

    pub(super) fn peers(&self, core: usize) -> Vec<usize> {
        let view = self.cores[core].committed.view();
        self.cores[core]
            .state
            .peers(self.now, &view)
            .into_iter()
            .map(core_index)
            .collect()
    }

    pub(super) fn answer_polls(&mut self, core: usize) {
        let node = &self.cores[core];
        let committed = *node.committed.changed().borrow();
        let current = AnsweredState {
            registry: node.state.registry().version(),
            is_warming: node.state.is_warming(self.now),
            committed_changes: committed,
        };
        if node.node_state != NodeState::Up || node.polls_checked_for == Some(current) {
            return;
        }
        self.cores[core].polls_checked_for = Some(current);
        let node = &self.cores[core];
        let answered: Vec<u64> = node
            .polls
            .iter()
            .filter(|(_, poll)| node.has_updates(self.now, &poll.request))
            .map(|(poll, _)| *poll)
            .collect();
        for poll in answered {
            self.answer_poll(core, poll);
        }
    }

    pub(super) fn answer_poll(&mut self, core: usize, poll: u64) {
        let node = &mut self.cores[core];
        let Some(PendingPoll {
            from,
            incarnation,
            request,
        }) = node.polls.remove(&poll)
        else {
            return;
        };
        let body = encode(
            &node
                .state
                .respond(self.now, &request, node.committed.as_ref()),
        );
        self.send(
            Node::Core(core),
            from,
            Message::Answer {
                call: poll,
                incarnation,
                body,
            },
        );
    }

    pub(super) fn deliver_to_core(&mut self, from: Node, core: usize, message: Message) {
        let own_incarnation = self.cores[core].incarnation;
        match message {
            Message::Request {
                call,
                incarnation,
                body,
            } => self.receive_request(from, core, call, incarnation, &body),
            Message::Batch { body } => {
                self.receive(core, &body);
            }
            Message::Urgent {
                call,
                incarnation,
                body,
            } => {
                let ids = self.receive(core, &body);
                self.write_departures(core);
                let confirmation = Confirmation::Peer {
                    to: from,
                    call,
                    incarnation,
                };
                self.confirm_when_on_disk(core, &ids, confirmation);
            }
            Message::UrgentAcknowledged { call, incarnation } if incarnation == own_incarnation => {
                let Node::Core(peer) = from else { return };
                self.departure_confirmed(core, call, core_address(peer));
            }
            Message::RegistryRequest { incarnation, known } => {
                let body = encode(&self.cores[core].state.registry_since(self.now, known));
                self.send(
                    Node::Core(core),
                    from,
                    Message::Registry { incarnation, body },
                );
            }
            Message::Registry { incarnation, body } if incarnation == own_incarnation => {
                let Node::Core(peer) = from else { return };
                let response: RegistryResponse = decode(&body).expect("a valid registry response");
                if response.has_more {
                    self.pull_next_part(core, peer, response);
                } else {
                    self.pull_done(core, peer, Some(response));
                }
            }
            _ => {}
        }
    }

    fn receive_request(
        &mut self,
        from: Node,
        core: usize,
        call: u64,
        incarnation: u64,
        body: &[u8],
    ) {
        match decode::<Request>(body) {
            Ok(Request::Poll(request)) => self.receive_poll(
                core,
                call,
                PendingPoll {
                    from,
                    incarnation,
                    request,
                },
            ),
            Ok(Request::Configuration) => {
                let configuration = self.cores[core].committed.configuration();
                let configuration = configuration.map(VersionedBytes::from);
                let body = encode(&ConfigurationResponse { configuration });
                let answer = Message::Answer {
                    call,
                    incarnation,
                    body,
                };
                self.send(Node::Core(core), from, answer);
            }
            other => panic!("unexpected request of an observer: {other:?}"),
        }
    }

    fn receive_poll(&mut self, core: usize, call: u64, poll: PendingPoll) {
        let request = poll.request;
        let wait = Duration::from_millis(u64::from(request.wait_ms));
        let deadline = Event::PollDeadline {
            core,
            incarnation: self.cores[core].incarnation,
            poll: call,
        };
        self.cores[core].polls.insert(call, poll);
        self.schedule(self.now + wait, deadline);
        if self.cores[core].has_updates(self.now, &request) {
            self.answer_poll(core, call);
        }
    }

    /// Applies a batch. Returns the ids of the replicas whose statuses it has.
    pub(super) fn receive(&mut self, core: usize, body: &[u8]) -> Vec<String> {
        let batch: Batch = match decode::<Request>(body) {
            Ok(Request::Batch(batch) | Request::Urgent(batch)) => batch,
            other => panic!("expected a batch, got {other:?}"),
        };
        let ids = batch
            .statuses
            .iter()
            .map(|entry| entry.id.clone())
            .collect();
        match self.cores[core].state.receive(self.now, batch) {
            Urgency::Unchanged => self.pull_if_incomplete(core),
            Urgency::Soon => self.flush_soon(core),
            Urgency::Now => self.after_change(core),
        }
        ids
    }
}
