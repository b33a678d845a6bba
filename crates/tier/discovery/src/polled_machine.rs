//! State of one polled core machine: poll in flight, backoff, and the contents of its last answer. A
//! [`Watcher`](crate::watcher::Watcher) keeps one [`PolledMachine`] per machine that it polls.

use std::time::Duration;

use crate::messages::CoreStatus;
use crate::selection::MachineHealth;

/// Minimum interval between the starts of two polls of one machine.
pub(crate) const MIN_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Backoff after the first failed call. It doubles with each further failure up to [`MAX_BACKOFF`].
pub(crate) const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Longest backoff after failed calls.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Backoff after a failed call that was preceded by `earlier_failures` consecutive failures.
pub(crate) fn backoff_after(earlier_failures: u32) -> Duration {
    MIN_BACKOFF
        .saturating_mul(1 << earlier_failures.min(8))
        .min(MAX_BACKOFF)
}

/// Whether a poll is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// No poll is in flight; the next poll is due at `next_at`.
    Idle { next_at: Duration },
    /// A poll has been in flight since `since`.
    Polling { since: Duration },
}

pub(crate) struct PolledMachine {
    pub(crate) state: PollState,
    /// Failed polls since the last answered poll.
    pub(crate) consecutive_failures: u32,
    /// Status that the machine reported in its last answer; the default before the first.
    pub(crate) core_status: CoreStatus,
    /// Configuration generation in the machine's last answer; 0 before the first.
    pub(crate) reported_generation: u64,
    /// Failed configuration fetches from this machine since the last fetch, from any machine, that returned a newer
    /// configuration.
    pub(crate) failed_fetches: u32,
    /// Whether the machine has ever answered a poll.
    pub(crate) has_answered: bool,
}

impl PolledMachine {
    /// Creates the state of a machine whose first poll is due at `now`.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            state: PollState::Idle { next_at: now },
            consecutive_failures: 0,
            core_status: CoreStatus::default(),
            reported_generation: 0,
            failed_fetches: 0,
            has_answered: false,
        }
    }

    /// Whether the machine's list of replicas is authoritative: the machine answers, is in quorum and is not warming
    /// up.
    pub(crate) fn is_trusted(&self) -> bool {
        self.has_answered
            && self.consecutive_failures == 0
            && self.core_status.in_quorum
            && !self.core_status.warming
    }

    /// Health of the machine, derived from its polls.
    pub(crate) fn health(&self) -> MachineHealth {
        match (self.consecutive_failures, self.has_answered) {
            (0, false) => MachineHealth::Unknown,
            (0, true) if self.core_status.in_quorum => MachineHealth::Healthy,
            _ => MachineHealth::Unhealthy,
        }
    }

    /// Records the answer to a poll and schedules the next poll.
    pub(crate) fn record_answer(
        &mut self,
        now: Duration,
        core_status: CoreStatus,
        reported_generation: u64,
    ) {
        let since = match self.state {
            PollState::Polling { since } => since,
            PollState::Idle { .. } => now,
        };
        self.state = PollState::Idle {
            next_at: now.max(since + MIN_POLL_INTERVAL),
        };
        self.consecutive_failures = 0;
        self.has_answered = true;
        self.core_status = core_status;
        self.reported_generation = reported_generation;
    }

    /// Records that a poll timed out or could not be sent, and starts the backoff.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        let backoff = backoff_after(self.consecutive_failures);
        self.consecutive_failures += 1;
        self.state = PollState::Idle {
            next_at: now + backoff,
        };
    }
}
