//! The core's committed state, as far as discovery distributes it: the interface to the control plane, which
//! implements [`CommittedState`] on a core machine.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::sync::watch;

/// The core's membership view as one core machine knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// Epoch of the view; 0 before the first.
    pub epoch: u64,
    /// Whether this machine is in contact with a majority of the voters, and has caught up since.
    pub in_quorum: bool,
    /// Internal addresses of the view's voters.
    pub voters: Vec<SocketAddr>,
    /// Internal addresses of the core machines that this machine knows, in the view or not.
    pub core_machines: Vec<SocketAddr>,
}

impl ViewSummary {
    /// Whether there is a view of which this machine does not reach a majority. Before the first view no
    /// machine is out of quorum.
    pub fn is_out_of_quorum(&self) -> bool {
        self.epoch > 0 && !self.in_quorum
    }
}

/// Encoded value that the core has committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedValue {
    /// Generation of a configuration, or epoch of a storage view.
    pub version: u64,
    /// The encoded value.
    pub bytes: Bytes,
}

/// Committed state of the core, as one core machine knows it.
pub trait CommittedState: Send + Sync {
    /// The membership view.
    fn view(&self) -> ViewSummary;
    /// The newest committed configuration, versioned by its generation.
    fn configuration(&self) -> Option<CommittedValue>;
    /// The newest committed view of the storage machines, versioned by its epoch.
    fn storage_view(&self) -> Option<CommittedValue>;
    /// A counter that changes whenever one of the above does.
    fn changed(&self) -> watch::Receiver<u64>;
}
