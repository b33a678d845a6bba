//! Replicas that send heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use woadreach_discovery::{Heartbeat, ReplicaState};

use super::event::Event;
use super::{ACKNOWLEDGEMENT_TIMEOUT, HEARTBEAT, LINK_DELAY, World};

/// Replica that sends heartbeats to random core machines.
pub(crate) struct Replica {
    pub(crate) id: String,
    pub(crate) heartbeat: Heartbeat,
    pub(crate) is_running: bool,
    pub(crate) acknowledged: u64,
    pub(crate) drained_at: Option<Duration>,
    pub(crate) deregistered_at: Option<Duration>,
    /// Core machine that the replica calls first at every heartbeat; `None` for a random one.
    pub(crate) first_core: Option<usize>,
    /// Whether the replica sends no heartbeats after its departure was acknowledged, until it deregisters.
    pub(crate) ends_heartbeats_after_acknowledgement: bool,
    /// Time that the replica's next call takes beyond [`LINK_DELAY`].
    next_call_delay: Duration,
    pub(super) is_deregistering: bool,
    pub(super) core: usize,
    pub(super) call: u64,
}

impl Replica {
    pub(crate) fn is_deregistering(&self) -> bool {
        self.is_deregistering
    }

    fn has_ended_heartbeats(&self) -> bool {
        self.ends_heartbeats_after_acknowledgement && self.drained_at.is_some()
    }
}

impl World {
    /// Starts a replica at the address that follows from `address_index`. Returns the index of the replica.
    pub(crate) fn add_replica(&mut self, id: &str, address_index: usize) -> usize {
        let address = SocketAddr::from((
            [10, 128, (address_index >> 8) as u8, address_index as u8],
            8080,
        ));
        let replica = self.replicas.len();
        let core = self.random_core();
        self.replicas.push(Replica {
            id: id.to_owned(),
            heartbeat: Heartbeat {
                address,
                ..crate::common::heartbeat(1, 0)
            },
            is_running: true,
            acknowledged: 0,
            drained_at: None,
            deregistered_at: None,
            first_core: None,
            ends_heartbeats_after_acknowledgement: false,
            next_call_delay: Duration::ZERO,
            is_deregistering: false,
            core,
            call: 0,
        });
        let first = self.now + HEARTBEAT.mul_f32(self.random.rand_float());
        self.schedule(first, Event::HeartbeatDue { replica });
        replica
    }

    /// Makes the replica report now that it is draining. It calls `core` first.
    pub(crate) fn drain(&mut self, replica: usize, core: usize) {
        self.replicas[replica].heartbeat.state = ReplicaState::Draining;
        self.replicas[replica].core = core;
        self.send_heartbeat(replica);
    }

    /// Makes the replica deregister now. It calls `core` first.
    pub(crate) fn deregister_replica(&mut self, replica: usize, core: usize) {
        self.replicas[replica].is_deregistering = true;
        self.replicas[replica].core = core;
        self.send_heartbeat(replica);
    }

    /// Makes the replica send a heartbeat now that arrives at `core` after `delay`.
    pub(crate) fn send_late_heartbeat(&mut self, replica: usize, core: usize, delay: Duration) {
        self.replicas[replica].core = core;
        self.replicas[replica].next_call_delay = delay;
        self.send_heartbeat(replica);
    }

    pub(super) fn send_due_heartbeat(&mut self, replica: usize) {
        if !self.replicas[replica].is_running {
            return;
        }
        let next = self.now + HEARTBEAT.mul_f32(0.9 + 0.2 * self.random.rand_float());
        self.schedule(next, Event::HeartbeatDue { replica });
        if self.replicas[replica].call == 0 && !self.replicas[replica].has_ended_heartbeats() {
            let drawn = self.random_core();
            self.replicas[replica].core = self.replicas[replica].first_core.unwrap_or(drawn);
            self.send_heartbeat(replica);
        }
    }

    pub(super) fn send_heartbeat(&mut self, replica: usize) {
        let call = self.next_call();
        let node = &mut self.replicas[replica];
        node.heartbeat.sequence += 1;
        node.call = call;
        let core = node.core;
        let heartbeat = (!node.is_deregistering).then(|| node.heartbeat.clone());
        let delay = std::mem::take(&mut node.next_call_delay);
        self.schedule(
            self.now + ACKNOWLEDGEMENT_TIMEOUT,
            Event::HeartbeatTimeout { replica, call },
        );
        if !self.unreachable_from_replicas.contains(&core) {
            let at = self.now + LINK_DELAY + delay;
            self.schedule(
                at,
                Event::HeartbeatReceived {
                    replica,
                    core,
                    call,
                    heartbeat,
                },
            );
        }
    }

    pub(super) fn retry_heartbeat(&mut self, replica: usize, call: u64) {
        if self.replicas[replica].call == call && self.replicas[replica].is_running {
            self.replicas[replica].core = (self.replicas[replica].core + 1) % self.cores.len();
            self.send_heartbeat(replica);
        }
    }

    pub(super) fn acknowledged(&mut self, replica: usize, call: u64, is_acknowledged: bool) {
        let now = self.now;
        let node = &mut self.replicas[replica];
        if node.call != call {
            return;
        }
        if !is_acknowledged {
            self.schedule(
                now + Duration::from_millis(20),
                Event::HeartbeatTimeout { replica, call },
            );
            return;
        }
        node.call = 0;
        node.acknowledged += 1;
        if node.is_deregistering {
            node.deregistered_at.get_or_insert(now);
            node.is_running = false;
        } else if node.heartbeat.state == ReplicaState::Draining {
            node.drained_at.get_or_insert(now);
        }
    }
}
