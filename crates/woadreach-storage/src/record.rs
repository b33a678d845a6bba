//! What a storage machine writes to its journal.

use speedy::{Readable, Writable};

use crate::message::ProgramRecords;
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
    /// The newest committed view that is known here; older ones are refused from now on.
    View(StorageView),
    /// Records of a program, to be merged with what is there.
    Program(ProgramRecords),
}
