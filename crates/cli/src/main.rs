//! `woadreach`: the command line tool for operators and contributors.
//!
//! Results go to standard output, errors, progress and logs to standard error. Exit codes: 0 if no problem was found, 1
//! if one was found, 2 for invalid usage or input. The libraries play the runs and check the rules.

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
    command: TopLevelCommand,
}

#[derive(Subcommand)]
enum TopLevelCommand {
    /// Plays seeded faults on a virtual clock: search, replay, shrink
    Faults {
        #[command(subcommand)]
        action: faults::Action,
    },
    /// Runs co-ordinator processes on loopback, with faults between their zones
    Cluster {
        #[command(subcommand)]
        action: cluster::Action,
    },
    /// Prints the state of a tier's machines, from their metrics pages
    Status(status::StatusArguments),
}

/// Result of a command that ran; it determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Exit code 0.
    NoProblem,
    /// Exit code 1; the command has printed the problem.
    Problem,
}

fn main() -> ExitCode {
    let result = match Command::parse().command {
        TopLevelCommand::Faults { action } => faults::execute(action),
        TopLevelCommand::Cluster { action } => cluster::execute(action),
        TopLevelCommand::Status(arguments) => status::execute(arguments),
    };
    exit_code(result)
}

fn exit_code(result: Result<Finding, CommandError>) -> ExitCode {
    match result {
        Ok(Finding::NoProblem) => ExitCode::SUCCESS,
        Ok(Finding::Problem) => ExitCode::from(1),
        Err(error) => {
            eprintln!("woadreach: {error}");
            ExitCode::from(2)
        }
    }
}
