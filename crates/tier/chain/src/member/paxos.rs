//! The acceptor of the agreement on views, and the messages of the proposer: phases 1 and 2 of a
//! reconfiguration.
//!
//! Lamport, Paxos Made Simple (2001), section 2.2: a promise and an acceptance are synced to disk before they
//! are reported.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::Member;
use crate::agreement::{Phase, Report};
use crate::ballot::{Accepted, Ballot, Promise};
use crate::durable::Record;
use crate::election::SEALED_EPOCH_DELAY;
use crate::message::Body;
use crate::view::{MemberId, View};

impl Member {
    /// Whether this member may promise and accept in the instance of the current epoch.
    pub(super) fn is_eligible_voter(&self) -> bool {
        let view = &self.durable.view;
        view.is_voter(self.id) && (view.epoch > 0 || self.durable.bootstrap)
    }

    /// The ballot that this member has promised in the instance of the current epoch, if it is above
    /// `ballot`.
    fn promised_above(&self, ballot: Ballot) -> Option<Ballot> {
        let promised = self.durable.current_promise()?.ballot;
        (promised > ballot).then_some(promised)
    }

    /// Promises `ballot`, which seals the epoch, unless this or a higher ballot is promised already. Returns
    /// whether the promise is new.
    fn promise(&mut self, ballot: Ballot) -> bool {
        let current = self.durable.current_promise();
        let is_new = current.is_none_or(|promise| promise.ballot < ballot);
        if is_new {
            let epoch = self.durable.view.epoch;
            self.persist(Record::Promise(Promise { epoch, ballot }));
        }
        is_new
    }

    /// Phase 1b: promises `ballot` and seals the epoch, unless a higher ballot was promised.
    pub(super) fn handle_prepare(&mut self, from: MemberId, ballot: Ballot) {
        if !self.is_eligible_voter() || !self.durable.view.is_voter(from) {
            return;
        }
        self.proposer.observe_ballot(ballot);
        if let Some(promised) = self.promised_above(ballot) {
            return self.send_now(from.address, Body::Superseded { promised });
        }
        if self.promise(ballot) {
            self.election.cancel();
        }
        let report = self.report();
        self.send_after_sync(from, Body::Promise { ballot, report });
    }

    /// The report that this member sends with a promise. Must be called after the promise is recorded.
    pub(super) fn report(&self) -> Report {
        Report {
            accepted: self.durable.accepted.clone(),
            active_epoch: self.durable.active_epoch,
            position: self.durable.state.position,
            can_replicate: self.can_replicate(),
            heard_members: self.peers.heard_members(self.last_tick),
            idle_epochs: self.durable.idle_epochs.clone(),
        }
    }

    /// Phase 2b: accepts a proposal, unless a higher ballot was promised.
    pub(super) fn handle_accept(&mut self, from: MemberId, accepted: Accepted) {
        let ballot = accepted.ballot;
        let is_for_next = accepted.view.epoch == self.durable.view.epoch + 1;
        if !self.is_eligible_voter() || !self.durable.view.is_voter(from) || !is_for_next {
            return;
        }
        if let Some(promised) = self.promised_above(ballot) {
            return self.send_now(from.address, Body::Superseded { promised });
        }
        self.promise(ballot);
        if self.durable.accepted.as_ref() != Some(&accepted) {
            self.persist(Record::Accept(accepted));
        }
        self.send_after_sync(from, Body::Accepted { ballot });
    }

    /// Records a promise of this member's ballot.
    pub(super) fn handle_promise(
        &mut self,
        now: Duration,
        from: MemberId,
        ballot: Ballot,
        report: Report,
    ) {
        if self.durable.view.is_voter(from) {
            self.proposer.record_promise(from, ballot, report);
            self.propose_if_ready(now);
        }
    }

    /// Records an acceptance of this member's ballot, and announces the view if that decides it.
    pub(super) fn handle_accepted(&mut self, now: Duration, from: MemberId, ballot: Ballot) {
        let current = self.durable.view.clone();
        let Some(view) = self.proposer.record_accepted(from, ballot, &current) else {
            return;
        };
        let heard = self.peers.heard_members(now);
        let receivers = heard.iter().chain(&view.voters).chain(&current.voters);
        let addresses: BTreeSet<SocketAddrV4> =
            receivers.map(|receiver| receiver.address).collect();
        for address in addresses {
            self.send_now(address, Body::Decided(view.clone()));
        }
    }

    /// Abandons this member's ballot if another voter has promised a higher one.
    pub(super) fn handle_superseded(&mut self, now: Duration, promised: Ballot) {
        self.proposer.observe_ballot(promised);
        if self
            .proposer
            .ballot()
            .is_some_and(|ballot| ballot < promised)
        {
            self.proposer.abandon();
            let wait = self.delay_after_failure();
            self.election.schedule(now + SEALED_EPOCH_DELAY + wait);
        }
    }

    /// Phase 1a: begins a proposal. This member's own promise is synced before the ballot is sent, so that it
    /// can't use the same ballot for another view after a restart.
    pub(crate) fn start_proposal(&mut self, now: Duration) {
        if let Some(promise) = self.durable.current_promise() {
            self.proposer.observe_ballot(promise.ballot);
        }
        let ballot = self.proposer.start(now, self.id);
        let epoch = self.durable.view.epoch;
        self.persist(Record::Promise(Promise { epoch, ballot }));
        for voter in self.durable.view.voters.clone() {
            self.send_after_sync(voter, Body::Prepare { ballot });
        }
    }

    /// Phase 2a: asks the voters to accept `view`.
    pub(crate) fn propose(&mut self, now: Duration, view: View) {
        let Some(ballot) = self.proposer.propose(now, view.clone()) else {
            return;
        };
        for voter in self.durable.view.voters.clone() {
            self.send_now(
                voter.address,
                Body::Accept(Accepted {
                    ballot,
                    view: view.clone(),
                }),
            );
        }
    }

    /// A random duration below `limit`.
    pub(crate) fn random_delay(&mut self, limit: Duration) -> Duration {
        let fraction = self.random.rand_float();
        limit.mul_f64(fraction)
    }

    /// Phase of this member's proposal.
    pub(crate) fn proposal_phase(&self) -> &Phase {
        self.proposer.phase()
    }
}
