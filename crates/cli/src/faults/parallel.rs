//! Distributes runs over threads.

use crate::error::CommandError;
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Calls `play` with each number of the range on `jobs` threads, by default one per core. Returns the results by
/// number, without the numbers for which `play` returned `None`.
pub(super) fn play_all<T: Send>(
    numbers: Range<u64>,
    jobs: Option<usize>,
    play: impl Fn(u64) -> Option<T> + Sync,
) -> Result<BTreeMap<u64, T>, CommandError> {
    let next = AtomicU64::new(numbers.start);
    let results = Mutex::new(BTreeMap::new());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..jobs.unwrap_or(cores).max(1) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= numbers.end {
                        return;
                    }
                    if let Some(result) = play(number)
                        && let Ok(mut results) = results.lock()
                    {
                        results.insert(number, result);
                    }
                }
            });
        }
    });
    results
        .into_inner()
        .map_err(|_| CommandError::ThreadPanicked)
}
