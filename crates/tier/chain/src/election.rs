//! When this member proposes a view.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | quiet | a reason appears | waiting, for a random time |
//! | waiting | the reason is gone, or another view is in force | quiet |
//! | waiting | the time is up | proposing |
//! | proposing | decided elsewhere or here | quiet |
//! | proposing | no majority in time | waiting, for a random time |

use std::time::Duration;

use crate::agreement::{Phase, Proposer};

/// A proposer waits so long for reports beyond a majority.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// A phase without a majority is given up after this time.
pub(crate) const PHASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest random wait before a proposal.
pub(crate) const MAX_PROPOSAL_DELAY: Duration = Duration::from_millis(120);
/// Time in which whoever has sealed an epoch may be expected to finish.
pub(crate) const SEALED_EPOCH_DELAY: Duration = Duration::from_millis(150);
/// In the first start, seeds are waited for so long; after that a majority of them suffices.
pub(crate) const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a view is to be proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The system starts for the first time.
    Bootstrap,
    /// The epoch is sealed and nobody has finished.
    Sealed,
    /// A member of the chain is silent, unfit or out of reach of another.
    Broken,
    /// Members can be added, or silent voters replaced.
    Improvement,
}

/// Timing of this member's proposals.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    pub(crate) started: Duration,
    pub(crate) at: Option<Duration>,
}

impl Election {
    pub(crate) fn new(now: Duration) -> Election {
        Election {
            started: now,
            at: None,
        }
    }

    /// Another view is in force.
    pub(crate) fn installed(&mut self) {
        self.at = None;
    }

    /// This process stood still: what it wanted to propose is out of date.
    pub(crate) fn postpone(&mut self) {
        self.at = None;
    }

    /// Another member proposes: it is given the time to finish.
    pub(crate) fn promised_to_another(&mut self) {
        self.at = None;
    }

    /// A proposal failed: the next one begins at `at`, if there is still reason for it.
    pub(crate) fn retry(&mut self, at: Duration) {
        self.at = Some(at);
    }

    /// When the timing wants a tick.
    pub(crate) fn next_wake(&self, proposer: &Proposer, majority: usize) -> Option<Duration> {
        match proposer.phase() {
            Phase::Idle => self.at,
            Phase::Preparing { since, reports, .. } if reports.len() >= majority => {
                Some(*since + REPORT_TIMEOUT)
            }
            Phase::Preparing { since, .. } | Phase::Accepting { since, .. } => {
                Some(*since + PHASE_TIMEOUT)
            }
        }
    }
}
