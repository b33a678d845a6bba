//! Choice of a replica for one call: filters, then the least load, with ties broken at random.

/// Replicas that a call may be sent to.
pub struct Candidates<R>(Vec<R>);

impl<R: Clone> Candidates<R> {
    /// Starts with all replicas that can serve the call.
    pub fn new(replicas: impl Iterator<Item = R>) -> Self {
        Candidates(replicas.collect())
    }

    /// Whether no replica is left.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops the replicas that are not `allowed`, even if none is left.
    pub fn require(&mut self, allowed: impl Fn(&R) -> bool) {
        self.0.retain(|r| allowed(r));
    }

    /// Keeps only the `better` replicas, or all if none is better: a doubtful replica is preferable to none.
    pub fn prefer(&mut self, better: impl Fn(&R) -> bool) {
        if self.0.iter().any(&better) {
            self.0.retain(|r| better(r));
        }
    }

    /// Smallest load of the replicas that are left; `None` if there are none.
    pub fn least(&self, load: impl Fn(&R) -> usize) -> Option<usize> {
        self.0.iter().map(load).min()
    }

    /// One of the replicas with the least load, at random; `None` if no replica is left.
    pub fn choose(&mut self, load: impl Fn(&R) -> usize, rng: &mut oorandom::Rand64) -> Option<R> {
        let least = self.least(&load)?;
        self.prefer(|r| load(r) == least);
        Some(self.0[rng.rand_range(0..self.0.len() as u64) as usize].clone())
    }
}
