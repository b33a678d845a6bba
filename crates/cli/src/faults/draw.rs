//! `woadreach faults draw`: prints the script of a seed.

use super::script::{draw_script, parse_fault_kind};
use crate::Finding;
use crate::output::{Format, to_json};
use clap::Args;

#[derive(Args)]
pub(crate) struct Arguments {
    seed: u64,
    /// Draws whole-tier scripts: 20 and 30 co-ordinators, and replicas that start together
    #[arg(long)]
    tier: bool,
    /// Draws only faults of these kinds
    #[arg(long, value_delimiter = ',', value_parser = parse_fault_kind, value_name = "KIND,..")]
    only: Vec<String>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Draws the script and prints it.
pub(super) fn execute(arguments: &Arguments) -> Finding {
    let script = draw_script(arguments.seed, arguments.tier, &arguments.only, None);
    match arguments.format {
        Format::Json => println!("{}", to_json(&script)),
        Format::Text => print!("{}", script.text()),
    }
    Finding::NoProblem
}
