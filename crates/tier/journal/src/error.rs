//! Failures of the journal.

use std::fmt;
use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::slot::Slot;

/// An operation of the journal on a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskOperation {
    /// Reading a slot at recovery.
    Read,
    /// Writing bytes.
    Write,
    /// Setting the length.
    Truncate,
    /// Making changes durable.
    Sync,
    /// Emptying a corrupt slot.
    Discard,
}

impl fmt::Display for DiskOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DiskOperation::Read => "read",
            DiskOperation::Write => "write",
            DiskOperation::Truncate => "truncate",
            DiskOperation::Sync => "sync",
            DiskOperation::Discard => "discard",
        })
    }
}

/// Why something could not be made durable or recovered.
///
/// One failure answers all records that shared a sync, so the type is `Clone`, and has the class of an
/// [`io::Error`] in place of the error.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The disk is full, or the journal has reached [`crate::JournalOptions::max_bytes`]. The record is not
    /// appended.
    #[snafu(display(
        "no room on disk for {wanted} more bytes in {slot}: compact, or raise disk_mb"
    ))]
    Full {
        /// Slot that was to grow.
        slot: Slot,
        /// Bytes that were to be written.
        wanted: u64,
    },
    /// The disk failed. A record that was being appended may or may not be recovered after a restart.
    #[snafu(display("{operation} of {slot} failed: {kind}"))]
    Io {
        /// Slot concerned.
        slot: Slot,
        /// Operation that failed.
        operation: DiskOperation,
        /// The operating system's class of failure.
        kind: io::ErrorKind,
    },
    /// The folder or a file in it cannot be opened.
    #[snafu(display("cannot open {}: {kind}", path.display()))]
    Open {
        /// Folder or file.
        path: PathBuf,
        /// The operating system's class of failure.
        kind: io::ErrorKind,
    },
    /// Data that was acknowledged is corrupt. After [`crate::Journal::discard`], the state can be had from
    /// replicas.
    #[snafu(display("{slot} is damaged at byte {offset}"))]
    Corrupt {
        /// Slot that is corrupt.
        slot: Slot,
        /// Offset of the first byte whose checksum doesn't match.
        offset: u64,
    },
    /// A slot was written in another version of the format.
    #[snafu(display("{slot} has format version {version}, this program reads {supported}"))]
    Version {
        /// Slot concerned.
        slot: Slot,
        /// Version found.
        version: u8,
        /// Version that this program reads.
        supported: u8,
    },
    /// Records of [`crate::JournalOptions::max_queued_bytes`] wait for the disk already. The record is not
    /// appended.
    #[snafu(display("{queued} bytes wait for the disk already"))]
    Overloaded {
        /// Bytes that wait.
        queued: usize,
    },
    /// Another snapshot was queued before this one was written. It holds everything that this one does.
    #[snafu(display("a newer snapshot takes this one's place"))]
    Superseded,
    /// The journal's thread has ended.
    #[snafu(display("the journal is closed"))]
    Closed,
}
