//! Random numbers for identities and seeds.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::{SystemTime, UNIX_EPOCH};

/// A random number, practically unique among processes: a hash of `salt`, the clock and the process id, with
/// the standard library's random keys.
pub(crate) fn random_number(salt: &str) -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(salt.as_bytes());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    hasher.write_u128(since_epoch.map_or(0, |time| time.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish()
}
