//! Timing of a member's proposals: the step of a reconfiguration between a reason to propose
//! (`member/proposals`) and the first message of Paxos.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | idle | there is a [`ProposalReason`] | scheduled, after a delay that is partly random |
//! | scheduled | the reason has disappeared, or another view is in force | idle |
//! | scheduled | the delay has passed | proposing |
//! | proposing | a view is decided, here or elsewhere | idle |
//! | proposing | no majority within [`PHASE_TIMEOUT`] | scheduled, after a random delay |
//!
//! Random delays keep two proposers from superseding each other's ballots for ever (Lamport, Paxos Made
//! Simple, section 2.4, asks for a distinguished proposer; the delays stand in for one).

use std::time::Duration;

use crate::agreement::{Phase, Proposer};

/// How long a proposer with a majority of the reports waits for the remaining voters' reports.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// A phase that has no majority after this time is abandoned.
pub(crate) const PHASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Upper bound of the random delay before a proposal.
pub(crate) const MAX_PROPOSAL_DELAY: Duration = Duration::from_millis(120);
/// How long the member that has sealed an epoch is given to finish before another one proposes.
pub(crate) const SEALED_EPOCH_DELAY: Duration = Duration::from_millis(150);
/// In the first start of a system, how long all seeds are waited for; after that a majority suffices.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a view is to be proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalReason {
    /// The system starts for the first time.
    Bootstrap,
    /// The epoch is sealed and no view has been decided since.
    EpochSealed,
    /// A member of the chain is suspected, unable to replicate or disconnected from another one.
    ChainBroken,
    /// Members can be added to the chain, or suspected voters replaced.
    Improvement,
}

/// When this member proposes next.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    /// When the process started.
    started: Duration,
    /// When the next proposal begins, if one is scheduled.
    scheduled: Option<Duration>,
}

impl Election {
    /// The election of a process that starts at `now`: nothing is scheduled.
    pub(crate) fn new(now: Duration) -> Election {
        Election {
            started: now,
            scheduled: None,
        }
    }

    /// When the next proposal begins, if one is scheduled.
    pub(crate) fn scheduled(&self) -> Option<Duration> {
        self.scheduled
    }

    /// Schedules the next proposal. The caller checks again at `at` whether there is still a reason for it.
    pub(crate) fn schedule(&mut self, at: Duration) {
        self.scheduled = Some(at);
    }

    /// Drops the scheduled proposal: a view was installed, another member proposes, or this process was
    /// stalled and its reason is out of date.
    pub(crate) fn cancel(&mut self) {
        self.scheduled = None;
    }

    /// Whether a majority of the seeds now suffices in the first start.
    pub(crate) fn is_bootstrap_overdue(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) >= BOOTSTRAP_TIMEOUT
    }

    /// When the election next needs a tick. `majority` is the number of reports that make one.
    pub(crate) fn next_wake(&self, proposer: &Proposer, majority: usize) -> Option<Duration> {
        match proposer.phase() {
            Phase::Idle => self.scheduled,
            Phase::Preparing { since, reports, .. } if reports.len() >= majority => {
                Some(*since + REPORT_TIMEOUT)
            }
            Phase::Preparing { since, .. } | Phase::Accepting { since, .. } => {
                Some(*since + PHASE_TIMEOUT)
            }
        }
    }
}
