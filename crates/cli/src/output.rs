//! How results are printed.

use clap::ValueEnum;
use serde::Serialize;
use woadreach_invariants::Breach;

/// The form of a result on standard output.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub(crate) enum Format {
    Text,
    Json,
}

/// A value as one line of JSON.
pub(crate) fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// One line about a broken rule.
pub(crate) fn describe(breach: &Breach) -> String {
    let search = breach
        .search
        .as_ref()
        .map_or(String::new(), |search| format!("search {search}: "));
    let at = breach.at - woadreach_simulation::BEGIN;
    format!("{}, at {at:.3} s: {search}{}", breach.rule, breach.why)
}

/// Prints a broken rule with what each party recorded of its search.
pub(crate) fn print_proof(breach: &Breach) {
    println!("\nbroken: {}", describe(breach));
    for event in &breach.proof {
        let at = event.at - woadreach_simulation::BEGIN;
        println!("  {at:>11.6} {}", json(&event.kind));
    }
}
