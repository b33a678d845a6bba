//! Errors of the journal.

use std::fmt;
use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::slot::Slot;

/// Operation on a slot that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskOperation {
    /// Reading a slot during recovery.
    Read,
    /// Writing bytes to a slot.
    Write,
    /// Setting the length of a slot.
    Truncate,
    /// Making the changes of a slot durable (`fdatasync`).
    Sync,
    /// Emptying a slot in [`crate::Journal::discard`].
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

/// Error of opening, recovering or writing a journal.
///
/// The type is `Clone` because one failed sync is reported to every record that shared it. It therefore has the
/// [`io::ErrorKind`] in place of the [`io::Error`], which is not `Clone`.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The disk is full, or the write would exceed [`crate::JournalOptions::max_bytes`]. The record or
    /// snapshot is not stored.
    #[snafu(display(
        "no space to write {wanted} bytes to {slot}: compact the journal, or raise disk_mb"
    ))]
    Full {
        /// Slot that the write was for.
        slot: Slot,
        /// Length of the write in bytes.
        wanted: u64,
    },
    /// A disk operation failed. A record that was being appended may or may not be recovered after a restart.
    #[snafu(display("{operation} of {slot} failed: {kind}"))]
    Io {
        /// Slot of the failed operation.
        slot: Slot,
        /// Operation that failed.
        operation: DiskOperation,
        /// Kind of the operating system's error.
        kind: io::ErrorKind,
    },
    /// The folder or a file in it cannot be opened, or the journal's thread cannot be started.
    #[snafu(display("cannot open {}: {kind}", path.display()))]
    Open {
        /// Folder or file; `journal thread` if the thread could not be started.
        path: PathBuf,
        /// Kind of the operating system's error.
        kind: io::ErrorKind,
    },
    /// Data that may have been acknowledged is corrupt. [`crate::Journal::discard`] empties the journal, after
    /// which the state can be fetched from replicas.
    #[snafu(display("{slot} is damaged at byte {offset}"))]
    Corrupt {
        /// Slot that is corrupt.
        slot: Slot,
        /// Offset in bytes of the header, snapshot or frame that failed its check.
        offset: u64,
    },
    /// A slot was written in another version of the format. Its content is not decoded.
    #[snafu(display("{slot} has format version {version}, this program reads {supported}"))]
    Version {
        /// Slot of the other version.
        slot: Slot,
        /// Version in the slot's header.
        version: u8,
        /// The one version that this program reads.
        supported: u8,
    },
    /// The record would raise the unsynced bytes above [`crate::JournalOptions::max_queued_bytes`]. The record
    /// is not appended.
    #[snafu(display("journal queue is full: {queued} bytes of records are not synced yet"))]
    Overloaded {
        /// Bytes of the records that are queued and not yet synced, without the rejected one.
        queued: usize,
    },
    /// A newer snapshot was queued before this one was completely written. The newer one includes all records
    /// of this one.
    #[snafu(display("snapshot superseded by a newer one before it was completely written"))]
    Superseded,
    /// The journal's thread has ended.
    #[snafu(display("the journal is closed"))]
    Closed,
}
