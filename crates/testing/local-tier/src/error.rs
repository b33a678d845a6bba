//! What can go wrong with a tier on loopback.

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
    /// A file or a process could not be made.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// Something did not come about in time.
    #[snafu(display("{what} did not come about within {seconds} s"))]
    TooLate {
        /// What was waited for.
        what: String,
        /// How long, in seconds.
        seconds: u64,
    },
    /// A request failed.
    #[snafu(display("{what}: {source}"))]
    Request {
        /// What was asked.
        what: String,
        /// How it failed.
        source: reqwest::Error,
    },
    /// A request had another answer than expected.
    #[snafu(display("{what}: answered {status}"))]
    Answered {
        /// What was asked.
        what: String,
        /// The status of the answer.
        status: u16,
    },
}
