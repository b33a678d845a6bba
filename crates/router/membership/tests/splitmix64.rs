//! Comparison of the hash with published outputs of SplitMix64. With a different hash, members of different versions
//! would compute different orders.

use woadreach_membership::splitmix64;

/// Increment of the generator's state for each output.
const STATE_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Seed of the published outputs.
const SEED: u64 = 1_234_567;
/// First outputs of the published generator with [`SEED`].
const OUTPUTS: [u64; 5] = [
    6_457_827_717_110_365_317,
    3_203_168_211_198_807_973,
    9_817_491_932_198_370_423,
    4_593_380_528_125_082_431,
    16_408_922_859_458_223_821,
];

#[test]
fn outputs_are_those_of_the_published_generator() {
    let mut state = SEED;
    for output in OUTPUTS {
        assert_eq!(splitmix64(state), output);
        state = state.wrapping_add(STATE_INCREMENT);
    }
}
