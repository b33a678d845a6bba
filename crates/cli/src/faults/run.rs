//! `woadreach faults run`: plays a range of seeds, and reports which break a rule.

use super::parallel::play_all;
use super::script::{draw_script, parse_fault_kind, parse_seeds};
use super::summary::Summary;
use crate::Finding;
use crate::error::CommandError;
use crate::output::{Format, format_breach, to_json};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::ops::{Range, RangeInclusive};
use std::time::Instant;
use woadreach_simulation::{Options, Outcome, play};

/// Durations of a run that `--until` accepts.
const UNTIL_SECONDS: RangeInclusive<f64> = 1.0..=600.0;

#[derive(Args)]
pub(crate) struct Arguments {
    /// Range of seeds; B is excluded
    #[arg(long, value_parser = parse_seeds, value_name = "A..B")]
    seeds: Range<u64>,
    /// Number of threads [default: one for each core]
    #[arg(long)]
    jobs: Option<usize>,
    /// Draws only faults of these kinds
    #[arg(long, value_delimiter = ',', value_parser = parse_fault_kind, value_name = "KIND,..")]
    only: Vec<String>,
    /// Draws whole-tier scripts: 20 and 30 co-ordinators, and replicas that start together
    #[arg(long)]
    tier: bool,
    /// Duration of load in each run
    #[arg(long, value_name = "SECONDS")]
    until: Option<f64>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

impl Arguments {
    fn check_ranges_and_conflicts(&self) -> Result<(), CommandError> {
        if self
            .until
            .is_some_and(|seconds| !UNTIL_SECONDS.contains(&seconds))
        {
            return Err(CommandError::Usage {
                option: "--until",
                expected: "expected 1 to 600 seconds",
            });
        }
        if self.tier && (self.until.is_some() || !self.only.is_empty()) {
            return Err(CommandError::Usage {
                option: "--tier",
                expected: "conflicts with --until and --only; whole-tier scripts set their own length and faults",
            });
        }
        Ok(())
    }
}

/// Plays the seeds and prints a summary.
pub(super) fn execute(arguments: &Arguments) -> Result<Finding, CommandError> {
    arguments.check_ranges_and_conflicts()?;
    let progress = progress_bar(arguments.seeds.end - arguments.seeds.start);
    let started = Instant::now();
    let outcomes = play_all(arguments.seeds.clone(), arguments.jobs, |seed| {
        Some(play_seed(arguments, seed, &progress))
    });
    progress.finish_and_clear();
    let summary = Summary::new(&outcomes?, started.elapsed().as_secs_f64());
    match arguments.format {
        Format::Json => println!("{}", to_json(&summary)),
        Format::Text => summary.print(),
    }
    Ok(if summary.broken.is_empty() {
        Finding::NoProblem
    } else {
        Finding::Problem
    })
}

fn progress_bar(seeds: u64) -> ProgressBar {
    let bar = if std::io::stderr().is_terminal() {
        ProgressBar::new(seeds)
    } else {
        ProgressBar::hidden()
    };
    let style = ProgressStyle::with_template("{pos}/{len} seeds, {per_sec}, {msg} {eta}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

fn play_seed(arguments: &Arguments, seed: u64, progress: &ProgressBar) -> Outcome {
    let script = draw_script(seed, arguments.tier, &arguments.only, arguments.until);
    let outcome = play(&script, Options::default());
    if let Some(first) = outcome.breaches.first() {
        progress.println(format!("seed {seed}: {}", format_breach(first)));
    }
    progress.inc(1);
    outcome
}
