//! Stalls of processes with a CPU quota: their number and lengths, and their dependence on process and seed.

use std::time::Duration;

use woadreach_sim_support::CpuQuota;

const PERIOD: Duration = Duration::from_millis(100);
const SHORTEST: Duration = Duration::from_millis(30);
const LONGEST: Duration = Duration::from_millis(95);
const STEP: Duration = Duration::from_micros(100);

/// Lengths of the stalls of one process in ten seconds.
fn stalls(quota: &CpuQuota, process: u64) -> Vec<Duration> {
    let mut lengths = Vec::new();
    let mut now = Duration::from_secs(1);
    while now < Duration::from_secs(11) {
        match quota.stalled_until(process, now) {
            Some(until) => {
                lengths.push(until - now);
                assert_eq!(
                    quota.stalled_until(process, until),
                    None,
                    "the process runs at the end of the stall"
                );
                now = until;
            }
            None => now += STEP,
        }
    }
    lengths
}

#[test]
fn each_period_has_one_stall_within_the_bounds() {
    let quota = CpuQuota::new(1, PERIOD, SHORTEST..=LONGEST);
    for process in 0..8 {
        let lengths = stalls(&quota, process);
        assert!((99..=101).contains(&lengths.len()), "{}", lengths.len());
        assert!(lengths.iter().all(|length| *length <= LONGEST));
        // The first stall may have begun before the first sample. The others are sampled up to one step late.
        let lengths = &lengths[1..];
        assert!(lengths.iter().all(|length| *length + STEP >= SHORTEST));
        assert!(
            lengths
                .iter()
                .any(|length| *length < Duration::from_millis(40))
        );
        assert!(
            lengths
                .iter()
                .any(|length| *length > Duration::from_millis(85))
        );
    }
}

#[test]
fn stalls_depend_only_on_process_and_seed() {
    let quota = CpuQuota::new(1, PERIOD, SHORTEST..=LONGEST);
    assert_ne!(stalls(&quota, 1), stalls(&quota, 2));
    let same = CpuQuota::new(1, PERIOD, SHORTEST..=LONGEST);
    assert_eq!(stalls(&quota, 1), stalls(&same, 1));
    let other = CpuQuota::new(2, PERIOD, SHORTEST..=LONGEST);
    assert_ne!(stalls(&quota, 1), stalls(&other, 1));
}
