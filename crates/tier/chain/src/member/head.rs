//! Requests to the head of the chain.

use std::time::Duration;

use super::{Member, Output};
use crate::message::Write;
use crate::requests::{Reply, Request, RequestId};
use crate::state::{Command, Verdict, WritePosition};

impl Member {
    /// Handles a request: answers it, or adds it to the pending ones.
    pub(super) fn handle_request(&mut self, now: Duration, id: RequestId, request: Request) {
        if !self.is_serving_head() {
            self.outputs.push(Output::Reply {
                id,
                reply: Reply::Unavailable,
            });
            return;
        }
        match request {
            Request::Submit(command) => self.submit(id, command),
            Request::ReadConfiguration | Request::Confirm => {
                let barrier = self.replication.next_barrier(self.barrier_session);
                let is_configuration = request == Request::ReadConfiguration;
                let position = self.durable.state.position;
                let number = self.barrier_to_wait_for(barrier.number);
                self.pending_requests
                    .wait_for_read(id, is_configuration, position, number);
            }
        }
        self.advance_replication(now);
        self.resolve_requests();
    }

    #[cfg(feature = "mutations")]
    fn barrier_to_wait_for(&self, number: u64) -> u64 {
        if self.is_mutated(crate::mutations::Mutation::ReadWithoutBarrier) {
            0
        } else {
            number
        }
    }

    #[cfg(not(feature = "mutations"))]
    fn barrier_to_wait_for(&self, number: u64) -> u64 {
        number
    }

    /// Judges a command on the newest state, and appends it if it applies.
    pub(super) fn submit(&mut self, id: RequestId, command: Command) {
        let position = self.durable.state.position;
        let verdict = self.durable.state.judge(&command);
        #[cfg(feature = "mutations")]
        let Some(verdict) = self.mutated_verdict(id, verdict) else {
            return;
        };
        match verdict {
            Verdict::Apply => {
                let position = WritePosition {
                    epoch: self.durable.view.epoch,
                    number: position.number + 1,
                };
                self.append(Write { position, command });
                self.pending_requests.wait_for_commit(id, position, true);
            }
            Verdict::AlreadyApplied => self.pending_requests.wait_for_commit(id, position, false),
            Verdict::Rejected(rejection) => {
                let barrier = self.replication.next_barrier(self.barrier_session);
                self.pending_requests
                    .wait_for_rejection(id, rejection, position, barrier.number);
            }
            // An undecided answer rests on no state, so it waits for no commit.
            Verdict::Undecided(undecided) => {
                self.outputs.push(Output::Reply {
                    id,
                    reply: Reply::Undecided(undecided),
                });
            }
        }
    }

    /// The verdict under the mutation; `None` if the mutation has answered already.
    #[cfg(feature = "mutations")]
    fn mutated_verdict(&mut self, id: RequestId, verdict: Verdict) -> Option<Verdict> {
        let Some(mutation) = self.mutation else {
            return Some(verdict);
        };
        if let Some(reply) = mutation.premature_reply(verdict) {
            self.outputs.push(Output::Reply { id, reply });
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
            self.outputs.push(Output::Reply { id, reply });
        }
    }
}
