//! Dispatch of events and messages to the nodes.

use std::time::Duration;

use super::core_node::NodeState;
use super::event::{Event, Message, Node};
use super::{LINK_DELAY, World};

impl World {
    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.queue.schedule(at, event);
    }

    pub(super) fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    pub(super) fn send(&mut self, from: Node, to: Node, message: Message) {
        let bytes = message.bytes();
        for node in [from, to] {
            match node {
                Node::Edge(edge) => {
                    self.edges[edge].bytes += bytes;
                    self.edges[edge].messages += 1;
                }
                Node::Core(_) => self.core_bytes += bytes,
            }
        }
        self.schedule(self.now + LINK_DELAY, Event::Deliver { from, to, message });
    }

    pub(super) fn handle(&mut self, event: Event) {
        let stopped_core = event
            .core()
            .filter(|core| self.cores[*core].node_state != NodeState::Up);
        if let Some(core) = stopped_core {
            return self.handle_at_stopped_core(core, event);
        }
        if self.is_of_earlier_incarnation(&event) {
            return;
        }
        if let Some(Node::Edge(edge)) = event.node()
            && self.edges[edge].is_paused
        {
            return self.edges[edge].deferred_events.push_back(event);
        }
        match event {
            Event::CoreTick { core, .. } => self.core_tick(core),
            Event::CoreFlush { core, .. } => self.flush(core),
            Event::Pull { core, .. } => self.pull(core),
            Event::PullFailed { core, peer, .. } => self.pull_done(core, peer, None),
            Event::PollDeadline { core, poll, .. } => self.answer_poll(core, poll),
            Event::AcknowledgementDeadline { core, call, .. } => self.decide_departure(core, call),
            Event::DeparturesWritten {
                core,
                number,
                record,
                ..
            } => self.departures_written(core, number, record),
            Event::EdgeWake { edge, .. } => self.wake_edge(edge),
            Event::EdgeTimeout { edge, call, .. } | Event::Refused { edge, call, .. } => {
                self.edge_call_failed(edge, call);
            }
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::HeartbeatDue { replica } => self.send_due_heartbeat(replica),
            Event::HeartbeatTimeout { replica, call } => self.retry_heartbeat(replica, call),
            Event::HeartbeatReceived {
                replica,
                core,
                call,
                heartbeat,
            } => self.receive_heartbeat(replica, core, call, heartbeat),
            Event::Acknowledged {
                replica,
                call,
                is_acknowledged,
            } => self.acknowledged(replica, call, is_acknowledged),
        }
    }

    /// Whether the event was scheduled for an earlier incarnation of a process that has restarted since.
    fn is_of_earlier_incarnation(&self, event: &Event) -> bool {
        match event {
            Event::CoreTick { core, incarnation }
            | Event::CoreFlush { core, incarnation }
            | Event::Pull { core, incarnation }
            | Event::PullFailed {
                core, incarnation, ..
            }
            | Event::PollDeadline {
                core, incarnation, ..
            }
            | Event::AcknowledgementDeadline {
                core, incarnation, ..
            }
            | Event::DeparturesWritten {
                core, incarnation, ..
            } => self.cores[*core].incarnation != *incarnation,
            Event::EdgeWake { edge, incarnation }
            | Event::EdgeTimeout {
                edge, incarnation, ..
            }
            | Event::Refused {
                edge, incarnation, ..
            } => self.edges[*edge].incarnation != *incarnation,
            _ => false,
        }
    }

    pub(super) fn handle_at_stopped_core(&mut self, core: usize, event: Event) {
        match (self.cores[core].node_state, event) {
            (NodeState::Paused, event) => self.cores[core].deferred_events.push_back(event),
            (
                NodeState::Down,
                Event::Deliver {
                    from: Node::Edge(edge),
                    message:
                        Message::Request {
                            call, incarnation, ..
                        },
                    ..
                },
            ) => self.schedule(
                self.now + LINK_DELAY,
                Event::Refused {
                    edge,
                    incarnation,
                    call,
                },
            ),
            (NodeState::Down, Event::HeartbeatReceived { replica, call, .. }) => {
                self.schedule(
                    self.now + LINK_DELAY,
                    Event::Acknowledged {
                        replica,
                        call,
                        is_acknowledged: false,
                    },
                );
            }
            _ => {}
        }
    }

    pub(super) fn deliver(&mut self, from: Node, to: Node, message: Message) {
        if self.partitions.contains(&(from, to)) {
            return;
        }
        match to {
            Node::Core(core) => self.deliver_to_core(from, core, message),
            Node::Edge(edge) => {
                let Message::Answer {
                    call,
                    incarnation,
                    body,
                } = message
                else {
                    return;
                };
                if self.edges[edge].incarnation == incarnation {
                    self.edge_answered(edge, call, &body);
                }
            }
        }
    }
}
