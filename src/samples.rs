//! Windows of samples and their quantiles: arithmetic alone, nothing is decided here.

use std::collections::VecDeque;

/// A value and the time (seconds) at which it was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// When it was seen.
    pub at: f64,
    /// What was seen, such as a latency in seconds.
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
pub fn since(window: &VecDeque<Sample>, after: f64) -> Vec<f64> {
    window.iter().filter(|s| s.at > after).map(|s| s.value).collect()
}

/// Smallest sample with at least `p` of them at or under it.
pub fn quantile(mut samples: Vec<f64>, p: f64) -> Option<f64> {
    samples.sort_by(f64::total_cmp);
    let at = (p * samples.len() as f64).ceil() as usize;
    samples.get(at.max(1) - 1).or(samples.last()).copied()
}

/// How many groups of at most `of` these times make, where only equal ones go together.
pub fn groups(times: impl Iterator<Item = f64>, of: usize) -> usize {
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times.chunk_by(|a, b| a == b).map(|c| c.len().div_ceil(of.max(1))).sum()
}

/// The mean of the samples, if there are any.
pub fn mean(samples: &[f64]) -> Option<f64> {
    (!samples.is_empty()).then(|| samples.iter().sum::<f64>() / samples.len() as f64)
}
