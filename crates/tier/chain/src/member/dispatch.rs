//! Dispatch of received messages, and outgoing messages that are deferred until a sync. Every message is received
//! and sent here.
//!
//! A message of another epoch is not handled, except for heartbeats and messages that are valid in every epoch.
//! Instead, the newer view is sent to the member that is behind.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::{DeferredMessage, Member, Output};
use crate::durable::Record;
use crate::message::{Body, Envelope};
use crate::replication::Progress;
use crate::state::ControlState;
use crate::view::MemberId;

impl Member {
    /// Handles a message of any epoch.
    pub(super) fn receive(&mut self, now: Duration, envelope: Envelope) {
        let Envelope { from, epoch, body } = envelope;
        if from != self.id {
            self.peers.record_message(now, from);
        }
        if let Body::Heartbeat(heartbeat) = &body {
            self.handle_heartbeat(now, from, heartbeat);
        }
        match body {
            Body::Decided(view) => return self.install_view(now, view),
            Body::RequestView => return self.send_view(from),
            Body::RequestState => return self.send_state(from),
            Body::Committed(state) => return self.publish(now, Arc::new(state)),
            _ => {}
        }
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::NoEpochCheck)
            && epoch != self.durable.view.epoch
        {
            return self.handle_in_epoch(now, from, body);
        }
        // This also applies to heartbeats of another epoch, so that a restarted machine is sent the newest view.
        let own_epoch = self.durable.view.epoch;
        if epoch > own_epoch {
            return self.send_now(from.address, Body::RequestView);
        }
        if epoch < own_epoch {
            return self.send_view(from);
        }
        self.handle_in_epoch(now, from, body);
    }

    /// Handles a message of the current epoch. Must not be called for one of another epoch.
    pub(super) fn handle_in_epoch(&mut self, now: Duration, from: MemberId, body: Body) {
        match body {
            Body::Prepare { ballot } => self.handle_prepare(from, ballot),
            Body::Promise { ballot, report } => self.handle_promise(now, from, ballot, report),
            Body::Accept(accepted) => self.handle_accept(from, accepted),
            Body::Accepted { ballot } => self.handle_accepted(now, from, ballot),
            Body::Superseded { promised } => self.handle_superseded(now, promised),
            Body::Replicate {
                after,
                writes,
                barrier,
            } => self.handle_replicate(now, from, after, writes, barrier),
            Body::Transfer { state, barrier } => self.handle_transfer(now, from, state, barrier),
            Body::Replicated {
                active,
                persisted,
                committed,
                barrier,
            } => {
                let progress = Progress {
                    is_active: active,
                    persisted,
                    committed,
                    barrier,
                };
                self.handle_replicated(now, from, progress);
            }
            Body::RequestActive => self.send_active(from),
            Body::Active => self.record_active(from),
            Body::Heartbeat(_)
            | Body::Decided(_)
            | Body::RequestView
            | Body::RequestState
            | Body::Committed(_) => {}
        }
    }

    /// Sends the newest decided view, if there is one.
    pub(super) fn send_view(&mut self, to: MemberId) {
        if self.durable.view.epoch > 0 {
            let view = self.durable.view.clone();
            self.send_now(to.address, Body::Decided(view));
        }
    }

    /// Sends the newest committed state.
    pub(super) fn send_state(&mut self, to: MemberId) {
        let state = ControlState::clone(&self.published);
        self.send_now(to.address, Body::Committed(state));
    }

    /// A message with content `body`, with this member as sender and the current epoch.
    pub(super) fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            from: self.id,
            epoch: self.durable.view.epoch,
            body,
        }
    }

    /// Sends a message that does not depend on unsynced records. A message to this member itself is handled
    /// before the outputs of the current input are returned.
    pub(crate) fn send_now(&mut self, to: SocketAddrV4, body: Body) {
        let envelope = self.envelope(body);
        if to == self.id.address {
            self.loopback.push_back(envelope);
        } else {
            self.outputs.push(Output::Send { to, envelope });
        }
    }

    /// Sends a message after every record so far is synced. It is dropped if a view is installed before that.
    pub(super) fn send_after_sync(&mut self, to: MemberId, body: Body) {
        if self.synced_number == self.record_number {
            self.send_now(to.address, body);
        } else {
            self.deferred.push_back(DeferredMessage {
                after_record: self.record_number,
                to,
                body,
            });
        }
    }

    /// Applies a record and asks the driver to persist it. Returns its number.
    pub(super) fn persist(&mut self, record: Record) -> u64 {
        self.record_number += 1;
        self.durable.apply(&record);
        self.outputs.push(Output::Persist {
            number: self.record_number,
            record,
        });
        self.record_number
    }

    /// Records that every record up to number `through` is synced, and sends the messages deferred until then.
    pub(super) fn record_synced(&mut self, now: Duration, through: u64) {
        self.synced_number = self.synced_number.max(through);
        while self
            .deferred
            .front()
            .is_some_and(|message| message.after_record <= through)
        {
            if let Some(message) = self.deferred.pop_front() {
                self.send_now(message.to.address, message.body);
            }
        }
        if self.replication.record_synced(through) {
            self.report_progress(now);
        }
    }
}
