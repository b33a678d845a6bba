//! Replication of writes and states from head to tail, and of commits from tail to head. In the last step of a
//! reconfiguration, it also activates the epoch at the members of the chain.
//!
//! Van Renesse & Schneider, Chain Replication (2004), section 3.

use std::sync::Arc;
use std::time::Duration;

use super::{MIN_STATE_REQUEST_INTERVAL, Member, Output};
use crate::durable::Record;
use crate::message::{Barrier, Body, Write};
use crate::replication::Progress;
use crate::state::{ControlState, WritePosition};
use crate::view::MemberId;

impl Member {
    /// Whether this member accepts writes of the current epoch: it is in the chain, has activated the epoch
    /// and has not sealed it.
    pub(crate) fn is_active(&self) -> bool {
        let view = &self.durable.view;
        view.epoch > 0
            && view.chain.contains(&self.id)
            && self.durable.active_epoch == view.epoch
            && !self.durable.is_sealed()
    }

    /// Whether this member is the head and accepts commands.
    pub(super) fn is_serving_head(&self) -> bool {
        self.durable.view.head() == Some(self.id) && self.is_active()
    }

    /// The next member of the chain; `None` at the tail and outside the chain.
    pub(super) fn successor(&self) -> Option<MemberId> {
        self.durable.view.successor(self.id)
    }

    /// Whether `from` is the predecessor in the chain and the epoch is not sealed.
    pub(super) fn is_from_predecessor(&self, from: MemberId) -> bool {
        !self.durable.is_sealed() && self.durable.view.predecessor(self.id) == Some(from)
    }

    /// Appends the predecessor's writes. If the epoch isn't active yet, activates it first, provided that the
    /// position of this member's state is `after`.
    pub(super) fn handle_replicate(
        &mut self,
        now: Duration,
        from: MemberId,
        after: WritePosition,
        writes: Vec<Write>,
        barrier: Barrier,
    ) {
        if !self.is_from_predecessor(from) {
            return;
        }
        let epoch = self.durable.view.epoch;
        if self.durable.active_epoch != epoch {
            if self.durable.state.position != after {
                // The report as inactive makes the predecessor send its complete state.
                return self.report_to_predecessor();
            }
            let record = self.persist(Record::Activate(epoch));
            self.replication.restart(record, epoch, &self.durable.state);
        }
        self.replication.record_barrier(barrier);
        if after <= self.durable.state.position {
            for write in writes {
                self.append(write);
            }
        }
        if !self.replication.is_syncing() {
            self.report_to_predecessor();
        }
        self.advance_replication(now);
    }

    /// Appends a write to the state, unless the state already contains it. Writes must be appended without gaps.
    pub(super) fn append(&mut self, write: Write) {
        if write.position <= self.durable.state.position {
            return;
        }
        let Write { position, command } = write;
        let record = self.persist(Record::Write {
            position,
            command: command.clone(),
        });
        self.replication
            .push(record, self.durable.view.epoch, position, command);
    }

    /// Replaces this member's state by the predecessor's and activates the epoch. Before the activation, this
    /// happens even if this member's state is newer: its additional writes were never committed. After the
    /// activation, only a newer state replaces it.
    pub(super) fn handle_transfer(
        &mut self,
        now: Duration,
        from: MemberId,
        state: ControlState,
        barrier: Barrier,
    ) {
        if !self.is_from_predecessor(from) {
            return;
        }
        let epoch = self.durable.view.epoch;
        let must_replace =
            self.durable.active_epoch != epoch || state.position > self.durable.state.position;
        if !must_replace && !self.replication.is_syncing() {
            self.report_to_predecessor();
        }
        if must_replace {
            let record = self.persist(Record::State { epoch, state });
            self.replication.restart(record, epoch, &self.durable.state);
        }
        self.replication.record_barrier(barrier);
        self.advance_replication(now);
    }

    /// Records a progress report of the successor.
    pub(super) fn handle_replicated(&mut self, now: Duration, from: MemberId, progress: Progress) {
        if self.successor() != Some(from) || !self.is_active() {
            return;
        }
        self.replication.record_progress(now, progress);
        self.record_chain_progress(now, progress.committed, progress.barrier);
    }

    /// Forwards newly synced records to the successor and reports the progress to the predecessor.
    pub(super) fn report_progress(&mut self, now: Duration) {
        self.advance_replication(now);
        self.report_to_predecessor();
    }

    /// Reports the progress of this member and of the chain after it to the predecessor, if there is one.
    pub(super) fn report_to_predecessor(&mut self) {
        let view = &self.durable.view;
        let Some(predecessor) = view.predecessor(self.id) else {
            return;
        };
        let persisted = self.replication.persisted_position(view.epoch);
        let report = Body::Replicated {
            active: persisted.is_some(),
            persisted: persisted.unwrap_or_default(),
            committed: self.replication.committed_position(),
            barrier: self.replication.confirmed(),
        };
        self.send_now(predecessor.address, report);
    }

    /// Sends the successor the content that it lacks. The tail instead commits every write that it has persisted,
    /// if the chain is long enough and intersects every majority.
    pub(crate) fn advance_replication(&mut self, now: Duration) {
        if !self.is_active() {
            return;
        }
        let epoch = self.durable.view.epoch;
        let Some(persisted) = self.replication.persisted_position(epoch) else {
            return;
        };
        let Some(successor) = self.successor() else {
            let barrier = self.replication.barrier();
            let view = &self.durable.view;
            if view.chain.len() >= self.policy.min_chain_length && view.intersects_every_majority()
            {
                self.record_chain_progress(now, Some(persisted), barrier);
            }
            return;
        };
        while let Some(body) = self.replication.next_message(now, epoch) {
            self.send_now(successor.address, body);
        }
    }

    /// Records that every write up to `committed` is committed and that the tail has confirmed `barrier`.
    pub(super) fn record_chain_progress(
        &mut self,
        now: Duration,
        committed: Option<WritePosition>,
        barrier: Barrier,
    ) {
        let has_new_commits = committed.is_some_and(|position| self.replication.commit(position));
        let has_new_barrier = self.replication.confirm(barrier);
        if has_new_commits && let Some(state) = self.replication.committed() {
            let state = Arc::new(state.clone());
            self.publish(now, state);
        }
        if has_new_commits || has_new_barrier {
            self.report_to_predecessor();
            self.resolve_requests();
        }
        if self.successor().is_some() {
            self.advance_replication(now);
        }
    }

    /// Publishes a committed state, unless the same or a newer one is published already.
    pub(super) fn publish(&mut self, now: Duration, state: Arc<ControlState>) {
        if state.position <= self.published.position {
            return;
        }
        self.published = Arc::clone(&state);
        self.next_state_request = self
            .next_state_request
            .min(now + MIN_STATE_REQUEST_INTERVAL);
        self.state_request_interval = MIN_STATE_REQUEST_INTERVAL;
        self.outputs.push(Output::Committed(state));
        if self.is_active() && self.successor().is_none() {
            self.send_heartbeats_outside_chain(now);
        }
    }

    /// Announces the new committed state to the members outside the chain with an immediate heartbeat.
    pub(super) fn send_heartbeats_outside_chain(&mut self, now: Duration) {
        let chain = self.durable.view.chain.clone();
        for peer in self.peers.heard_members(now) {
            if !chain.contains(&peer) {
                let heartbeat = self.heartbeat(now, peer.address);
                self.send_now(peer.address, heartbeat);
            }
        }
    }
}
