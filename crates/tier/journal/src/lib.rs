//! Durable state: two slots written in turn with a short log between.
//!
//! A slot is one file: a header, a snapshot, and the log of the records appended since. [`Journal::replace`]
//! writes a new snapshot into the slot that is not in use, syncs it and goes on there; until that sync has
//! succeeded the other slot holds everything. Records that wait together share one write and one `fdatasync`
//! (group commit), on a thread of their own, so that no caller waits on the disk.
//!
//! Layers: [`Disk`] is what is needed of a file system, with [`FileDisk`] (real files) and [`SimulatedDisk`]
//! (loses, tears and refuses writes on command); [`Engine`] is the format and its recovery, synchronous and
//! without threads or clock; [`Journal`] is the engine on its thread.
//!
//! Every byte is covered by a checksum that is chained from frame to frame. A torn tail that was never
//! acknowledged is cut off at recovery; damage to anything acknowledged is an error, never data.

mod disk;
mod engine;
mod error;
mod format;
mod journal;
mod recovery;
mod simulated;

pub use disk::{Disk, FileDisk, Slot};
pub use engine::{Engine, Synced};
pub use error::JournalError;
pub use journal::{Journal, JournalOptions};
pub use recovery::Recovered;
pub use simulated::{DiskFault, SimulatedDisk, Survival};
