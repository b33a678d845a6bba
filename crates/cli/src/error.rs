//! What can go wrong with a command; each ends the program with exit code 2.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Bad use, or an input that can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// An option has a value that can't be used, or doesn't go with another.
    #[snafu(display("{option}: {expected}"))]
    Usage {
        option: &'static str,
        expected: &'static str,
    },
    /// Neither a seed nor a file that can be read.
    #[snafu(display("{path}: {source}; expected a seed or a script"))]
    ReadScript { path: String, source: io::Error },
    /// A file or folder can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    /// A thread that plays has panicked.
    #[snafu(display("a thread has died"))]
    ThreadPanicked,
    /// A mutation that doesn't exist.
    #[cfg(feature = "mutations")]
    #[snafu(display("no such mutation: {name}"))]
    UnknownMutation { name: String },
    /// A build without the feature.
    #[cfg(not(feature = "mutations"))]
    #[snafu(display("this build has no mutations: build it with --features mutations"))]
    NoMutations,
    /// The path of the running program isn't known.
    #[snafu(display("this program's place: {source}"))]
    OwnPath { source: io::Error },
    /// The program under test isn't there.
    #[snafu(display(
        "no program at {}; build it (cargo build --release) or name it with --binary",
        path.display()
    ))]
    NoProgram { path: PathBuf },
    /// The file of `woadreach status` can't be used.
    #[snafu(display("{source}"))]
    StatusFile {
        source: crate::status::machines::MachineListError,
    },
    /// The asynchronous runtime can't be started.
    #[snafu(display("runtime: {source}"))]
    Runtime { source: io::Error },
    /// A result can't be printed as JSON.
    #[snafu(display("{source}"))]
    Json { source: serde_json::Error },
    /// A scenario can't be played with real processes.
    #[snafu(display("{source}"))]
    PlayScenario {
        source: woadreach_process_tests::PlayError,
    },
    /// The text of a script is invalid; the source names its file and the place.
    #[snafu(display("{source}"))]
    InvalidScript {
        source: woadreach_simulation::ScriptError,
    },
    /// A script can't be played on loopback sockets.
    #[snafu(display("{source}"))]
    PlayOnSockets {
        source: woadreach_simulation::SocketsError,
    },
}
