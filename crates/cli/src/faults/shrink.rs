//! `woadreach faults shrink`: reduces a script to the smallest that still breaks the same rule.

use super::script::{ScriptArguments, write_file};
use crate::Finding;
use crate::error::CommandError;
use crate::output::{Format, print_breach, to_json};
use clap::Args;
use std::io::IsTerminal;
use std::path::PathBuf;
use woadreach_simulation::shrink;

#[derive(Args)]
pub(crate) struct Arguments {
    #[command(flatten)]
    script: ScriptArguments,
    /// File to write the reduced script to
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Shrinks the script and writes the result. Writes no file if the script breaks no rule.
pub(super) fn execute(arguments: &Arguments) -> Result<Finding, CommandError> {
    let script = arguments.script.load()?;
    let progress = |tried: usize, kept: usize| {
        if std::io::stderr().is_terminal() {
            eprint!("\r{tried} tried, {kept} kept ");
        }
    };
    let Some(small) = shrink(&script, progress) else {
        println!("the script breaks no rule");
        return Ok(Finding::NoProblem);
    };
    write_file(&arguments.out, &small.script.text())?;
    match arguments.format {
        Format::Json => println!("{}", to_json(&small)),
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
            print_breach(&small.breach);
        }
    }
    Ok(Finding::Problem)
}
