//! Requests to the head.

use std::time::Duration;

use super::{Member, Output};
use crate::message::Write;
use crate::peers::SUSPICION_TIMEOUT;
use crate::requests::{Reply, Request, RequestId};
use crate::state::{Command, Stamp, Verdict};

impl Member {
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
                let stamp = self.durable.state.stamp;
                let number = self.barrier_to_wait_for(barrier.number);
                self.waiting
                    .wait_for_read(id, is_configuration, stamp, number);
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

    pub(super) fn submit(&mut self, id: RequestId, command: Command) {
        let stamp = self.durable.state.stamp;
        let verdict = self.durable.state.judge(&command);
        #[cfg(feature = "mutations")]
        let Some(verdict) = self.mutated_verdict(id, verdict) else {
            return;
        };
        match verdict {
            Verdict::Take => {
                let stamp = Stamp {
                    epoch: self.durable.view.epoch,
                    number: stamp.number + 1,
                };
                self.append(Write { stamp, command });
                self.waiting.wait_for_commit(id, stamp, true);
            }
            Verdict::AlreadyTaken => self.waiting.wait_for_commit(id, stamp, false),
            Verdict::Rejected(rejection) => {
                let barrier = self.replication.next_barrier(self.barrier_session);
                self.waiting
                    .wait_for_rejection(id, rejection, stamp, barrier.number);
            }
            // Nothing is promised, so nothing needs to be committed first.
            Verdict::Undecided(undecided) => {
                self.outputs.push(Output::Reply {
                    id,
                    reply: Reply::Undecided(undecided),
                });
            }
        }
    }

    /// The verdict as the mutated fault has it; nothing if the fault answers at once.
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

    pub(super) fn resolve_requests(&mut self) {
        if !self.is_serving_head() || self.waiting.is_empty() {
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
        for (id, reply) in self.waiting.resolve(committed, number) {
            self.outputs.push(Output::Reply { id, reply });
        }
    }

    /// How long this member takes silence for granted; the driver's time-outs are above it.
    pub const fn silence() -> Duration {
        SUSPICION_TIMEOUT
    }
}
