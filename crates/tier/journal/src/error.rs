//! Failures of the journal.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::disk::Slot;

/// Why something could not be made durable or read back.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The disk, or the journal's share of it, has no room left. Nothing of the record counts as written.
    #[snafu(display(
        "no room on disk for {wanted} more bytes in {slot}: compact, or raise disk_mb"
    ))]
    Full {
        /// Slot that was to grow.
        slot: Slot,
        /// Bytes that were to be written.
        wanted: u64,
    },
    /// The disk failed. The record may or may not appear after a restart.
    #[snafu(display("{operation} of {slot} failed: {kind}"))]
    Io {
        /// Slot concerned.
        slot: Slot,
        /// What was tried.
        operation: &'static str,
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
    /// Acknowledged data is damaged. Recover from copies elsewhere after [`crate::Journal::discard`].
    #[snafu(display("{slot} is damaged at byte {offset}"))]
    Corrupt {
        /// Slot that is damaged.
        slot: Slot,
        /// First byte that cannot be trusted.
        offset: u64,
    },
    /// A slot was written by a program of another format.
    #[snafu(display("{slot} has format version {version}, this program reads {supported}"))]
    Version {
        /// Slot concerned.
        slot: Slot,
        /// Version found.
        version: u8,
        /// Version that is understood.
        supported: u8,
    },
    /// Too many bytes wait for the disk already.
    #[snafu(display("{queued} bytes wait for the disk already"))]
    Overloaded {
        /// Bytes waiting.
        queued: usize,
    },
    /// A newer snapshot came before this one was written.
    #[snafu(display("a newer snapshot takes this one's place"))]
    Superseded,
    /// The journal's thread has ended.
    #[snafu(display("the journal is closed"))]
    Closed,
}
