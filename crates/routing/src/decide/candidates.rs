//! The choice of a replica for one call: filters, then fewest in flight, ties at random.

/// The replicas that a call may go to.
pub struct Candidates<R>(Vec<R>);

impl<R: Clone> Candidates<R> {
    /// All replicas that could serve the call.
    pub fn new(replicas: impl Iterator<Item = R>) -> Self {
        Candidates(replicas.collect())
    }

    /// Whether none is left.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops those that must not be used, even if none is left.
    pub fn require(&mut self, allowed: impl Fn(&R) -> bool) {
        self.0.retain(|r| allowed(r));
    }

    /// Keeps the better ones, if there are any: a doubtful replica beats none.
    pub fn prefer(&mut self, better: impl Fn(&R) -> bool) {
        if self.0.iter().any(&better) {
            self.0.retain(|r| better(r));
        }
    }

    /// The least load among them.
    pub fn least(&self, load: impl Fn(&R) -> usize) -> Option<usize> {
        self.0.iter().map(load).min()
    }

    /// One of those with the least load, at random.
    pub fn choose(&mut self, load: impl Fn(&R) -> usize, rng: &mut oorandom::Rand64) -> Option<R> {
        let least = self.least(&load)?;
        self.prefer(|r| load(r) == least);
        Some(self.0[rng.rand_range(0..self.0.len() as u64) as usize].clone())
    }
}
