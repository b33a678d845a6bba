//! Receipt of a sync.

/// Proof that records or a snapshot are durable. Only the journal can create one, so a function that must run
/// after the sync can require it as an argument.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Synced(());

impl Synced {
    /// Creates a receipt. The sync that covers the records or snapshot must have succeeded.
    pub(crate) fn receipt() -> Synced {
        Synced(())
    }
}
