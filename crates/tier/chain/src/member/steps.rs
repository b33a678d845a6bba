//! The steps that [`Input::Tick`](super::Input::Tick) takes when they are due, one at a time: for exhaustive
//! searches, which have no clock.

use std::fmt::Write;
use std::time::Duration;

use super::{Member, Output};
use crate::agreement::Phase;

/// A step that [`Input::Tick`](super::Input::Tick) takes at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub enum TimedStep {
    /// Nothing but the time has passed.
    Nothing,
    /// The wait before a proposal is over.
    Propose,
    /// The wait for reports beyond a majority is over.
    EndReportWait,
    /// The successor has made no progress for long enough.
    Resend,
}

impl Member {
    /// Takes one timed step, whether or not it is due.
    #[doc(hidden)]
    pub fn take_step(&mut self, now: Duration, step: TimedStep) -> Vec<Output> {
        self.last_tick = now;
        match step {
            TimedStep::Nothing => self.peers.expire(now),
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

    /// Whether this member may go on with a proposal once it waits for no more reports.
    #[doc(hidden)]
    pub fn has_majority_of_reports(&self) -> bool {
        let Phase::Preparing { reports, .. } = self.proposer.phase() else {
            return false;
        };
        reports.len() >= self.durable.view.majority()
    }

    /// Appends everything on which decisions depend to `text`, without times and without what the failure
    /// detector knows.
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
