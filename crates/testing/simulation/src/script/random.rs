//! Random choices for drawn scripts.

use crate::network::seed_of;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;

/// A seeded source of choices. The order of the calls is part of what a seed stands for.
pub(super) struct Choices(Pcg64Mcg);

impl Choices {
    /// The named source of a seed.
    pub(super) fn new(seed: u64, name: &str) -> Self {
        Choices(Pcg64Mcg::seed_from_u64(seed_of(seed, name)))
    }

    /// One of these options.
    pub(super) fn pick<T: Copy>(&mut self, options: &[T]) -> T {
        options[self.0.random_range(0..options.len())]
    }

    /// True in one of `n` cases.
    pub(super) fn one_in(&mut self, n: u32) -> bool {
        self.0.next_u32().is_multiple_of(n)
    }

    /// A number below `bound`.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }

    /// A number of a range.
    pub(super) fn within(&mut self, range: RangeInclusive<usize>) -> usize {
        self.0.random_range(range)
    }

    /// A 32-bit number below `bound`, which takes less of the generator than [`Choices::below`].
    pub(super) fn small_below(&mut self, bound: u32) -> u32 {
        self.0.random_range(0..bound)
    }

    /// A number from 0 up to `bound`.
    pub(super) fn fraction(&mut self, bound: f64) -> f64 {
        self.0.random_range(0.0..bound)
    }

    /// Distinct numbers below `all`, in ascending order: at least one, up to this share of them.
    pub(super) fn subset(&mut self, all: usize, share: f64) -> Vec<usize> {
        let n = 1 + self.within(0..=((all as f64 * share) as usize).min(all - 1));
        let mut numbers: Vec<usize> = (0..all).collect();
        for i in 0..n {
            let j = self.0.random_range(i..all);
            numbers.swap(i, j);
        }
        numbers.truncate(n);
        numbers.sort_unstable();
        numbers
    }

    /// Every number below `all`, each in one of `n` cases.
    pub(super) fn each_one_in(&mut self, n: u32, all: usize) -> Vec<usize> {
        (0..all).filter(|_| self.one_in(n)).collect()
    }
}
