//! `woadreach faults draw`: prints the script of a seed.

use super::script::{drawn, kind};
use crate::Finding;
use crate::output::{Format, json};
use clap::Args;

#[derive(Args)]
pub(crate) struct Arguments {
    seed: u64,
    /// Days of a whole tier: 20 and 30 co-ordinators, and replicas that start together
    #[arg(long)]
    tier: bool,
    /// Draws these kinds of faults only
    #[arg(long, value_delimiter = ',', value_parser = kind, value_name = "KIND,..")]
    only: Vec<String>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Prints the script.
pub(super) fn execute(arguments: &Arguments) -> Finding {
    let script = drawn(arguments.seed, arguments.tier, &arguments.only, None);
    match arguments.format {
        Format::Json => println!("{}", json(&script)),
        Format::Text => print!("{}", script.text()),
    }
    Finding::Nothing
}
