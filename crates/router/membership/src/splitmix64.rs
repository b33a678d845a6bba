//! A hash by which all members compute the same order without communication.

/// Returns the output of the SplitMix64 generator (Steele, Lea and Flood, 2014) in the state `state`. Different states
/// have different outputs.
pub fn splitmix64(state: u64) -> u64 {
    let mut hash = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
