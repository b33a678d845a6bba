//! How messages name replicas.

use serde::{Deserialize, Serialize};

/// One run of a replica, as a hash of its name and start time. Replicas whose hashes collide share one quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// The key of the replica `name` that started at `started_at_s`, in seconds since the epoch. It is a 32-bit FNV-1a
    /// hash, so that all members compute the same.
    pub fn named(name: &str, started_at_s: f64) -> ReplicaKey {
        let started_at_ms = (started_at_s * 1000.0).round() as i64;
        let bytes = name.bytes().chain(started_at_ms.to_le_bytes());
        ReplicaKey(bytes.fold(0x811c_9dc5, |hash: u32, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        }))
    }

    /// The quota allocator's bucket, of `bucket_count`, to which this replica belongs.
    pub fn bucket(self, bucket_count: u8) -> u8 {
        (self.0.wrapping_mul(0x9e37_79b9) >> 16) as u8 % bucket_count.max(1)
    }
}
