//! Errors of commands. Each ends the program with exit code 2.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Invalid usage or input, or a failure of the environment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// The value of an option is out of range, or the option conflicts with another.
    #[snafu(display("{option}: {expected}"))]
    Usage {
        option: &'static str,
        /// What was expected; shown after the name of the option.
        expected: &'static str,
    },
    /// The argument is neither a seed nor the path of a readable file.
    #[snafu(display("cannot read {path}: {source}; expected a seed or a script"))]
    ReadScript { path: String, source: io::Error },
    /// A file or folder cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    /// A worker thread panicked during a run.
    #[snafu(display("a worker thread panicked"))]
    ThreadPanicked,
    /// No mutation has this name.
    #[cfg(feature = "mutations")]
    #[snafu(display("no such mutation: {name}"))]
    UnknownMutation { name: String },
    /// The program was built without the feature `mutations`.
    #[cfg(not(feature = "mutations"))]
    #[snafu(display("this build has no mutations: build it with --features mutations"))]
    NoMutations,
    /// The path of this executable cannot be determined.
    #[snafu(display("cannot determine the path of this executable: {source}"))]
    OwnPath { source: io::Error },
    /// There is no program under test at this path.
    #[snafu(display(
        "no program at {}; build it (cargo build --release) or name it with --binary",
        path.display()
    ))]
    NoProgram { path: PathBuf },
    /// The machine list of `woadreach status` cannot be read or is invalid.
    #[snafu(display("{source}"))]
    StatusFile {
        source: crate::status::machines::MachineListError,
    },
    /// The asynchronous runtime cannot be started.
    #[snafu(display("cannot start the asynchronous runtime: {source}"))]
    Runtime { source: io::Error },
    /// A result cannot be serialized to JSON.
    #[snafu(display("{source}"))]
    Json { source: serde_json::Error },
    /// A scenario cannot be played with real processes.
    #[snafu(display("{source}"))]
    PlayScenario {
        source: woadreach_process_tests::PlayError,
    },
    /// The text of a script is invalid; the source names the file and the position.
    #[snafu(display("{source}"))]
    InvalidScript {
        source: woadreach_simulation::ScriptError,
    },
    /// A script cannot be played on loopback sockets.
    #[snafu(display("{source}"))]
    PlayOnSockets {
        source: woadreach_simulation::SocketsError,
    },
}
