//! `woadreach faults replay`: plays one seed or script again.

use super::script::{ScriptArguments, write_file};
use crate::Finding;
use crate::error::CommandError;
use crate::output::{Format, print_breach, to_json};
use clap::Args;
use std::path::PathBuf;
use woadreach_simulation::{Options, Outcome, play};

#[derive(Args)]
pub(crate) struct Arguments {
    #[command(flatten)]
    script: ScriptArguments,
    /// Writes every event to this file, one JSON object per line
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// Writes the logs of the co-ordinators to standard error, in the order of the run
    #[arg(long)]
    log: bool,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Plays the script and prints its outcome.
pub(super) fn execute(arguments: &Arguments) -> Result<Finding, CommandError> {
    let script = arguments.script.load()?;
    if arguments.log {
        log_to_standard_error();
    }
    let options = Options {
        trace: arguments.trace.is_some(),
        stop_at_breach: false,
    };
    let outcome = play(&script, options);
    if let Some(path) = &arguments.trace {
        let lines: Vec<String> = outcome.trace.iter().map(to_json).collect();
        write_file(path, &(lines.join("\n") + "\n"))?;
    }
    match arguments.format {
        Format::Json => println!("{}", to_json(&outcome)),
        Format::Text => print(&outcome),
    }
    Ok(if outcome.breaches.is_empty() {
        Finding::NoProblem
    } else {
        Finding::Problem
    })
}

fn log_to_standard_error() {
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::DEBUG)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

fn print(outcome: &Outcome) {
    println!("digest {}", outcome.digest);
    println!(
        "{:.1} simulated s, {} searches, {} in time, {} sub-requests, {} steps",
        outcome.seconds,
        outcome.searches,
        outcome.answered_in_time,
        outcome.attempts,
        outcome.steps
    );
    for recovery in &outcome.recoveries {
        let recovery_time = recovery
            .back_after_s
            .map_or("not recovered".into(), |seconds| {
                format!("recovered after {seconds:.2} s")
            });
        println!(
            "{:>7.2} s {} for {} s: {:.3} before, {:.3} during, {recovery_time}, {:.1} searches missed",
            recovery.started_at_s,
            recovery.kind,
            recovery.duration_s,
            recovery.share_before,
            recovery.share_during,
            recovery.missed_searches
        );
    }
    outcome.breaches.iter().for_each(print_breach);
}
