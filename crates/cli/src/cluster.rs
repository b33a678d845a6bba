//! `woadreach cluster`: real processes of the program on loopback, under faults between them. Owns how a run
//! is asked for and printed; must never judge one by more than rules and crashes.

use crate::{Ended, Format};
use clap::{Args, Subcommand};
use std::path::PathBuf;
use woadreach_process_tests::{Outcome, Plan, Scenario, play};

#[derive(Subcommand)]
pub enum What {
    /// Starts co-ordinators in their zones, puts a scenario's faults between them, and says how they fared
    #[command(
        after_help = "Example: woadreach cluster play zone-loss --coordinators 6 --zones 3 --seed 1\n\
                            Exit code 1 if a rule broke, a process crashed or a duty was held twice."
    )]
    Play(Play),
    /// Names the scenarios
    Scenarios,
}

#[derive(Args)]
pub struct Play {
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
    /// Bars them from speaking with each other, so that each decides alone
    #[arg(long)]
    alone: bool,
    /// Leaves ties between replicas to chance, as without the setting `failover.near`
    #[arg(long)]
    spread: bool,
    /// Has each do every duty for itself
    #[arg(long)]
    no_duties: bool,
    /// The program under test; `woadreachd` beside this one if not given
    #[arg(long, value_name = "FILE")]
    binary: Option<PathBuf>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

pub fn run(what: What) -> Ended {
    match what {
        What::Play(args) => one(&args).unwrap_or_else(Ended::Bad),
        What::Scenarios => {
            Scenario::ALL.iter().for_each(|s| println!("{s}"));
            Ended::Good
        }
    }
}

/// The program that `run` starts, built beside this one.
fn beside() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("this program's place: {e}"))?;
    let binary = own.with_file_name("woadreachd");
    if binary.is_file() {
        return Ok(binary);
    }
    let looked = binary.display();
    Err(format!(
        "no program at {looked}; build it (cargo build --release) or name it with --binary"
    ))
}

fn one(args: &Play) -> Result<Ended, String> {
    let binary = args.binary.clone().map_or_else(beside, Ok)?;
    let plan = Plan {
        scenario: args.scenario,
        co_ordinators: args.coordinators,
        zones: args.zones,
        regions: args.regions,
        seed: args.seed,
        binary,
        peers: !args.alone,
        near: !args.spread,
        duties: !args.no_duties,
        rate: args.rate,
    };
    let outcome = play(&plan)?;
    match args.format {
        Format::Json => println!(
            "{}",
            serde_json::to_string(&outcome).map_err(|e| e.to_string())?
        ),
        Format::Text => print(&outcome),
    }
    let bad = outcome.rules_broken > 0 || outcome.crashes > 0 || outcome.duties.two_holders > 0;
    Ok(if bad { Ended::Found } else { Ended::Good })
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
