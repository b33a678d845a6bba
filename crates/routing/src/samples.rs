//! Sliding windows of samples, and statistics of them.

use crate::api::{Seconds, Share};
use std::collections::VecDeque;

/// A value and the time at which it was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Time of the observation.
    pub at: Seconds,
    /// Observed value, such as a latency in seconds or a number of parts.
    pub value: f64,
}

/// Appends an item to a window, and removes the oldest one where the window already has `size` items.
pub fn push<T>(window: &mut VecDeque<T>, item: T, size: usize) {
    if window.len() == size {
        window.pop_front();
    }
    window.push_back(item);
}

/// The values observed after `after`, oldest first.
pub fn since(window: &VecDeque<Sample>, after: Seconds) -> Vec<f64> {
    window
        .iter()
        .filter(|sample| sample.at > after)
        .map(|sample| sample.value)
        .collect()
}

/// The smallest sample such that at least this share of all samples is less than or equal to it; `None` without
/// samples.
pub fn quantile(mut samples: Vec<f64>, share: Share) -> Option<f64> {
    samples.sort_by(f64::total_cmp);
    let at = (share * samples.len() as f64).ceil() as usize;
    samples.get(at.max(1) - 1).or(samples.last()).copied()
}

/// Share of the sorted samples that are at most `time`; 0 without samples.
fn share_at_most(sorted: &[Seconds], time: Seconds) -> Share {
    sorted.partition_point(|sample| *sample <= time) as f64 / sorted.len().max(1) as f64
}

/// Time by which independent events have all happened with `probability`. Each of `distributions` has the samples of
/// one event; `rest` has the samples that `count` further events share. The result is the smallest sample at which
/// the product of all empirical distribution functions reaches `probability`; `None` if no sample does.
pub fn product_quantile(
    mut distributions: Vec<Vec<Seconds>>,
    mut rest: Vec<Seconds>,
    count: usize,
    probability: Share,
) -> Option<Seconds> {
    distributions
        .iter_mut()
        .chain([&mut rest])
        .for_each(|samples| samples.sort_by(f64::total_cmp));
    let mut times: Vec<Seconds> = distributions
        .iter()
        .chain([&rest])
        .flatten()
        .copied()
        .collect();
    times.sort_by(f64::total_cmp);
    let product = |time: Seconds| {
        let shares = distributions.iter();
        let shares = shares.map(|samples| share_at_most(samples, time));
        shares.product::<f64>() * share_at_most(&rest, time).powi(count as i32)
    };
    times
        .get(times.partition_point(|time| product(*time) < probability))
        .copied()
}

/// Number of calls that carry parts sent at these times. Only parts sent at the same time share a call, at most `size`
/// of them; a size of 0 counts as 1.
pub fn call_count(times: impl Iterator<Item = Seconds>, size: usize) -> usize {
    let mut times: Vec<Seconds> = times.collect();
    times.sort_by(f64::total_cmp);
    times
        .chunk_by(|a, b| a == b)
        .map(|equal| equal.len().div_ceil(size.max(1)))
        .sum()
}

/// Mean of the samples; `None` without samples.
pub fn mean(samples: &[f64]) -> Option<f64> {
    (!samples.is_empty()).then(|| samples.iter().sum::<f64>() / samples.len() as f64)
}
