//! Interface through which discovery reads the core's committed state. The control plane implements
//! [`CommittedState`] on each core machine.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::sync::watch;

/// Membership view of the core as known to one core machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// Epoch of the view; 0 before the first.
    pub epoch: u64,
    /// Whether this machine is in contact with a majority of the voters and has caught up since then.
    pub in_quorum: bool,
    /// Internal addresses of the view's voters.
    pub voters: Vec<SocketAddr>,
    /// Internal addresses of all core machines known to this machine, including those outside the view.
    pub core_machines: Vec<SocketAddr>,
}

impl ViewSummary {
    /// Whether this machine has a view and is not in quorum. Always false before the first view.
    pub fn is_out_of_quorum(&self) -> bool {
        self.epoch > 0 && !self.in_quorum
    }
}

/// Encoded value committed by the core, with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedValue {
    /// Generation of a configuration, or epoch of a storage view.
    pub version: u64,
    /// The encoded value.
    pub bytes: Bytes,
}

/// Committed state of the core as known to one core machine.
pub trait CommittedState: Send + Sync {
    /// The membership view.
    fn view(&self) -> ViewSummary;
    /// The newest committed configuration, versioned by its generation.
    fn configuration(&self) -> Option<CommittedValue>;
    /// The newest committed view of the storage machines, versioned by its epoch.
    fn storage_view(&self) -> Option<CommittedValue>;
    /// Watches a counter that changes whenever the view, the configuration or the storage view changes.
    fn changed(&self) -> watch::Receiver<u64>;
}
