//! Errors of starting and controlling a tier on loopback.

use snafu::Snafu;
use std::path::PathBuf;

/// Failure to start, configure or query a tier.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TierError {
    /// An executable was not found in the folder of built programs.
    #[snafu(display("executable {} not found; build it first: cargo build --release", path.display()))]
    NotBuilt {
        /// Path at which the executable was expected.
        path: PathBuf,
    },
    /// An operation on a file, a socket or a process failed.
    #[snafu(display("{what}: {source}"))]
    System {
        /// Operation or resource that failed, for example `settings of edge-1`.
        what: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A condition was not met in time.
    #[snafu(display("{what}: timed out after {seconds} s"))]
    TimedOut {
        /// Awaited condition.
        what: String,
        /// Time-out in seconds.
        seconds: u64,
    },
    /// A request was not sent, or its response not received.
    #[snafu(display("{what}: {source}"))]
    Request {
        /// Description of the request.
        what: String,
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// A response had a status other than 2xx.
    #[snafu(display("{what}: got status {status}, expected 2xx"))]
    ErrorStatus {
        /// Description of the request.
        what: String,
        /// Status code of the response.
        status: u16,
    },
}
