//! A hash that gives all members the same order without a message.

/// The output of the SplitMix64 generator whose state is `state` (Steele, Lea and Flood, 2014). No two states have the
/// same output.
pub fn splitmix64(state: u64) -> u64 {
    let mut hash = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
