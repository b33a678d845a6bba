//! Agreement on the next view: single-decree Paxos, one instance for each epoch.
//!
//! The instance of epoch `e` is decided by the voters of view `e` and yields view `e + 1`. A promise seals
//! epoch `e`: whoever has promised takes no more writes of it, so the state that it reports with the promise
//! stays.
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
use crate::state::Stamp;
use crate::view::{MemberId, View};

/// What a voter reports with its promise.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Report {
    /// Its vote on the next view, if it has given one.
    pub accepted: Option<Accepted>,
    /// The last epoch in which it was active in the chain: its state holds all that was committed up to it.
    pub active_epoch: u64,
    /// Stamp of its state.
    pub stamp: Stamp,
    /// Whether it may be in a chain (neither leaving nor unable to sync).
    pub can_replicate: bool,
    /// Members that it has heard lately.
    pub hears: Vec<MemberId>,
    /// Epochs in which it knows that nothing was committed. At the end, as earlier messages lack it.
    #[speedy(default_on_eof)]
    pub idle_epochs: Vec<IdleEpoch>,
}

/// Phase of a proposer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    #[default]
    Idle,
    Preparing {
        ballot: Ballot,
        since: Duration,
        reports: BTreeMap<MemberId, Report>,
    },
    Accepting {
        ballot: Ballot,
        since: Duration,
        view: View,
        accepted_by: Vec<MemberId>,
    },
}

/// The proposing side of one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposer {
    phase: Phase,
    highest_round: u64,
}

impl Proposer {
    pub(crate) fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The proposer without its times.
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

    /// Ballot of the present proposal.
    pub(crate) fn ballot(&self) -> Option<Ballot> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { ballot, .. } | Phase::Accepting { ballot, .. } => Some(ballot),
        }
    }

    /// Begins a proposal above every ballot seen so far.
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

    /// Notes a ballot of another proposer, so that the next own one is above it.
    pub(crate) fn observe_ballot(&mut self, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
    }

    /// Takes a promise. Reports of members that don't vote must not be passed in.
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

    /// The view that must be proposed because it may have been decided: that of the highest vote reported.
    pub(crate) fn highest_accepted_view(reports: &BTreeMap<MemberId, Report>) -> Option<View> {
        let votes = reports
            .values()
            .filter_map(|report| report.accepted.as_ref());
        votes
            .max_by_key(|vote| vote.ballot)
            .map(|vote| vote.view.clone())
    }

    /// Goes on to the second phase with `view`.
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

    /// Takes a vote; gives the view back once a majority of `current`'s voters has voted for it.
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

    /// Gives the proposal up.
    pub(crate) fn abandon(&mut self) {
        self.phase = Phase::Idle;
    }
}
