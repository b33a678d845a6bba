//! `woadreach`: one command for operators and contributors, with a subcommand for each thing it can do.
//! Results go to standard output, all else to standard error. Exit codes: 0 good, 1 something wrong was
//! found, 2 bad use or input. Must never decide what its libraries decide.

mod cluster;
mod faults;

use clap::{Parser, Subcommand, ValueEnum};
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
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Seeded faults on a virtual clock: hunt, replay, shrink
    Faults {
        #[command(subcommand)]
        what: faults::What,
    },
    /// Many processes on loopback, under faults between their zones
    Cluster {
        #[command(subcommand)]
        what: cluster::What,
    },
}

/// How results are printed.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// Something wrong was found, or the use or an input was bad, with what to print.
pub enum Ended {
    Good,
    Found,
    Bad(String),
}

fn main() -> ExitCode {
    let ended = match Command::parse().what {
        What::Faults { what } => faults::run(what),
        What::Cluster { what } => cluster::run(what),
    };
    match ended {
        Ended::Good => ExitCode::SUCCESS,
        Ended::Found => ExitCode::from(1),
        Ended::Bad(why) => {
            eprintln!("woadreach: {why}");
            ExitCode::from(2)
        }
    }
}
