//! Handling of heartbeats at core machines, up to the acknowledgement.

use std::net::SocketAddr;

use woadreach_discovery::departure::DepartureDecision;
use woadreach_discovery::messages::{Request, encode};
use woadreach_discovery::registry::HeartbeatOutcome;
use woadreach_discovery::{CommittedState, Heartbeat, HeartbeatError};

use super::core_node::PendingAcknowledgement;
use super::disk::Confirmation;
use super::event::{Event, Message, Node};
use super::{LINK_DELAY, World};

impl World {
    pub(super) fn receive_heartbeat(
        &mut self,
        replica: usize,
        core: usize,
        call: u64,
        heartbeat: Option<Heartbeat>,
    ) {
        let id = self.replicas[replica].id.clone();
        let now = self.now;
        let state = &mut self.cores[core].state;
        let result = match heartbeat {
            Some(heartbeat) => state.heartbeat(now, &id, heartbeat),
            None => state.deregister(now, &id),
        };
        self.finish_heartbeat(replica, core, call, &id, result);
    }

    pub(super) fn finish_heartbeat(
        &mut self,
        replica: usize,
        core: usize,
        call: u64,
        id: &str,
        result: Result<HeartbeatOutcome, HeartbeatError>,
    ) {
        let view = self.cores[core].committed.view();
        match result {
            Ok(HeartbeatOutcome::Departing) => {
                self.answer_polls(core);
                self.write_departures(core);
                self.notify_peers(core, call, id);
                match self.cores[core].state.start_departure(self.now, &view) {
                    Some(notification) => {
                        self.cores[core].pending_acknowledgements.insert(
                            call,
                            PendingAcknowledgement {
                                replica,
                                notification,
                            },
                        );
                        self.decide_departure(core, call);
                        let own = Confirmation::Own { call };
                        self.confirm_when_on_disk(core, &[id.to_owned()], own);
                    }
                    None => self.send_acknowledgement(replica, call, false),
                }
            }
            Ok(outcome) => {
                let is_acknowledged = self.cores[core]
                    .state
                    .may_acknowledge(self.now, outcome, &view);
                self.send_acknowledgement(replica, call, is_acknowledged);
                if outcome == HeartbeatOutcome::Changed {
                    self.flush_soon(core);
                }
            }
            Err(_) => {
                self.send_acknowledgement(replica, call, false);
            }
        }
    }

    pub(super) fn notify_peers(&mut self, core: usize, call: u64, id: &str) {
        let incarnation = self.cores[core].incarnation;
        let body = encode(&Request::Urgent(
            self.cores[core].state.urgent_batch(self.now, id),
        ));
        for peer in self.peers(core) {
            let urgent = Message::Urgent {
                call,
                incarnation,
                body: body.clone(),
            };
            self.send(Node::Core(core), Node::Core(peer), urgent);
        }
    }

    /// Records that `machine` has the departure of a call on disk.
    pub(super) fn departure_confirmed(&mut self, core: usize, call: u64, machine: SocketAddr) {
        if let Some(pending) = self.cores[core].pending_acknowledgements.get_mut(&call) {
            pending.notification.record_confirmation(machine);
            self.decide_departure(core, call);
        }
    }

    pub(super) fn decide_departure(&mut self, core: usize, call: u64) {
        let Some(pending) = self.cores[core].pending_acknowledgements.get(&call) else {
            return;
        };
        let (replica, incarnation) = (pending.replica, self.cores[core].incarnation);
        let is_acknowledged = match pending.notification.decision(self.now) {
            DepartureDecision::Wait { until } => {
                return self.schedule(
                    until,
                    Event::AcknowledgementDeadline {
                        core,
                        incarnation,
                        call,
                    },
                );
            }
            DepartureDecision::Acknowledged => true,
            DepartureDecision::Unconfirmed => false,
        };
        self.cores[core].pending_acknowledgements.remove(&call);
        self.send_acknowledgement(replica, call, is_acknowledged);
    }

    fn send_acknowledgement(&mut self, replica: usize, call: u64, is_acknowledged: bool) {
        let event = Event::Acknowledged {
            replica,
            call,
            is_acknowledged,
        };
        self.schedule(self.now + LINK_DELAY, event);
    }
}
