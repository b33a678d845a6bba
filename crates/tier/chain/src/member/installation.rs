//! Installation of a decided view, and the start of its head. Replication restarts in the new epoch.

use std::time::Duration;

use super::{Member, Output};
use crate::durable::Record;
use crate::replication::Replication;
use crate::requests::Reply;
use crate::view::View;

impl Member {
    /// Installs a decided view, unless it is older than the installed one or the same. Deferred messages, the
    /// proposal and the replication state of the earlier epoch are dropped. Pending requests remain only if this
    /// member is the new head; those that need a barrier then need a new one.
    pub(super) fn install_view(&mut self, now: Duration, view: View) {
        if view.epoch <= self.durable.view.epoch {
            return;
        }
        self.persist(Record::View(view.clone()));
        self.deferred.clear();
        self.proposer.abandon();
        self.election.cancel();
        self.clear_active_members();
        self.replication = Replication::new(self.durable.active_epoch, &self.durable.state);
        self.barrier_session = self.random.rand_u64() | 1;
        self.outputs.push(Output::ViewInstalled(view.clone()));
        if view.head() == Some(self.id) {
            self.become_head(now);
        } else {
            self.abort_requests();
        }
        self.next_heartbeat = now;
    }

    /// Starts this member as head of the installed view, with its own state.
    pub(super) fn become_head(&mut self, now: Duration) {
        let epoch = self.durable.view.epoch;
        let record = self.persist(Record::Activate(epoch));
        self.replication.restart(record, epoch, &self.durable.state);
        let barrier = self.replication.next_barrier(self.barrier_session);
        self.pending_requests.renew_barriers(barrier.number);
        self.advance_replication(now);
    }

    /// Answers every pending request with [`Reply::Unavailable`].
    pub(super) fn abort_requests(&mut self) {
        for id in self.pending_requests.drain() {
            self.outputs.push(Output::Reply {
                id,
                reply: Reply::Unavailable,
            });
        }
    }
}
