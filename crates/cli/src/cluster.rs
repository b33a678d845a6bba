//! `woadreach cluster`: runs co-ordinator processes on loopback and injects faults between them.

use crate::Finding;
use crate::error::{CommandError, JsonSnafu, OwnPathSnafu, PlayScenarioSnafu};
use crate::output::Format;
use clap::{Args, Subcommand};
use snafu::ResultExt;
use std::path::PathBuf;
use woadreach_process_tests::{Outcome, PlayConfig, RoleOutcome, Scenario, play};

/// Subcommands of `woadreach cluster`.
#[derive(Subcommand)]
pub(crate) enum Action {
    /// Starts co-ordinators in zones, injects the faults of a scenario, and reports the outcome
    #[command(
        after_help = "Example: woadreach cluster play zone-loss --coordinators 6 --zones 3 --seed 1\n\
                            Exit code 1 if a rule broke, a process crashed or a singleton role was held twice."
    )]
    Play(Play),
    /// Lists the scenarios
    Scenarios,
}

#[derive(Args)]
pub(crate) struct Play {
    /// Faults to inject; `woadreach cluster scenarios` lists the names
    scenario: Scenario,
    /// Number of co-ordinator processes, distributed among the zones
    #[arg(long, default_value_t = 6)]
    coordinators: usize,
    #[arg(long, default_value_t = 3)]
    zones: usize,
    #[arg(long, default_value_t = 1)]
    regions: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Searches per second at each co-ordinator
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// Disables messages between co-ordinators, so that each decides alone
    #[arg(long)]
    alone: bool,
    /// Breaks ties between replicas at random, as without the setting `failover.near`
    #[arg(long)]
    spread: bool,
    /// Disables leases: each co-ordinator performs every singleton role for itself
    #[arg(long)]
    no_duties: bool,
    /// Program under test [default: `woadreachd` in the folder of this program]
    #[arg(long, value_name = "FILE")]
    binary: Option<PathBuf>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Runs a subcommand of `woadreach cluster`.
pub(crate) fn execute(action: Action) -> Result<Finding, CommandError> {
    match action {
        Action::Play(arguments) => play_scenario(&arguments),
        Action::Scenarios => {
            Scenario::ALL
                .iter()
                .for_each(|scenario| println!("{scenario}"));
            Ok(Finding::NoProblem)
        }
    }
}

/// Path of the default program under test: `woadreachd` in the folder of this executable.
fn default_binary() -> Result<PathBuf, CommandError> {
    let own = std::env::current_exe().context(OwnPathSnafu)?;
    let path = own.with_file_name("woadreachd");
    if path.is_file() {
        Ok(path)
    } else {
        Err(CommandError::NoProgram { path })
    }
}

fn play_scenario(arguments: &Play) -> Result<Finding, CommandError> {
    let binary = arguments.binary.clone().map_or_else(default_binary, Ok)?;
    let config = PlayConfig {
        scenario: arguments.scenario,
        co_ordinators: arguments.coordinators,
        zones: arguments.zones,
        regions: arguments.regions,
        seed: arguments.seed,
        binary,
        has_peers: !arguments.alone,
        prefers_near: !arguments.spread,
        has_roles: !arguments.no_duties,
        searches_per_second: arguments.rate,
    };
    let outcome = play(&config).context(PlayScenarioSnafu)?;
    match arguments.format {
        Format::Json => println!("{}", serde_json::to_string(&outcome).context(JsonSnafu)?),
        Format::Text => print_outcome(&outcome),
    }
    let has_failed =
        outcome.broken_invariants > 0 || outcome.crashes > 0 || outcome.roles.two_holders > 0;
    Ok(if has_failed {
        Finding::Problem
    } else {
        Finding::NoProblem
    })
}

fn print_outcome(outcome: &Outcome) {
    println!(
        "{}, seed {}: {} co-ordinators in {} zones, {} s",
        outcome.scenario, outcome.seed, outcome.coordinators, outcome.zones, outcome.seconds
    );
    for breach in &outcome.breaches {
        println!("broken: {breach}");
    }
    println!(
        "rules broken {}, crashes {}",
        outcome.broken_invariants, outcome.crashes
    );
    println!(
        "answered in time: {:.3} of {} searches",
        outcome.served_share, outcome.searches
    );
    print_failovers(outcome);
    print_roles(&outcome.roles);
    println!(
        "per co-ordinator and second: {:.1} datagrams, {:.0} bytes",
        outcome.datagrams_per_s_per_member, outcome.bytes_per_s_per_member
    );
}

fn print_failovers(outcome: &Outcome) {
    if outcome.expected > 0 {
        let seconds = |s: Option<f64>| s.map_or("-".into(), |s| format!("{s:.2} s"));
        println!(
            "verdicts adopted outside the zones at fault: {} of {}, after {} (median), {} (p99)",
            outcome.agreed,
            outcome.expected,
            seconds(outcome.agree_s_p50),
            seconds(outcome.agree_s_p99)
        );
    }
    println!(
        "false failovers {}, flaps {}",
        outcome.false_failovers, outcome.flaps
    );
    if let Some(near) = outcome.near_share_safe {
        println!(
            "share sent within the zone while no zone was at fault {near:.3}, {:.3} if spread evenly",
            outcome.near_share_even
        );
    }
}

fn print_roles(roles: &RoleOutcome) {
    println!(
        "actions under a lease {}, by two holders {}, rejected as stale {}",
        roles.actions, roles.two_holders, roles.stale_actions_rejected
    );
    if let (Some(median), Some(p99)) = (roles.handover_s_p50, roles.handover_s_p99) {
        println!(
            "handovers {} of {} holder faults, after {median:.2} s (median), {p99:.2} s (p99), with leases of {} s",
            roles.handovers, roles.holder_faults, roles.lease_s
        );
    }
}
