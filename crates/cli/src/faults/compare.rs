//! `woadreach faults compare`: plays a script without its faults on loopback sockets and on the virtual clock.

use super::script::script;
use crate::Verdict;
use crate::error::{CommandError, PlayOnSocketsSnafu};
use crate::output::{Format, json};
use clap::Args;
use serde::Serialize;
use snafu::ResultExt;
use woadreach_simulation::{Options, Outcome, Script, on_sockets, play};

/// Most that the shares answered in time may differ: the virtual clock must not be kinder than sockets.
const MAX_DIFFERENCE: f64 = 0.02;

#[derive(Args)]
pub(crate) struct Arguments {
    /// A seed, or the file of a script
    script: String,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Both runs side by side; of the pairs, sockets come first.
#[derive(Serialize)]
struct Comparison {
    /// Share of the searches answered in time.
    sockets: f64,
    /// Share of the searches answered in time.
    virtual_clock: f64,
    searches: [u64; 2],
    #[serde(rename = "sub_requests")]
    attempts: [u64; 2],
    breaches: [usize; 2],
}

/// Plays both and prints them side by side.
pub(super) fn execute(arguments: &Arguments) -> Result<Verdict, CommandError> {
    let script = Script {
        faults: Vec::new(),
        ..script(&arguments.script, false)?
    };
    let real = on_sockets(&script).context(PlayOnSocketsSnafu)?;
    let simulated = play(&script, Options::default());
    let comparison = Comparison {
        sockets: share_in_time(&real),
        virtual_clock: share_in_time(&simulated),
        searches: [real.searches, simulated.searches],
        attempts: [real.attempts, simulated.attempts],
        breaches: [real.breaches.len(), simulated.breaches.len()],
    };
    match arguments.format {
        Format::Json => println!("{}", json(&comparison)),
        Format::Text => {
            print("sockets", &real);
            print("virtual clock", &simulated);
        }
    }
    let difference = (comparison.sockets - comparison.virtual_clock).abs();
    Ok(
        if difference <= MAX_DIFFERENCE && comparison.breaches == [0, 0] {
            Verdict::Good
        } else {
            Verdict::Found
        },
    )
}

fn share_in_time(outcome: &Outcome) -> f64 {
    outcome.answered_in_time as f64 / outcome.searches.max(1) as f64
}

fn print(name: &str, outcome: &Outcome) {
    println!(
        "{name:<14}{:.4} in time, {} searches, {} sub-requests, {} breaches",
        share_in_time(outcome),
        outcome.searches,
        outcome.attempts,
        outcome.breaches.len()
    );
}
