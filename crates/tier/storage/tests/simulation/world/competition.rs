//! Reservations of several turns at once that compete for a budget which is too small for all of them, in some runs.

use std::time::Duration;

use oorandom::Rand64;

use super::super::event::Event;
use super::World;
use super::turns::Program;

/// One run in this many has competing reservations.
const COMPETING_RUN_ONE_IN: u64 = 8;
/// Remainder of the seeds of such runs.
const COMPETING_RUN_REMAINDER: u64 = 5;
/// Range of the number of turns that compete.
const COMPETING_TURNS: std::ops::Range<u64> = 3..7;
/// Range of the time within which all of them start, in microseconds.
const START_SPREAD_US: std::ops::Range<u64> = 0..40_000;
/// One message in this many of such a run is late, so that the machines receive the reservations in different orders.
const LATE_MESSAGE_ONE_IN: u64 = 3;
/// Range of the latency of a late message, in microseconds.
const LATE_MESSAGE_US: std::ops::Range<u64> = 1_000..60_000;

/// Competing reservations of a run. They are drawn by a generator of their own, so that all other runs stay as they are.
pub(super) struct Competition {
    random: Rand64,
}

impl Competition {
    /// The competing reservations of a run, if it has any.
    pub(super) fn draw(seed: u64) -> Option<Competition> {
        (seed % COMPETING_RUN_ONE_IN == COMPETING_RUN_REMAINDER).then(|| Competition {
            random: Rand64::new(u128::from(seed) << 64 | 1),
        })
    }

    /// The latency of a message, if it is late.
    pub(super) fn late_latency(&mut self) -> Option<Duration> {
        let is_late = self.random.rand_range(0..LATE_MESSAGE_ONE_IN) == 0;
        is_late.then(|| Duration::from_micros(self.random.rand_range(LATE_MESSAGE_US)))
    }
}

impl World {
    /// In a run with competing reservations, starts several turns of a new program at any of the proxies; its budget is
    /// too small for at least one of them.
    pub(super) fn start_competing_reservations(&mut self) {
        let Some(mut competition) = self.competition.take() else {
            return;
        };
        let random = &mut competition.random;
        let turns = random.rand_range(COMPETING_TURNS);
        let fitting = random.rand_range(2..turns);
        let program = self.programs.len();
        self.programs
            .push(Program::for_turns(program as u64, fitting));
        for _ in 0..turns {
            let proxy = random.rand_range(0..self.proxies.len() as u64) as usize;
            let id = random.rand_u64();
            let delay = Duration::from_micros(random.rand_range(START_SPREAD_US));
            self.after(delay, Event::Reserve { proxy, program, id });
        }
        self.competition = Some(competition);
    }
}
