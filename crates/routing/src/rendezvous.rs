//! Rendezvous hashing (Thaler and Ravishankar, 1998): processes with the same list of candidates choose the same one
//! for a key without exchanging messages. When a candidate is removed, only its own keys move.

/// Initial state of an FNV-1a hash (its offset basis).
pub const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Rank of a candidate for a key. The candidate with the highest rank is chosen.
#[must_use]
pub fn rank(key: &[u8], candidate: &str) -> u64 {
    let mut hash = hash64(key, FNV_OFFSET);
    hash = hash64(&[0xff], hash);
    mix(hash64(candidate.as_bytes(), hash))
}

/// FNV-1a hash of `bytes`, continued from `state`; a new hash starts from [`FNV_OFFSET`].
#[must_use]
pub fn hash64(bytes: &[u8], state: u64) -> u64 {
    bytes.iter().fold(state, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Finalizer of SplitMix64, which spreads the low entropy of an FNV hash over all bits.
#[must_use]
pub fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
