//! Windows of samples and their quantiles: arithmetic alone, nothing is decided here.

use crate::api::{Seconds, Share};
use std::collections::VecDeque;

/// A value and the time at which it was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// When it was seen.
    pub at: Seconds,
    /// What was seen, such as a latency in seconds or a number of parts.
    pub value: f64,
}

/// Appends to a window that keeps the last `size`.
pub fn push<T>(window: &mut VecDeque<T>, item: T, size: usize) {
    if window.len() == size {
        window.pop_front();
    }
    window.push_back(item);
}

/// The values seen after this time, oldest first.
pub fn since(window: &VecDeque<Sample>, after: Seconds) -> Vec<f64> {
    window
        .iter()
        .filter(|sample| sample.at > after)
        .map(|sample| sample.value)
        .collect()
}

/// The smallest sample with at least this share of them at or under it.
pub fn quantile(mut samples: Vec<f64>, share: Share) -> Option<f64> {
    samples.sort_by(f64::total_cmp);
    let at = (share * samples.len() as f64).ceil() as usize;
    samples.get(at.max(1) - 1).or(samples.last()).copied()
}

/// The share of sorted samples that are at or under this time; 0 without samples.
fn share_at_or_under(sorted: &[Seconds], time: Seconds) -> Share {
    sorted.partition_point(|sample| *sample <= time) as f64 / sorted.len().max(1) as f64
}

/// The smallest time at which a product of shares reaches `probability`: of each of `distributions` the share of its
/// samples at or under that time, and that of `rest` to the power of `count`. `None` without samples.
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
        let shares = shares.map(|samples| share_at_or_under(samples, time));
        shares.product::<f64>() * share_at_or_under(&rest, time).powi(count as i32)
    };
    times
        .get(times.partition_point(|time| product(*time) < probability))
        .copied()
}

/// How many groups of at most `size` these times make, where only equal ones go together.
pub fn groups(times: impl Iterator<Item = Seconds>, size: usize) -> usize {
    let mut times: Vec<Seconds> = times.collect();
    times.sort_by(f64::total_cmp);
    times
        .chunk_by(|a, b| a == b)
        .map(|equal| equal.len().div_ceil(size.max(1)))
        .sum()
}

/// The mean of the samples, if there are any.
pub fn mean(samples: &[f64]) -> Option<f64> {
    (!samples.is_empty()).then(|| samples.iter().sum::<f64>() / samples.len() as f64)
}
