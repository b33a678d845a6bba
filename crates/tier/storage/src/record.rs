//! Records that a storage machine writes to its journal, and the snapshots that replace them. A
//! [`StorageNode`](crate::node::StorageNode) is recovered from them.

use speedy::{Readable, Writable};

use crate::message::{ProgramRecords, encode};
use crate::view::StorageView;

/// A change of durable state.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Record {
    /// The first record of a disk.
    Identity {
        /// Number drawn at random when the disk was first used.
        disk: u64,
    },
    /// The newest committed view that the machine has; requests of older epochs are refused from then on.
    View(StorageView),
    /// Records of a program, to be merged with those stored.
    Program(ProgramRecords),
}

/// Builds a snapshot: concatenated records, each prefixed by its length (4 bytes, little endian).
#[derive(Debug)]
pub struct SnapshotWriter {
    bytes: Vec<u8>,
}

impl SnapshotWriter {
    /// An empty snapshot with a capacity of `expected` bytes.
    #[must_use]
    pub fn new(expected: usize) -> SnapshotWriter {
        SnapshotWriter {
            bytes: Vec::with_capacity(expected),
        }
    }

    /// Adds a record.
    pub fn push(&mut self, record: &Record) {
        let record = encode(record);
        let length = u32::try_from(record.len()).expect("a record is shorter than 4 GiB");
        self.bytes.extend_from_slice(&length.to_le_bytes());
        self.bytes.extend_from_slice(&record);
    }

    /// Bytes of the snapshot.
    #[must_use]
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// Encoded records of a snapshot; `None` if it is truncated.
#[must_use]
pub fn snapshot_records(mut snapshot: &[u8]) -> Option<Vec<&[u8]>> {
    let mut records = Vec::new();
    while !snapshot.is_empty() {
        let (length, rest) = snapshot.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        records.push(rest.get(..length)?);
        snapshot = &rest[length..];
    }
    Some(records)
}
