//! Single steps of [`Input::Tick`](super::Input::Tick), for exhaustive searches, which have no clock and choose
//! the time of each step.

use std::fmt::Write;
use std::time::Duration;

use super::{Member, Output};
use crate::agreement::Phase;

/// A step that [`Input::Tick`](super::Input::Tick) takes when its time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub enum TimedStep {
    /// Only advances the clock and drops expired peers.
    AdvanceClock,
    /// The delay before a proposal has passed.
    Propose,
    /// The time-out for reports beyond a majority has passed.
    EndReportWait,
    /// The resend interval has passed without progress of the successor.
    Resend,
}

impl Member {
    /// Executes one timed step, whether or not it is due.
    #[doc(hidden)]
    pub fn take_step(&mut self, now: Duration, step: TimedStep) -> Vec<Output> {
        self.last_tick = now;
        match step {
            TimedStep::AdvanceClock => self.peers.expire(now),
            TimedStep::Propose if self.is_eligible_voter() => self.start_proposal(now),
            TimedStep::Propose => {}
            TimedStep::EndReportWait => self.propose_from_reports(now),
            TimedStep::Resend => {
                self.replication.resend();
                self.advance_replication(now);
            }
        }
        self.finish(now)
    }

    /// Whether this member is in phase 1 and a majority of the voters has reported.
    #[doc(hidden)]
    pub fn has_majority_of_reports(&self) -> bool {
        let Phase::Preparing { reports, .. } = self.proposer.phase() else {
            return false;
        };
        reports.len() >= self.durable.view.majority()
    }

    /// Appends the state on which decisions depend to `text`, without times and without the failure detector.
    /// Exhaustive searches compare members by it.
    #[doc(hidden)]
    pub fn write_canonical(&self, text: &mut String) {
        let written = write!(
            text,
            "{:?} {:?} {:?} {:?} {:?} {:?} {:?}",
            self.durable,
            self.proposer.canonical(),
            self.replication.canonical(self.record_number),
            self.pending_requests,
            self.published.position,
            self.barrier_session,
            self.can_replicate(),
        );
        written.expect("a string takes any text");
        for message in &self.deferred {
            let age = self.record_number - message.after_record;
            write!(text, "{age} {:?} {:?}", message.to, message.body)
                .expect("a string takes any text");
        }
    }
}
