//! Durable state of a process: a snapshot and a log of records, in two slots that are written alternately.
//!
//! Start reading at [`Journal`], the interface for other crates.
//!
//! A slot is one file: a header, a snapshot, and a log of the records appended after it. [`Journal::replace`]
//! writes a new snapshot to the unused slot, syncs it and continues there. Until that sync has succeeded, the
//! current slot has the complete state. Records that are queued together share one write and one `fdatasync`
//! (group commit). A separate thread writes to the disk, so that no caller blocks on it.
//!
//! Layers, from the lowest to the highest:
//!
//! - [`Disk`] is the storage interface. [`FileDisk`] implements it on files. [`SimulatedDisk`] implements it in
//!   memory and injects lost, torn and failed writes for tests.
//! - `format` encodes and decodes headers and frames. `recovery` finds the newest slot and the end of its log.
//! - [`Engine`] appends records and replaces the log. It is synchronous and uses no threads or clock.
//! - [`Journal`] runs the engine on a separate thread.
//!
//! [`Synced`] is the receipt of a sync and only the journal can create one, so the compiler can check that a
//! step runs after the sync. Checksums cover every byte, and those of frames are chained. Recovery truncates a
//! torn tail, which was never acknowledged. Corruption of acknowledged data is an error and is never returned
//! as data. Corruption of the last frame usually cannot be distinguished from a torn tail.

mod disk;
mod engine;
mod error;
mod format;
mod journal;
mod recovery;
mod simulated;
mod slot;
mod synced;

pub use disk::{Disk, FileDisk};
pub use engine::Engine;
pub use error::{DiskOperation, JournalError};
pub use journal::{Journal, JournalOptions};
pub use recovery::Recovered;
pub use simulated::{DiskFault, OperationCounts, SimulatedDisk, Survival};
pub use slot::Slot;
pub use synced::Synced;
