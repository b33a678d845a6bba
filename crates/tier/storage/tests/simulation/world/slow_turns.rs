//! Replicas so slow that a turn ends after the retention of the turn that it continues, in some runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oorandom::Rand64;
use woadreach_storage::Turn;

/// One run in this many has slow turns.
const SLOW_RUN_ONE_IN: u64 = 8;
/// Remainder of the seeds of such runs.
const SLOW_RUN_REMAINDER: u64 = 4;
/// One turn in this many of such a run is slow.
const SLOW_TURN_ONE_IN: u64 = 4;
/// Retention of the turns of such a run; the storage machines add five seconds.
const SHORT_RETENTION: Duration = Duration::from_secs(3);
/// Range of the duration of a slow turn, in milliseconds: from less than the short retention with its margin to more.
const SLOW_TURN_MS: std::ops::Range<u64> = 6_000..12_000;

/// Slow turns of a run. They are drawn by a generator of their own, so that all other runs stay as they are.
pub(super) struct SlowTurns {
    random: Rand64,
    /// Chains that the turns in progress continue, oldest first, by the id of their reservation.
    chains: BTreeMap<u64, Vec<Arc<Turn>>>,
}

impl SlowTurns {
    /// The slow turns of a run, if it has any.
    pub(super) fn draw(seed: u64) -> Option<SlowTurns> {
        (seed % SLOW_RUN_ONE_IN == SLOW_RUN_REMAINDER).then(|| SlowTurns {
            random: Rand64::new(u128::from(seed) << 64),
            chains: BTreeMap::new(),
        })
    }

    /// Retention of all turns of the run.
    pub(super) fn retention(&self) -> Duration {
        SHORT_RETENTION
    }

    /// Starts a turn that continues `chain`, and returns how long it takes if it is slow.
    pub(super) fn start(&mut self, id: u64, chain: Vec<Arc<Turn>>) -> Option<Duration> {
        self.chains.insert(id, chain);
        let is_slow = self.random.rand_range(0..SLOW_TURN_ONE_IN) == 0;
        is_slow.then(|| Duration::from_millis(self.random.rand_range(SLOW_TURN_MS)))
    }

    /// Ends a turn, and returns the chain that it continues.
    pub(super) fn end(&mut self, id: u64) -> Vec<Arc<Turn>> {
        self.chains.remove(&id).unwrap_or_default()
    }
}
