//! Parts of a registry that core machines exchange and observers receive: versions, changes since a version, and
//! heartbeats without changes. The messages that contain them are in [`messages`](crate::messages).

use speedy::{Readable, Writable};

use crate::status::IdentifiedStatus;

/// Version of one machine's registry. Versions of different incarnations are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RegistryVersion {
    /// Incarnation of the process; 0 for none.
    pub incarnation: u64,
    /// Revision within the incarnation; increases by one with each change.
    pub revision: u64,
    /// Highest revision of a dropped tombstone. A receiver of this version lists no replica whose tombstone was dropped
    /// at or below this revision.
    pub dropped_tombstone_revision: u64,
}

/// Changes of a registry since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryChanges {
    /// Version that the receiver has after these changes.
    pub version: RegistryVersion,
    /// Whether these changes start a complete list. The receiver then discards the sender's previous list.
    pub reset: bool,
    /// Whether the sender has more changes, which have to be requested.
    pub has_more: bool,
    /// Newest status of each changed replica, in ascending order of revision.
    pub statuses: Vec<IdentifiedStatus>,
}

/// Heartbeat without changes, as forwarded to the other core machines.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Refresh {
    /// Identifier of the replica's incarnation.
    pub id: String,
    /// Newest sequence number of the replica.
    pub sequence: u64,
    /// [`ReplicaRecord::content_digest`](crate::ReplicaRecord::content_digest), by which the receiver detects that its
    /// record differs.
    pub digest: u32,
}

/// Whether a [`Refresh`] could be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshResult {
    /// The refresh was applied, or its sequence number was already known.
    Known,
    /// The receiver does not have this content. It has to request the sender's registry.
    Unknown,
}
