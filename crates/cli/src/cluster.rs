//! `woadreach cluster`: real processes of the program on loopback, under faults between them.

use crate::Verdict;
use crate::error::{CommandError, JsonSnafu, OwnPathSnafu};
use crate::output::Format;
use clap::{Args, Subcommand};
use snafu::ResultExt;
use std::path::PathBuf;
use woadreach_process_tests::{Outcome, Plan, Scenario, play};

/// What to do with processes.
#[derive(Subcommand)]
pub(crate) enum Action {
    /// Starts co-ordinators in their zones, puts a scenario's faults between them, and says how they fared
    #[command(
        after_help = "Example: woadreach cluster play zone-loss --coordinators 6 --zones 3 --seed 1\n\
                            Exit code 1 if a rule broke, a process crashed or a singleton role was held twice."
    )]
    Play(Play),
    /// Names the scenarios
    Scenarios,
}

#[derive(Args)]
pub(crate) struct Play {
    /// What goes wrong: see `woadreach cluster scenarios`
    scenario: Scenario,
    /// Processes of the program under test, dealt out among the zones
    #[arg(long, default_value_t = 6)]
    coordinators: usize,
    #[arg(long, default_value_t = 3)]
    zones: usize,
    #[arg(long, default_value_t = 1)]
    regions: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Searches a second at each co-ordinator
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// Keeps them from exchanging messages, so that each decides alone
    #[arg(long)]
    alone: bool,
    /// Leaves ties between replicas to chance, as without the setting `failover.near`
    #[arg(long)]
    spread: bool,
    /// Has each do every singleton role for itself
    #[arg(long)]
    no_duties: bool,
    /// The program under test; `woadreachd` beside this one if not given
    #[arg(long, value_name = "FILE")]
    binary: Option<PathBuf>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Runs a subcommand of `woadreach cluster`.
pub(crate) fn execute(action: Action) -> Result<Verdict, CommandError> {
    match action {
        Action::Play(arguments) => play_scenario(&arguments),
        Action::Scenarios => {
            Scenario::ALL
                .iter()
                .for_each(|scenario| println!("{scenario}"));
            Ok(Verdict::Good)
        }
    }
}

/// The program that is under test if none is named: `woadreachd`, built beside this one.
fn default_binary() -> Result<PathBuf, CommandError> {
    let own = std::env::current_exe().context(OwnPathSnafu)?;
    let path = own.with_file_name("woadreachd");
    if path.is_file() {
        Ok(path)
    } else {
        Err(CommandError::NoProgram { path })
    }
}

fn play_scenario(arguments: &Play) -> Result<Verdict, CommandError> {
    let binary = arguments.binary.clone().map_or_else(default_binary, Ok)?;
    let plan = Plan {
        scenario: arguments.scenario,
        co_ordinators: arguments.coordinators,
        zones: arguments.zones,
        regions: arguments.regions,
        seed: arguments.seed,
        binary,
        peers: !arguments.alone,
        near: !arguments.spread,
        duties: !arguments.no_duties,
        rate: arguments.rate,
    };
    let outcome = play(&plan).map_err(CommandError::failed)?;
    match arguments.format {
        Format::Json => println!("{}", serde_json::to_string(&outcome).context(JsonSnafu)?),
        Format::Text => print(&outcome),
    }
    let is_bad = outcome.rules_broken > 0 || outcome.crashes > 0 || outcome.duties.two_holders > 0;
    Ok(if is_bad {
        Verdict::Found
    } else {
        Verdict::Good
    })
}

fn print(o: &Outcome) {
    println!(
        "{}, seed {}: {} co-ordinators in {} zones, {} s",
        o.scenario, o.seed, o.coordinators, o.zones, o.seconds
    );
    o.breaches.iter().for_each(|why| println!("broken: {why}"));
    println!("rules broken {}, crashes {}", o.rules_broken, o.crashes);
    println!("served in time {:.3} of {} searches", o.served, o.searches);
    if o.expected > 0 {
        let seconds = |s: Option<f64>| s.map_or("-".into(), |s| format!("{s:.2} s"));
        println!(
            "verdict held by {} of {} outside, after {} (half), {} (0.99)",
            o.agreed,
            o.expected,
            seconds(o.agree_s_p50),
            seconds(o.agree_s_p99)
        );
    }
    println!("false shifts {}, flaps {}", o.false_shifts, o.flaps);
    if let Some(near) = o.near_share_safe {
        println!(
            "near while safe {near:.3}, by an even spread {:.3}",
            o.near_share_even
        );
    }
    let d = &o.duties;
    println!(
        "acts under a lease {}, of two holders {}, refused as stale {}",
        d.acts, d.two_holders, d.stale_acts_refused
    );
    if let (Some(half), Some(most)) = (d.handover_s_p50, d.handover_s_p99) {
        println!(
            "handed on {} of {} times, after {half:.2} s (half), {most:.2} s (0.99), with leases of {} s",
            d.handovers, d.gripped, d.lease_s
        );
    }
    println!(
        "a second a member: {:.1} datagrams, {:.0} bytes",
        o.datagrams_per_s_per_member, o.bytes_per_s_per_member
    );
}
