//! Why a co-ordinator cannot go on.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use woadreach_runtime::TaskError;

/// Why a co-ordinator cannot go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ServeError {
    /// An address cannot be listened on.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The listener does not know its own address.
    #[snafu(display("{source}"))]
    LocalAddress {
        /// Why not.
        source: io::Error,
    },
    /// The core task has ended. A process without it looks alive and answers nothing, so that it ends, to be
    /// restarted.
    #[snafu(display("the core has ended: {:?}", result.as_ref().map_err(|e| &e.reason)))]
    CoreEnded {
        /// How it has ended.
        result: Result<(), TaskError>,
    },
    /// The task that accepts clients has failed.
    #[snafu(display("serving: {source}"))]
    Front {
        /// How it has failed.
        source: TaskError,
    },
}
