//! `woadreach faults compare`: plays a script without its faults on loopback sockets and on the virtual clock.

use super::script::load_script;
use crate::Finding;
use crate::error::{CommandError, PlayOnSocketsSnafu};
use crate::output::{Format, to_json};
use clap::Args;
use serde::Serialize;
use snafu::ResultExt;
use woadreach_simulation::{Options, Outcome, Script, on_sockets, play};

/// Maximum difference between the shares of searches answered in time. The simulation must not make the service look
/// better than it is on real sockets.
const MAX_DIFFERENCE: f64 = 0.02;

#[derive(Args)]
pub(crate) struct Arguments {
    /// A seed, or the path of a script
    script: String,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// A figure of both runs. Serialized as an array: sockets first, virtual clock second.
#[derive(Clone, Copy, PartialEq, Serialize)]
#[serde(into = "[T; 2]")]
struct BothRuns<T: Copy + Serialize> {
    sockets: T,
    virtual_clock: T,
}

impl<T: Copy + Serialize> From<BothRuns<T>> for [T; 2] {
    fn from(figure: BothRuns<T>) -> [T; 2] {
        [figure.sockets, figure.virtual_clock]
    }
}

/// Figures of both runs.
#[derive(Serialize)]
struct Comparison {
    /// Share of the searches answered in time on sockets, 0 to 1.
    sockets: f64,
    /// Share of the searches answered in time on the virtual clock, 0 to 1.
    virtual_clock: f64,
    searches: BothRuns<u64>,
    #[serde(rename = "sub_requests")]
    attempts: BothRuns<u64>,
    breaches: BothRuns<usize>,
}

/// Plays the script on sockets and on the virtual clock, and prints the figures of both runs.
pub(super) fn execute(arguments: &Arguments) -> Result<Finding, CommandError> {
    let script = Script {
        faults: Vec::new(),
        ..load_script(&arguments.script, false)?
    };
    let outcomes = Outcomes {
        sockets: on_sockets(&script).context(PlayOnSocketsSnafu)?,
        virtual_clock: play(&script, Options::default()),
    };
    let comparison = outcomes.compare();
    match arguments.format {
        Format::Json => println!("{}", to_json(&comparison)),
        Format::Text => {
            print("sockets", &outcomes.sockets);
            print("virtual clock", &outcomes.virtual_clock);
        }
    }
    Ok(if comparison.is_acceptable() {
        Finding::NoProblem
    } else {
        Finding::Problem
    })
}

/// Outcomes of both runs.
struct Outcomes {
    sockets: Outcome,
    virtual_clock: Outcome,
}

impl Outcomes {
    fn compare(&self) -> Comparison {
        Comparison {
            sockets: share_in_time(&self.sockets),
            virtual_clock: share_in_time(&self.virtual_clock),
            searches: self.figure(|outcome| outcome.searches),
            attempts: self.figure(|outcome| outcome.attempts),
            breaches: self.figure(|outcome| outcome.breaches.len()),
        }
    }

    fn figure<T: Copy + Serialize>(&self, select: impl Fn(&Outcome) -> T) -> BothRuns<T> {
        BothRuns {
            sockets: select(&self.sockets),
            virtual_clock: select(&self.virtual_clock),
        }
    }
}

impl Comparison {
    /// Whether no rule broke and the shares answered in time differ by at most `MAX_DIFFERENCE`.
    fn is_acceptable(&self) -> bool {
        let difference = (self.sockets - self.virtual_clock).abs();
        let has_breaches = self.breaches.sockets > 0 || self.breaches.virtual_clock > 0;
        difference <= MAX_DIFFERENCE && !has_breaches
    }
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
