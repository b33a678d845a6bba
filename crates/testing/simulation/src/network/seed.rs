//! Seeds of random generators.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The seed of the named generator of a run. Each generator has its own, so that a further one changes no
/// other.
pub fn seed_of(seed: u64, name: &str) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut mixed = rng.next_u64();
    for byte in name.bytes() {
        mixed = (mixed ^ u64::from(byte))
            .wrapping_mul(0x0000_0100_0000_01b3)
            .rotate_left(23);
    }
    Pcg64Mcg::seed_from_u64(mixed).next_u64()
}
