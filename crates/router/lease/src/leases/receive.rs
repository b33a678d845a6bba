//! Handling of requests, answers and releases from other members.

use super::Leases;
use super::acceptor::LeaseRequest;
use super::actions::{Actions, LeaseEvent};
use super::candidacy::{Denial, Grant};
use crate::clock_stamp::CENTIS_PER_SECOND;
use crate::fencing_token::FencingToken;
use crate::message::Message;
use crate::rendezvous;
use crate::role::Role;
use woadreach_membership::MemberId;

impl Leases {
    /// Handles a message from another member. Messages that are not part of the lease protocol are ignored.
    pub fn receive(&mut self, now_s: f64, from: MemberId, message: &Message) -> Actions {
        let mut actions = Actions::default();
        self.check_clock(now_s, &mut actions);
        match *message {
            Message::Request {
                role,
                epoch,
                incarnation,
                request_id,
                is_holder,
            } => {
                let token = FencingToken {
                    epoch,
                    holder: from,
                    incarnation,
                };
                let request = LeaseRequest {
                    role,
                    token,
                    request_id,
                    is_holder,
                };
                self.yield_to_preferred(now_s, role, from, &mut actions);
                if let Some(answer) = self.answer(now_s, &request) {
                    actions.send(from, answer);
                }
            }
            Message::Granted { incarnation, .. } | Message::Denied { incarnation, .. }
                if incarnation == self.incarnation =>
            {
                self.record_answer(now_s, from, message, &mut actions);
            }
            Message::Release {
                role,
                epoch,
                incarnation,
            } => {
                let token = FencingToken {
                    epoch,
                    holder: from,
                    incarnation,
                };
                self.acceptor.release(role, token);
            }
            _ => {}
        }
        actions
    }

    /// Abandons this member's proposal in favour of a preferred candidate, because concurrent proposals may split the
    /// acceptors so that neither has a majority. The drawback: if the other candidate fails as well, the lease is
    /// acquired later.
    fn yield_to_preferred(
        &mut self,
        now_s: f64,
        role: Role,
        candidate: MemberId,
        actions: &mut Actions,
    ) {
        let is_preferred = rendezvous::weight(role, candidate) < rendezvous::weight(role, self.id);
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        if is_preferred && !candidacy.is_holder() && candidacy.proposal.is_some() {
            candidacy.next_proposal_s = now_s + self.config.proposal_timeout_s;
            self.abandon_proposal(role, actions);
        }
    }

    /// Answers a request as an acceptor. Returns `None` if this member is not an acceptor of the role, or is
    /// recovering.
    pub(super) fn answer(&mut self, now_s: f64, request: &LeaseRequest) -> Option<Message> {
        if !self.acceptors(request.role).contains(&self.id) {
            return None;
        }
        let highest_epoch = self.highest_epoch(request.role);
        self.acceptor
            .answer(now_s, request, highest_epoch, &self.config)
    }

    /// Records the answer of the acceptor `by` to a request of this member's current run.
    pub(super) fn record_answer(
        &mut self,
        now_s: f64,
        by: MemberId,
        answer: &Message,
        actions: &mut Actions,
    ) {
        match *answer {
            Message::Granted {
                role,
                epoch,
                request_id,
                ..
            } => {
                let grant = Grant {
                    by,
                    request_id,
                    epoch,
                };
                self.record_grant(now_s, role, &grant, actions);
            }
            Message::Denied {
                role,
                epoch,
                request_id,
                wait_centis,
                ..
            } => {
                let denial = Denial {
                    by,
                    request_id,
                    highest_epoch: epoch,
                    wait_s: f64::from(wait_centis) / CENTIS_PER_SECOND,
                };
                self.record_denial(now_s, role, &denial, actions);
            }
            _ => {}
        }
    }

    fn record_grant(&mut self, now_s: f64, role: Role, grant: &Grant, actions: &mut Actions) {
        let quorum = self.acceptors(role).len() / 2 + 1;
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        if candidacy.record_grant(now_s, grant, quorum, &self.config) {
            let epoch = candidacy.epoch;
            self.counters.acquired += 1;
            actions.events.push(LeaseEvent::Acquired { role, epoch });
            self.holders.record(now_s, role, self.own_token(epoch));
        }
    }

    fn record_denial(&mut self, now_s: f64, role: Role, denial: &Denial, actions: &mut Actions) {
        let acceptor_count = self.acceptors(role).len();
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        if candidacy.record_denial(now_s, denial, acceptor_count, &self.config) {
            self.abandon_proposal(role, actions);
        }
    }
}
