//! Agreement on the next view: single-decree Paxos, one instance for each epoch.
//!
//! Lamport, Paxos Made Simple (2001), section 2.2. The voters of view `e` are the acceptors of the instance
//! of epoch `e`, which decides view `e + 1`. A promise also seals epoch `e` at the acceptor: it accepts no
//! more writes of that epoch, so the state that it reports with the promise is final.
//!
//! In a reconfiguration, the agreement follows the decision to propose (`member/proposals`) and precedes the
//! installation of the decided view. This module contains the proposer; the acceptor is in `member/paxos.rs`.
//!
//! | proposer's phase | event | next |
//! | --- | --- | --- |
//! | `Idle` | [`Proposer::start`] | `Preparing` |
//! | `Preparing` | [`Proposer::record_promise`], a majority | `Preparing`, [`Proposer::propose`] may be called |
//! | `Preparing` | [`Proposer::propose`] | `Accepting` |
//! | `Accepting` | [`Proposer::record_accepted`], a majority | `Idle`, the view is decided |
//! | any | [`Proposer::abandon`] | `Idle` |

use std::collections::BTreeMap;
use std::time::Duration;

use speedy::{Readable, Writable};

use crate::ballot::{Accepted, Ballot};
use crate::durable::IdleEpoch;
use crate::state::WritePosition;
use crate::view::{MemberId, View};

/// State of an acceptor, sent with its promise.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Report {
    /// The proposal with the highest ballot that the acceptor has accepted in this instance; `None` if it has
    /// accepted none.
    pub accepted: Option<Accepted>,
    /// The last epoch in which the acceptor was active in the chain. Its state includes every write that was
    /// committed up to and including that epoch.
    pub active_epoch: u64,
    /// Position of the last write in the acceptor's state, committed or not. Final, since the epoch is sealed.
    pub position: WritePosition,
    /// Whether the acceptor may be in a chain: it is not shutting down, and its disk syncs in time.
    pub can_replicate: bool,
    /// Members from which the acceptor has received a message within the suspicion time-out, itself included.
    pub heard_members: Vec<MemberId>,
    /// Epochs in which nothing was committed, as the acceptor knows. Must remain the last field: messages of
    /// earlier versions end before it.
    #[speedy(default_on_eof)]
    pub idle_epochs: Vec<IdleEpoch>,
}

/// Phase of a proposer. A proposer has at most one ballot at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No proposal.
    #[default]
    Idle,
    /// Phase 1: the proposer collects promises.
    Preparing {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// When the phase began.
        since: Duration,
        /// Reports of the acceptors that have promised.
        reports: BTreeMap<MemberId, Report>,
    },
    /// Phase 2: the proposer collects acceptances.
    Accepting {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// When the phase began.
        since: Duration,
        /// The proposed view. Must never change under one ballot.
        view: View,
        /// Acceptors that have accepted the view, each at most once.
        accepted_by: Vec<MemberId>,
    },
}

/// The proposer of one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposer {
    phase: Phase,
    /// The highest round seen in any ballot. Never decreases.
    highest_round: u64,
}

impl Proposer {
    /// The phase of the current proposal.
    pub(crate) fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The part of the state on which decisions depend, without times. Exhaustive searches compare states by it.
    pub(crate) fn canonical(&self) -> impl std::fmt::Debug + '_ {
        let phase = match &self.phase {
            Phase::Idle => None,
            Phase::Preparing {
                ballot, reports, ..
            } => Some((ballot, Some(reports), None)),
            Phase::Accepting {
                ballot,
                view,
                accepted_by,
                ..
            } => Some((ballot, None, Some((view, accepted_by)))),
        };
        (phase, self.highest_round)
    }

    /// Ballot of the current proposal; `None` if there is none.
    pub(crate) fn ballot(&self) -> Option<Ballot> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { ballot, .. } | Phase::Accepting { ballot, .. } => Some(ballot),
        }
    }

    /// Begins phase 1 with a ballot above every ballot observed so far. The caller must have synced its own
    /// promise of the ballot before it sends the ballot to any member.
    pub(crate) fn start(&mut self, now: Duration, proposer: MemberId) -> Ballot {
        self.highest_round += 1;
        let ballot = Ballot {
            round: self.highest_round,
            proposer,
        };
        self.phase = Phase::Preparing {
            ballot,
            since: now,
            reports: BTreeMap::new(),
        };
        ballot
    }

    /// Records the ballot of another proposer, so that the next ballot of this one is above it.
    pub(crate) fn observe_ballot(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// Records a promise, unless it belongs to another ballot. `from` must be a voter of the current view.
    pub(crate) fn record_promise(&mut self, from: MemberId, ballot: Ballot, report: Report) {
        if let Phase::Preparing {
            ballot: own_ballot,
            reports,
            ..
        } = &mut self.phase
            && *own_ballot == ballot
        {
            reports.insert(from, report);
        }
    }

    /// The view of the accepted proposal with the highest ballot. It must be proposed, because it may already
    /// have been decided (Paxos Made Simple, property P2c). `None` if no report contains an accepted proposal.
    pub(crate) fn highest_accepted_view(reports: &BTreeMap<MemberId, Report>) -> Option<View> {
        let proposals = reports
            .values()
            .filter_map(|report| report.accepted.as_ref());
        proposals
            .max_by_key(|accepted| accepted.ballot)
            .map(|accepted| accepted.view.clone())
    }

    /// Begins phase 2 with `view` and returns its ballot; `None` outside phase 1. A majority must have reported,
    /// and `view` must be the [`highest_accepted_view`](Self::highest_accepted_view) of the reports if there is
    /// one.
    pub(crate) fn propose(&mut self, now: Duration, view: View) -> Option<Ballot> {
        let Phase::Preparing { ballot, .. } = self.phase else {
            return None;
        };
        self.phase = Phase::Accepting {
            ballot,
            since: now,
            view,
            accepted_by: Vec::new(),
        };
        Some(ballot)
    }

    /// Records an acceptance. Returns the view once a majority of the voters of `current` has accepted it, which
    /// decides it.
    pub(crate) fn record_accepted(
        &mut self,
        from: MemberId,
        accepted_ballot: Ballot,
        current: &View,
    ) -> Option<View> {
        let Phase::Accepting {
            ballot,
            view,
            accepted_by,
            ..
        } = &mut self.phase
        else {
            return None;
        };
        if *ballot != accepted_ballot || !current.is_voter(from) || accepted_by.contains(&from) {
            return None;
        }
        accepted_by.push(from);
        if accepted_by.len() < current.majority() {
            return None;
        }
        let decided = view.clone();
        self.phase = Phase::Idle;
        Some(decided)
    }

    /// Abandons the proposal. Its ballot must not be used again.
    pub(crate) fn abandon(&mut self) {
        self.phase = Phase::Idle;
    }
}
