//! Agreement on the next view: single-decree Paxos, one instance for each epoch.
//!
//! Lamport, Paxos Made Simple (2001), section 2.2. The voters of view `e` are the acceptors of the instance
//! of epoch `e`, which decides view `e + 1`. A promise also seals epoch `e` at the acceptor: it accepts no
//! more writes of that epoch, so the state that it reports with the promise is final.
//!
//! In a reconfiguration this stands between the decision to propose (`member/proposals`) and the installation
//! of the decided view. The acceptor's part is in `member/paxos.rs`; this module is the proposer's.
//!
//! | proposer's phase | event | next |
//! | --- | --- | --- |
//! | `Idle` | [`Proposer::start`] | `Preparing` |
//! | `Preparing` | [`Proposer::record_promise`], a majority | stays, until [`Proposer::propose`] |
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

/// What an acceptor reports with its promise.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Report {
    /// The proposal with the highest ballot that it has accepted in this instance.
    pub accepted: Option<Accepted>,
    /// The last epoch in which it was active in the chain. Its state holds every write that was committed
    /// up to and including that epoch.
    pub active_epoch: u64,
    /// Position of the last write in its state, committed or not. Final, since the epoch is sealed.
    pub position: WritePosition,
    /// Whether it may be in a chain (neither leaving nor unable to sync).
    pub can_replicate: bool,
    /// Members that it has heard within the suspicion time-out, itself included.
    pub hears: Vec<MemberId>,
    /// Epochs in which it knows that nothing was committed. Must stay the last field: earlier messages end
    /// before it.
    #[speedy(default_on_eof)]
    pub idle_epochs: Vec<IdleEpoch>,
}

/// Phase of a proposer. A proposer has at most one ballot at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No proposal.
    #[default]
    Idle,
    /// Phase 1: promises are collected.
    Preparing {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// When the phase began.
        since: Duration,
        /// Reports of the acceptors that have promised.
        reports: BTreeMap<MemberId, Report>,
    },
    /// Phase 2: acceptances are collected.
    Accepting {
        /// Ballot of the proposal.
        ballot: Ballot,
        /// When the phase began.
        since: Duration,
        /// The proposed view. Must never change under one ballot.
        view: View,
        /// Acceptors that have accepted it, each at most once.
        accepted_by: Vec<MemberId>,
    },
}

/// The proposing side of one instance.
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

    /// Everything here that decisions depend on, without times: for exhaustive searches.
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

    /// Ballot of the current proposal.
    pub(crate) fn ballot(&self) -> Option<Ballot> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { ballot, .. } | Phase::Accepting { ballot, .. } => Some(ballot),
        }
    }

    /// Begins phase 1 with a ballot above every one seen so far. The caller must put its own promise of the
    /// ballot on disk before it sends the ballot to anyone.
    pub(crate) fn start(&mut self, now: Duration, own: MemberId) -> Ballot {
        self.highest_round += 1;
        let ballot = Ballot {
            round: self.highest_round,
            proposer: own,
        };
        self.phase = Phase::Preparing {
            ballot,
            since: now,
            reports: BTreeMap::new(),
        };
        ballot
    }

    /// Records another proposer's ballot, so that the next own one is above it.
    pub(crate) fn observe_ballot(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// Records a promise, unless it belongs to another ballot. `from` must be a voter of the current view.
    pub(crate) fn record_promise(&mut self, from: MemberId, ballot: Ballot, report: Report) {
        if let Phase::Preparing {
            ballot: own,
            reports,
            ..
        } = &mut self.phase
            && *own == ballot
        {
            reports.insert(from, report);
        }
    }

    /// The view that must be proposed because it may already have been decided: that of the accepted proposal
    /// with the highest ballot (Paxos Made Simple, property P2c).
    pub(crate) fn highest_accepted_view(reports: &BTreeMap<MemberId, Report>) -> Option<View> {
        let votes = reports
            .values()
            .filter_map(|report| report.accepted.as_ref());
        votes
            .max_by_key(|vote| vote.ballot)
            .map(|vote| vote.view.clone())
    }

    /// Begins phase 2 with `view` and returns its ballot; `None` outside phase 1. The caller must have the
    /// reports of a majority, and `view` must be [`highest_accepted_view`](Self::highest_accepted_view) of
    /// them if there is one.
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

    /// Records an acceptance. Returns the view, now decided, once a majority of the voters of `current` has
    /// accepted it.
    pub(crate) fn record_accepted(
        &mut self,
        from: MemberId,
        voted: Ballot,
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
        if *ballot != voted || !current.is_voter(from) || accepted_by.contains(&from) {
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
