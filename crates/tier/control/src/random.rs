//! Random numbers for identities and seeds.

use std::hash::{BuildHasher, Hasher, RandomState};

/// A number that differs between processes, from the standard library's random keys.
pub(crate) fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}
