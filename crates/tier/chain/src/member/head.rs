//! Requests to the head of the chain: the first step of a change, in which the command is judged and
//! appended, and the last, in which the reply leaves.

use std::time::Duration;

use super::{Member, Output};
use crate::message::Write;
use crate::requests::{Outcome, PendingRequest, Reply, Request, RequestId};
use crate::state::{Command, Verdict, WritePosition};

impl Member {
    /// Handles a request: answers it, or adds it to the pending ones.
    pub(super) fn handle_request(&mut self, now: Duration, id: RequestId, request: Request) {
        if !self.is_serving_head() {
            return self.reply(id, Reply::Unavailable);
        }
        match request {
            Request::Submit(command) => self.submit(id, command),
            Request::ReadConfiguration => self.read(id, Outcome::Configuration),
            Request::Confirm => self.read(id, Outcome::Confirmed),
        }
        self.advance_replication(now);
        self.resolve_requests();
    }

    /// Adds a read of the newest state, or a confirmation of it.
    fn read(&mut self, id: RequestId, outcome: Outcome) {
        let barrier = Some(self.begin_barrier());
        #[cfg(feature = "mutations")]
        let barrier =
            barrier.filter(|_| !self.is_mutated(crate::mutations::Mutation::ReadWithoutBarrier));
        let position = self.durable.state.position;
        self.wait(id, outcome, position, barrier);
    }

    /// Begins a barrier behind every write so far. Returns its number in the head's current session.
    fn begin_barrier(&mut self) -> u64 {
        self.replication.next_barrier(self.barrier_session).number
    }

    /// Adds a request that is answered with `outcome` once the write at `position` is committed and `barrier`
    /// confirmed.
    fn wait(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        position: WritePosition,
        barrier: Option<u64>,
    ) {
        let request = PendingRequest {
            outcome,
            position,
            barrier,
        };
        self.pending_requests.add(id, request);
    }

    fn reply(&mut self, id: RequestId, reply: Reply) {
        self.outputs.push(Output::Reply { id, reply });
    }

    /// Judges a command on the newest state, and appends it if it applies.
    pub(super) fn submit(&mut self, id: RequestId, command: Command) {
        let newest = self.durable.state.position;
        let verdict = self.durable.state.evaluate(&command);
        #[cfg(feature = "mutations")]
        let Some(verdict) = self.mutated_verdict(id, verdict) else {
            return;
        };
        match verdict {
            Verdict::Apply => {
                let position = WritePosition {
                    epoch: self.durable.view.epoch,
                    number: newest.number + 1,
                };
                self.append(Write { position, command });
                self.wait(id, Outcome::Committed, position, None);
            }
            Verdict::AlreadyApplied => self.wait(id, Outcome::AlreadyCommitted, newest, None),
            Verdict::Rejected(rejection) => {
                let barrier = self.begin_barrier();
                self.wait(id, Outcome::Rejected(rejection), newest, Some(barrier));
            }
            // An undecided answer rests on no state, so it waits for no commit.
            Verdict::Undecided(undecided) => self.reply(id, Reply::Undecided(undecided)),
        }
    }

    /// The verdict under the mutation; `None` if the mutation has answered already.
    #[cfg(feature = "mutations")]
    fn mutated_verdict(&mut self, id: RequestId, verdict: Verdict) -> Option<Verdict> {
        let Some(mutation) = self.mutation else {
            return Some(verdict);
        };
        if let Some(reply) = mutation.premature_reply(verdict) {
            self.reply(id, reply);
            return None;
        }
        Some(mutation.mutate_verdict(verdict, self.durable.state.generation()))
    }

    /// Answers the pending requests whose commits and barriers are confirmed.
    pub(super) fn resolve_requests(&mut self) {
        if !self.is_serving_head() || self.pending_requests.is_empty() {
            return;
        }
        let Some(committed) = self.replication.committed() else {
            return;
        };
        let confirmed = self.replication.confirmed();
        let number = if confirmed.session == self.barrier_session {
            confirmed.number
        } else {
            0
        };
        for (id, reply) in self.pending_requests.resolve(committed, number) {
            self.reply(id, reply);
        }
    }
}
