//! `woadreach faults shrink`: cuts a script down to the smallest that still breaks the same rule.

use super::script::{ScriptArguments, write};
use crate::Finding;
use crate::error::CommandError;
use crate::output::{Format, json, print_proof};
use clap::Args;
use std::io::IsTerminal;
use std::path::PathBuf;
use woadreach_simulation::shrink;

#[derive(Args)]
pub(crate) struct Arguments {
    #[command(flatten)]
    script: ScriptArguments,
    /// Where the small script goes
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Shrinks the script and writes what is left of it.
pub(super) fn execute(arguments: &Arguments) -> Result<Finding, CommandError> {
    let script = arguments.script.script()?;
    let progress = |tried: usize, kept: usize| {
        if std::io::stderr().is_terminal() {
            eprint!("\r{tried} tried, {kept} kept ");
        }
    };
    let Some(small) = shrink(&script, progress) else {
        println!("it breaks no rule");
        return Ok(Finding::Nothing);
    };
    write(&arguments.out, &small.script.text())?;
    match arguments.format {
        Format::Json => println!("{}", json(&small)),
        Format::Text => {
            println!(
                "{}: {} of {} faults, {:.1} of {:.1} s, after {} tries",
                arguments.out.display(),
                small.script.faults.len(),
                script.faults.len(),
                small.script.seconds,
                script.seconds,
                small.tried
            );
            print_proof(&small.breach);
        }
    }
    Ok(Finding::Something)
}
