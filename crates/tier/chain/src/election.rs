//! Timing of a member's proposals. A member that has a reason to propose a view (`member/proposals`) waits for
//! a delay before it sends the first Paxos message.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | idle | there is a [`ProposalReason`] | scheduled, after a delay that is partly random |
//! | scheduled | the reason no longer exists, or another view is installed | idle |
//! | scheduled | the delay has passed | proposing |
//! | proposing | a view is decided, by this proposer or another one | idle |
//! | proposing | no majority within [`PHASE_TIMEOUT`] | scheduled, after a random delay |
//!
//! Random delays prevent two proposers from superseding each other's ballots forever. They replace the
//! distinguished proposer of Lamport, Paxos Made Simple, section 2.4.

use std::time::Duration;

use crate::agreement::{Phase, Proposer};

/// How long a proposer that has reports of a majority waits for those of the remaining voters.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// A phase that has no majority after this time is abandoned.
pub(crate) const PHASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest random delay before a proposal for a broken chain. Delays after a failed ballot, after a sealed
/// epoch and in the first start are up to twice as long.
pub(crate) const MAX_PROPOSAL_DELAY: Duration = Duration::from_millis(120);
/// How long other voters wait for the proposer that has sealed an epoch, before one of them proposes.
pub(crate) const SEALED_EPOCH_DELAY: Duration = Duration::from_millis(150);
/// In the first start of a system, how long a member waits for all seeds; after that, a majority suffices.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a member proposes a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalReason {
    /// The system starts for the first time.
    Bootstrap,
    /// The epoch is sealed and no view has been decided since.
    EpochSealed,
    /// A member of the chain is suspected, unable to replicate or disconnected from another member of it.
    ChainBroken,
    /// Members can be added to the chain, or suspected voters replaced.
    Improvement,
}

/// Schedule of this member's next proposal.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    /// Start time of the process.
    started: Duration,
    /// Time at which the next proposal begins; `None` if none is scheduled.
    scheduled: Option<Duration>,
}

impl Election {
    /// The schedule of a process that starts at `now`, without a proposal.
    pub(crate) fn new(now: Duration) -> Election {
        Election {
            started: now,
            scheduled: None,
        }
    }

    /// Time at which the next proposal begins; `None` if none is scheduled.
    pub(crate) fn scheduled(&self) -> Option<Duration> {
        self.scheduled
    }

    /// Schedules the next proposal. The caller checks again at `at` whether there is still a reason for it.
    pub(crate) fn schedule(&mut self, at: Duration) {
        self.scheduled = Some(at);
    }

    /// Cancels the scheduled proposal. Called when a view was installed, another member proposes, or this
    /// process was stalled, so that the reason may be out of date.
    pub(crate) fn cancel(&mut self) {
        self.scheduled = None;
    }

    /// Whether [`BOOTSTRAP_TIMEOUT`] has passed, so that a majority of the seeds suffices in the first start.
    pub(crate) fn has_bootstrap_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) >= BOOTSTRAP_TIMEOUT
    }

    /// Time of the next tick that the schedule or the current proposal needs, if any. `majority` is the number
    /// of voters in a majority.
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
