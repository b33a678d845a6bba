//! Output formats, and the printing of breaches.

use clap::ValueEnum;
use serde::Serialize;
use woadreach_invariants::Breach;

/// Format of a command's result on standard output.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub(crate) enum Format {
    Text,
    Json,
}

/// Serializes a value to one line of JSON; empty if it cannot be serialized.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Formats a breach as one line: the rule, seconds from the start of the run, the search if known, and the reason.
pub(crate) fn format_breach(breach: &Breach) -> String {
    let search = breach
        .search
        .as_ref()
        .map_or(String::new(), |search| format!("search {search}: "));
    let at = breach.at - woadreach_simulation::BEGIN;
    format!("{}, at {at:.3} s: {search}{}", breach.rule, breach.why)
}

/// Prints a breach and the recorded events that prove it, with their times in seconds from the start of the run.
pub(crate) fn print_breach(breach: &Breach) {
    println!("\nbroken: {}", format_breach(breach));
    for event in &breach.proof {
        let at = event.at - woadreach_simulation::BEGIN;
        println!("  {at:>11.6} {}", to_json(&event.kind));
    }
}
