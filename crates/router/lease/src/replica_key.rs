//! Identifiers of replicas in messages.

use serde::{Deserialize, Serialize};

/// Identifies one run of a replica by a hash of its name and start time. Replicas whose hashes collide share one quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// Returns the key of the replica `name` that started at `started_at_s`, in seconds since the Unix epoch. The key
    /// is a 32-bit FNV-1a hash, so that all members compute the same value.
    pub fn named(name: &str, started_at_s: f64) -> ReplicaKey {
        let started_at_ms = (started_at_s * 1000.0).round() as i64;
        let bytes = name.bytes().chain(started_at_ms.to_le_bytes());
        ReplicaKey(bytes.fold(0x811c_9dc5, |hash: u32, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        }))
    }

    /// Returns the bucket of this replica, less than `bucket_count`. Each bucket has its own quota allocator.
    pub fn bucket(self, bucket_count: u8) -> u8 {
        (self.0.wrapping_mul(0x9e37_79b9) >> 16) as u8 % bucket_count.max(1)
    }
}
