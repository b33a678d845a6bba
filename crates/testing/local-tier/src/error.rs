//! Errors of a tier on loopback.

use snafu::Snafu;
use std::path::PathBuf;

/// A tier that could not be started or did not do what was asked in time.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TierError {
    /// A program has not been built.
    #[snafu(display("{} is missing; build it first: cargo build --release", path.display()))]
    NotBuilt {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A file could not be written, or a process not started or signalled.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was attempted.
        what: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A condition was not met in time.
    #[snafu(display("{what} did not come about within {seconds} s"))]
    TimedOut {
        /// What was waited for.
        what: String,
        /// How long, in seconds.
        seconds: u64,
    },
    /// A request failed.
    #[snafu(display("{what}: {source}"))]
    Request {
        /// The request.
        what: String,
        /// How it failed.
        source: reqwest::Error,
    },
    /// A request was answered with an error.
    #[snafu(display("{what}: answered {status}"))]
    ErrorStatus {
        /// The request.
        what: String,
        /// The status of the answer.
        status: u16,
    },
}
