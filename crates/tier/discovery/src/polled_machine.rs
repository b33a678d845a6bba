//! One core machine as a process that polls it knows it.

use std::time::Duration;

use crate::messages::Standing;
use crate::selection::MachineHealth;

/// Least time between the starts of two polls of one machine.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// First pause after a failed poll; it doubles up to [`MAX_BACKOFF`].
pub const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause after a failed poll.
pub const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Whether a poll is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// The next poll starts then.
    Idle { next_at: Duration },
    /// A poll is out.
    Polling { since: Duration },
}

/// A core machine that is polled, and what it has told.
pub(crate) struct PolledMachine {
    pub state: PollState,
    pub failures: u32,
    pub standing: Standing,
    pub reported_generation: u64,
    pub failed_fetches: u32,
    pub answered: bool,
}

impl PolledMachine {
    pub fn new(now: Duration) -> Self {
        Self {
            state: PollState::Idle { next_at: now },
            failures: 0,
            standing: Standing::default(),
            reported_generation: 0,
            failed_fetches: 0,
            answered: false,
        }
    }

    /// Whether its list of replicas and its configuration may be relied on.
    pub fn is_trusted(&self) -> bool {
        self.answered && self.failures == 0 && self.standing.in_quorum && !self.standing.warming
    }

    /// Of what use it is to the process.
    pub fn use_of(&self) -> MachineHealth {
        match (self.failures, self.answered) {
            (0, false) => MachineHealth::Unknown,
            (0, true) if self.standing.in_quorum => MachineHealth::Healthy,
            _ => MachineHealth::Unhealthy,
        }
    }

    /// It has answered.
    pub fn answered(&mut self, now: Duration, standing: Standing, reported_generation: u64) {
        let since = match self.state {
            PollState::Polling { since } => since,
            PollState::Idle { .. } => now,
        };
        self.state = PollState::Idle {
            next_at: now.max(since + MIN_POLL_INTERVAL),
        };
        self.failures = 0;
        self.answered = true;
        self.standing = standing;
        self.reported_generation = reported_generation;
    }

    /// It has not answered in time, or could not be asked.
    pub fn failed(&mut self, now: Duration) {
        let backoff = MIN_BACKOFF
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_BACKOFF);
        self.failures += 1;
        self.state = PollState::Idle {
            next_at: now + backoff,
        };
    }
}
