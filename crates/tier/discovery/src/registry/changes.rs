//! What core machines and watchers exchange of a registry: its version, changes since one, and heartbeats
//! without changes. [`messages`](crate::messages) has the messages that carry them.

use speedy::{Readable, Writable};

use crate::status::IdentifiedStatus;

/// A state of one machine's registry. Versions of different incarnations are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RegistryVersion {
    /// Incarnation of the process; 0 for none.
    pub incarnation: u64,
    /// Revision within that incarnation; rises by one with each change.
    pub revision: u64,
    /// Highest revision at or below which a tombstone had been dropped. A receiver that has taken this
    /// version knows no replica whose tombstone was dropped up to it.
    pub dropped_tombstone_revision: u64,
}

/// Changes of a registry since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryChanges {
    /// Version that the receiver has after these changes.
    pub version: RegistryVersion,
    /// Whether these changes start a complete list, which replaces everything listed before.
    pub reset: bool,
    /// Whether further changes have to be requested.
    pub has_more: bool,
    /// Newest status of each replica that has changed, in the order of the changes.
    pub statuses: Vec<IdentifiedStatus>,
}

/// A heartbeat without changes, as forwarded to the other core machines.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Refresh {
    /// Identifier of the replica's incarnation.
    pub id: String,
    /// Its newest sequence number.
    pub sequence: u64,
    /// Digest of its content, by which the receiver notices that its record has diverged.
    pub digest: u32,
}

/// Whether a [`Refresh`] could be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshResult {
    /// It has been applied, or was known already.
    Known,
    /// The content is unknown here and has to be requested from the sender.
    Unknown,
}
