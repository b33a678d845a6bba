//! Errors that prevent a scenario from being run.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;
use woadreach_simulation::ScriptError;

/// No scenario has the given name.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no such scenario; there are {known}"))]
pub struct UnknownScenario {
    /// Names of all scenarios, separated by commas.
    pub known: String,
}

/// An invalid configuration, or a failure of the test program itself. Broken invariants and crashes of the program
/// under test are not errors: they are reported in the [`Outcome`](crate::Outcome).
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum PlayError {
    /// Too few or too many co-ordinators or zones.
    #[snafu(display("expected 2 to 16 co-ordinators in 2 to 8 zones"))]
    ClusterSize,
    /// The number of regions is 0 or exceeds the number of zones.
    #[snafu(display("expected 1 region at least, and no more than zones"))]
    RegionCount,
    /// The asynchronous runtime cannot be started.
    #[snafu(display("cannot start the asynchronous runtime: {source}"))]
    StartRuntime {
        /// What the system reported.
        source: io::Error,
    },
    /// The simulation's parser rejects the generated script.
    #[snafu(display("generated script is invalid: {source}"))]
    InvalidScript {
        /// Error of the parser, with its position in the script.
        source: ScriptError,
    },
    /// A socket or the temporary directory cannot be created.
    #[snafu(display("cannot set up the cluster: {source}"))]
    SetUp {
        /// What the system reported.
        source: io::Error,
    },
    /// A fake replica cannot be restarted.
    #[snafu(display("cannot restart replica r{replica}: {source}"))]
    StartReplica {
        /// Index of the replica.
        replica: usize,
        /// What the system reported.
        source: io::Error,
    },
    /// The generated configuration of a co-ordinator is not valid JSON.
    #[snafu(display("generated configuration is not valid JSON: {source}"))]
    InvalidConfiguration {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The configuration file of a co-ordinator cannot be written.
    #[snafu(display("cannot write configuration file {}: {source}", path.display()))]
    WriteConfiguration {
        /// Path of the configuration file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The program under test cannot be started.
    #[snafu(display("cannot start {}: {source}", binary.display()))]
    StartProcess {
        /// Path of the program.
        binary: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A co-ordinator did not accept connections before the start time-out.
    #[snafu(display("a co-ordinator does not accept connections"))]
    NotAccepting,
}
