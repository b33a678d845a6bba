//! Random numbers for identities and for the seeds of random generators.

use std::hash::{BuildHasher, Hasher, RandomState};

/// Returns a random number from the random keys of the standard library's hasher.
pub(crate) fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}
