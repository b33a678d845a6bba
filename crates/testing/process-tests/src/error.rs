//! Why a scenario can't be played.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;
use woadreach_simulation::ScriptError;

/// A name that no scenario has.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no such scenario; there are {known}"))]
pub struct UnknownScenario {
    /// The names of all scenarios.
    pub known: String,
}

/// A configuration that can't be played, or a failure of the test program itself. A broken invariant or a
/// crash of the program under test is no error, but part of the [`Outcome`](crate::Outcome).
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum PlayError {
    /// Too few or too many co-ordinators or zones.
    #[snafu(display("expected 2 to 16 co-ordinators in 2 to 8 zones"))]
    ClusterSize,
    /// No region, or more regions than zones.
    #[snafu(display("expected 1 region at least, and no more than zones"))]
    RegionCount,
    /// The asynchronous runtime can't be started.
    #[snafu(display("runtime: {source}"))]
    StartRuntime {
        /// What the system reported.
        source: io::Error,
    },
    /// The description of the fleet and its load is rejected by the simulation's parser.
    #[snafu(display("{source}"))]
    InvalidScript {
        /// The parser's error, with its position.
        source: ScriptError,
    },
    /// Sockets or folders can't be set up.
    #[snafu(display("{source}"))]
    SetUp {
        /// What the system reported.
        source: io::Error,
    },
    /// A fake replica can't be started again.
    #[snafu(display("r{replica}: {source}"))]
    StartReplica {
        /// The replica's index.
        replica: usize,
        /// What the system reported.
        source: io::Error,
    },
    /// The configuration of a co-ordinator isn't JSON.
    #[snafu(display("{source}"))]
    InvalidConfiguration {
        /// What the parser reported.
        source: serde_json::Error,
    },
    /// The configuration file of a co-ordinator can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    WriteConfiguration {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The program under test can't be started.
    #[snafu(display("{}: {source}", binary.display()))]
    StartProcess {
        /// The program.
        binary: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A co-ordinator didn't accept connections in time after its start.
    #[snafu(display("a co-ordinator does not accept connections"))]
    NotAccepting,
}
