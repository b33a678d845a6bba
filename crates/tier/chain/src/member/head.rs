//! Requests to the head of the chain: evaluates and appends commands, and replies once the chain has confirmed
//! the state on which the reply is based.

use std::time::Duration;

use super::{Member, Output};
use crate::message::Write;
use crate::requests::{Outcome, PendingRequest, Reply, Request, RequestId};
use crate::state::{Command, Verdict, WritePosition};

impl Member {
    /// Handles a request: answers it, or adds it to the pending requests.
    pub(super) fn handle_request(&mut self, now: Duration, id: RequestId, request: Request) {
        if !self.is_serving_head() {
            return self.reply(id, Reply::Unavailable);
        }
        match request {
            Request::Submit(command) => self.submit(id, command),
            Request::ReadConfiguration => self.add_read(id, Outcome::Configuration),
            Request::Confirm => self.add_read(id, Outcome::Confirmed),
        }
        self.advance_replication(now);
        self.resolve_requests();
    }

    /// Adds a pending read or confirmation of the newest state.
    fn add_read(&mut self, id: RequestId, outcome: Outcome) {
        let barrier = Some(self.begin_barrier());
        #[cfg(feature = "mutations")]
        let barrier =
            barrier.filter(|_| !self.is_mutated(crate::mutations::Mutation::ReadWithoutBarrier));
        let position = self.durable.state.position;
        self.add_pending(id, outcome, position, barrier);
    }

    /// Begins a barrier after every write so far. Returns its number in the head's current session.
    fn begin_barrier(&mut self) -> u64 {
        self.replication.next_barrier(self.barrier_session).number
    }

    /// Adds a request that is answered with `outcome` once the write at `position` is committed and `barrier` is
    /// confirmed.
    fn add_pending(
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

    /// Evaluates a command against the newest state, and appends it if it applies.
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
                self.add_pending(id, Outcome::Committed, position, None);
            }
            Verdict::AlreadyApplied => {
                self.add_pending(id, Outcome::AlreadyCommitted, newest, None)
            }
            Verdict::Rejected(rejection) => {
                let barrier = self.begin_barrier();
                self.add_pending(id, Outcome::Rejected(rejection), newest, Some(barrier));
            }
            // An undecided answer asserts nothing about the state, so it requires no commit.
            Verdict::Undecided(undecided) => self.reply(id, Reply::Undecided(undecided)),
        }
    }

    /// The verdict under the mutation; `None` if the mutation has already answered the request.
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
