//! Durable state: two slots written in turn with a short log between.
//!
//! Start reading at [`Journal`], which is what other crates use.
//!
//! A slot is one file: a header, a snapshot, and a log of the records appended since. [`Journal::replace`]
//! writes a new snapshot into the slot that is not in use, syncs it and continues there; until that sync has
//! succeeded, the slot in use has everything. Records that wait together share one write and one `fdatasync`
//! (group commit). A thread of its own does that, so that no caller blocks on the disk.
//!
//! Layers, from the disk up:
//!
//! - [`Disk`] is the interface to the file system. [`FileDisk`] implements it on files, [`SimulatedDisk`] in
//!   memory, where it loses, tears and fails writes on command.
//! - `format` encodes and decodes headers and frames; `recovery` finds the newest slot and its log's end.
//! - [`Engine`] appends and replaces, synchronously and without threads or clock.
//! - [`Journal`] runs the engine on its thread.
//!
//! Durability is said in types: [`Synced`] is the receipt of a sync, and only the journal can make one. Every
//! byte is covered by a checksum that is chained from frame to frame. Recovery truncates a torn tail, which
//! was never acknowledged; corruption of acknowledged data is an error and never returned as data.

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
