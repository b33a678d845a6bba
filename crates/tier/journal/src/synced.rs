//! The receipt of a sync.

/// Receipt that records are durable. Only the journal can make one, so that a function which must not run
/// before the sync can require it as an argument.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Synced(());

impl Synced {
    /// Makes a receipt. The sync that covers the records must have succeeded.
    pub(crate) fn receipt() -> Synced {
        Synced(())
    }
}
