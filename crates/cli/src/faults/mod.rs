//! `woadreach faults`: plays simulated runs with seeded faults on a virtual clock, and shrinks failing scripts.

mod compare;
mod draw;
mod mutations;
mod parallel;
mod replay;
mod run;
mod script;
mod shrink;
mod summary;

use crate::Finding;
use crate::error::CommandError;
use clap::Subcommand;

/// Subcommands of `woadreach faults`.
#[derive(Subcommand)]
pub(crate) enum Action {
    /// Plays a range of seeds, and reports which break a rule
    #[command(after_help = "Example: woadreach faults run --seeds 0..10000 --jobs 4")]
    Run(run::Arguments),
    /// Plays one seed or script again; the events are the same byte for byte
    #[command(after_help = "Example: woadreach faults replay 4711 --trace trace.jsonl")]
    Replay(replay::Arguments),
    /// Reduces a script to the smallest that still breaks the same rule
    #[command(after_help = "Example: woadreach faults shrink 4711 --out small.toml")]
    Shrink(shrink::Arguments),
    /// Prints the script of a seed
    Draw(draw::Arguments),
    /// Plays a script without its faults on loopback sockets and on the virtual clock, side by side
    #[command(after_help = "Example: woadreach faults compare calm.toml\n\
                            Exit code 1 if a rule broke or the shares answered in time are more than 0.02 apart.")]
    Compare(compare::Arguments),
    /// Disables known defences, one at a time, and reports how many seeds it takes until a rule breaks
    #[command(after_help = "Needs a build with --features mutations")]
    Mutations(mutations::Arguments),
}

/// Runs a subcommand of `woadreach faults`.
pub(crate) fn execute(action: Action) -> Result<Finding, CommandError> {
    match action {
        Action::Run(arguments) => run::execute(&arguments),
        Action::Replay(arguments) => replay::execute(&arguments),
        Action::Shrink(arguments) => shrink::execute(&arguments),
        Action::Draw(arguments) => Ok(draw::execute(&arguments)),
        Action::Compare(arguments) => compare::execute(&arguments),
        Action::Mutations(arguments) => mutations::execute(&arguments),
    }
}
