//! One core machine as a process that polls it knows it.

use std::time::Duration;

use crate::messages::Standing;
use crate::selection::Use;

/// Least time between the starts of two polls of one machine.
pub const POLL_SPACING: Duration = Duration::from_millis(15);
/// First pause after a failed poll; it doubles up to [`BACKOFF_MAX`].
pub const BACKOFF_MIN: Duration = Duration::from_millis(60);
/// Longest pause after a failed poll.
pub const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Whether a poll is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// The next poll starts then.
    Idle { next_at: Duration },
    /// A poll is out.
    Polling { since: Duration },
}

/// A core machine that is polled, and what it has told.
pub(crate) struct Machine {
    pub state: PollState,
    pub failures: u32,
    pub standing: Standing,
    pub configuration_told: u64,
    pub failed_fetches: u32,
    pub answered: bool,
}

impl Machine {
    pub fn new(now: Duration) -> Self {
        Self {
            state: PollState::Idle { next_at: now },
            failures: 0,
            standing: Standing::default(),
            configuration_told: 0,
            failed_fetches: 0,
            answered: false,
        }
    }

    /// Whether its list of replicas and its configuration may be relied on.
    pub fn is_trusted(&self) -> bool {
        self.answered && self.failures == 0 && self.standing.in_quorum && !self.standing.warming
    }

    /// Of what use it is to the process.
    pub fn use_of(&self) -> Use {
        match (self.failures, self.answered) {
            (0, false) => Use::Untried,
            (0, true) if self.standing.in_quorum => Use::Proven,
            _ => Use::None,
        }
    }

    /// It has answered.
    pub fn answered(&mut self, now: Duration, standing: Standing, configuration_told: u64) {
        let since = match self.state {
            PollState::Polling { since } => since,
            PollState::Idle { .. } => now,
        };
        self.state = PollState::Idle {
            next_at: now.max(since + POLL_SPACING),
        };
        self.failures = 0;
        self.answered = true;
        self.standing = standing;
        self.configuration_told = configuration_told;
    }

    /// It has not answered in time, or could not be asked.
    pub fn failed(&mut self, now: Duration) {
        let backoff = BACKOFF_MIN
            .saturating_mul(1 << self.failures.min(8))
            .min(BACKOFF_MAX);
        self.failures += 1;
        self.state = PollState::Idle {
            next_at: now + backoff,
        };
    }
}
