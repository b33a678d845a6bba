//! Rendezvous hashing (Thaler and Ravishankar, 1998): processes that know the same candidates agree on one for a
//! key without a message, and a candidate that leaves moves only the keys that it had.

/// State from which a hash by FNV-1a begins.
pub const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// How a candidate ranks for a key; the highest wins.
#[must_use]
pub fn rank(key: &[u8], candidate: &str) -> u64 {
    let mut hash = hash64(key, FNV_OFFSET);
    hash = hash64(&[0xff], hash);
    mix(hash64(candidate.as_bytes(), hash))
}

/// FNV-1a, continued from `state`.
#[must_use]
pub fn hash64(bytes: &[u8], state: u64) -> u64 {
    bytes.iter().fold(state, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The final mix of SplitMix64, which spreads the low entropy of FNV over all bits.
#[must_use]
pub fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
