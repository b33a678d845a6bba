//! Stalls of processes with a CPU quota.
//!
//! The kernel's scheduler runs such a process at full speed until its quota is used up, and then suspends it until the
//! next period begins (CFS bandwidth control, `cpu.max` of cgroup v2). A simulation delivers the events of a stalled
//! process at the end of the stall.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Determines when the processes of a simulation are stalled by their quotas. Depends only on the arguments of
/// [`new`](Self::new).
#[derive(Clone, Debug)]
pub struct CpuQuota {
    seed: u64,
    period: Duration,
    /// Shortest and longest stall. A stall ends at the end of its period.
    stall: RangeInclusive<Duration>,
}

impl CpuQuota {
    /// Each process is stalled at the end of each `period`. The length of each stall is drawn from the range `stall` by
    /// `seed`, process and period.
    ///
    /// # Panics
    /// If the longest stall is longer than the period.
    pub fn new(seed: u64, period: Duration, stall: RangeInclusive<Duration>) -> Self {
        assert!(
            *stall.end() <= period,
            "a stall must not be longer than its period"
        );
        CpuQuota {
            seed,
            period,
            stall,
        }
    }

    /// End of the stall if the process is stalled at `now`; `None` if it runs.
    pub fn stalled_until(&self, process: u64, now: Duration) -> Option<Duration> {
        // The periods of different processes begin at different times.
        let phase = self.period.mul_f64(self.draw(process, u64::MAX));
        let since_start = now + phase;
        let number = (since_start.as_nanos() / self.period.as_nanos()) as u64;
        let ends_at = self.period.saturating_mul(number as u32 + 1) - phase;
        let spread = *self.stall.end() - *self.stall.start();
        let length = *self.stall.start() + spread.mul_f64(self.draw(process, number));
        (now >= ends_at.saturating_sub(length) && now < ends_at).then_some(ends_at)
    }

    /// Returns a pseudo-random number from 0 to 1 for the process and `number` (SplitMix64).
    fn draw(&self, process: u64, number: u64) -> f64 {
        let mut mixed = self
            .seed
            .wrapping_add(process.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .wrapping_add(number.wrapping_mul(0xd1b5_4a32_d192_ed03));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }
}
