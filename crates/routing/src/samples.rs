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
    window
        .iter()
        .filter(|s| s.at > after)
        .map(|s| s.value)
        .collect()
}

/// Smallest sample with at least `p` of them at or under it.
pub fn quantile(mut samples: Vec<f64>, p: f64) -> Option<f64> {
    samples.sort_by(f64::total_cmp);
    let at = (p * samples.len() as f64).ceil() as usize;
    samples.get(at.max(1) - 1).or(samples.last()).copied()
}

/// The smallest time at which a product of shares reaches `p`: of each of `distributions` the share of its
/// samples at or under that time, and that of `rest` to the power of `count`. `None` without samples.
pub fn product_quantile(
    mut distributions: Vec<Vec<f64>>,
    mut rest: Vec<f64>,
    count: usize,
    p: f64,
) -> Option<f64> {
    distributions
        .iter_mut()
        .chain([&mut rest])
        .for_each(|s| s.sort_by(f64::total_cmp));
    let mut times: Vec<f64> = distributions
        .iter()
        .chain([&rest])
        .flatten()
        .copied()
        .collect();
    times.sort_by(f64::total_cmp);
    let share =
        |s: &Vec<f64>, t: f64| s.partition_point(|x| *x <= t) as f64 / s.len().max(1) as f64;
    let of_rest = |t: f64| share(&rest, t).powi(count as i32);
    let product = |t: f64| distributions.iter().map(|s| share(s, t)).product::<f64>() * of_rest(t);
    times
        .get(times.partition_point(|t| product(*t) < p))
        .copied()
}

/// How many groups of at most `of` these times make, where only equal ones go together.
pub fn groups(times: impl Iterator<Item = f64>, of: usize) -> usize {
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times
        .chunk_by(|a, b| a == b)
        .map(|c| c.len().div_ceil(of.max(1)))
        .sum()
}

/// The mean of the samples, if there are any.
pub fn mean(samples: &[f64]) -> Option<f64> {
    (!samples.is_empty()).then(|| samples.iter().sum::<f64>() / samples.len() as f64)
}
