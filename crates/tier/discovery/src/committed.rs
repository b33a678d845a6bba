//! What discovery reads of the core's committed state.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::sync::watch;

/// The core's view as one core machine knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// Epoch of the view; 0 before the first.
    pub epoch: u64,
    /// Whether this machine is in contact with a majority of the voters, and has caught up since.
    pub in_quorum: bool,
    /// Internal addresses of the view's voters.
    pub voters: Vec<SocketAddr>,
    /// Internal addresses of the view's members.
    pub members: Vec<SocketAddr>,
}

/// Committed state of the core, as one core machine knows it.
pub trait CommittedState: Send + Sync {
    /// The view.
    fn view(&self) -> ViewSummary;
    /// Generation and body of the newest committed configuration.
    fn configuration(&self) -> Option<(u64, Bytes)>;
    /// Epoch and bytes of the newest committed view of the storage machines.
    fn storage_view(&self) -> Option<(u64, Bytes)>;
    /// Changes whenever one of the above does.
    fn changed(&self) -> watch::Receiver<u64>;
}
