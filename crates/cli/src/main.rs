//! `woadreach`: one command for operators and contributors, with a subcommand for each thing that it can do.
//!
//! Results go to standard output, all else to standard error. Exit codes: 0 if all is well, 1 if something wrong
//! was found, 2 for bad use or input. The libraries decide; this program reads arguments and prints.

mod cluster;
mod error;
mod faults;
mod output;
mod status;

use clap::{Parser, Subcommand};
use error::CommandError;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "woadreach",
    version,
    about,
    after_help = "Example: woadreach faults run --seeds 0..1000"
)]
struct Command {
    #[command(subcommand)]
    topic: Topic,
}

#[derive(Subcommand)]
enum Topic {
    /// Seeded faults on a virtual clock: hunt, replay, shrink
    Faults {
        #[command(subcommand)]
        action: faults::Action,
    },
    /// Many processes on loopback, under faults between their zones
    Cluster {
        #[command(subcommand)]
        action: cluster::Action,
    },
    /// The state of a tier's machines, from their metrics pages
    Status(status::StatusArguments),
}

/// What a command has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Nothing wrong.
    Nothing,
    /// Something wrong, which is printed.
    Something,
}

fn main() -> ExitCode {
    let result = match Command::parse().topic {
        Topic::Faults { action } => faults::execute(action),
        Topic::Cluster { action } => cluster::execute(action),
        Topic::Status(arguments) => status::execute(arguments),
    };
    exit_code(result)
}

fn exit_code(result: Result<Finding, CommandError>) -> ExitCode {
    match result {
        Ok(Finding::Nothing) => ExitCode::SUCCESS,
        Ok(Finding::Something) => ExitCode::from(1),
        Err(error) => {
            eprintln!("woadreach: {error}");
            ExitCode::from(2)
        }
    }
}
