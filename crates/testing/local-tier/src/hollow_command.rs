//! `woadreach-tier hollow`: what control costs at a given size.

use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use woadreach_local_tier::built_programs;
use woadreach_local_tier::hollow::{self, HollowError, HollowSize};

/// The subcommand's name.
pub const NAME: &str = "hollow";
/// Exit status of a size that does not fit.
const DOES_NOT_FIT: u8 = 2;

/// The subcommand's arguments.
pub fn command() -> Command {
    let count = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new(NAME)
        .about("Runs many control-side edges and replicas' heartbeats against core processes on loopback")
        .after_help("Example: woadreach-tier hollow --edges 100 --replicas 1000 --seconds 30 --format json")
        .arg(count("edges", "10", "Control-side edges"))
        .arg(count("replicas", "100", "Replicas that send heartbeats"))
        .arg(count("core", "3", "Core processes"))
        .arg(count("whole-edges", "1", "Whole edge processes beside the hollow ones"))
        .arg(count("routes", "100", "Routes of the configuration"))
        .arg(count("heartbeat-ms", "300", "Interval between two heartbeats of a replica"))
        .arg(count("changes-per-minute", "50", "Changes of the configuration"))
        .arg(count("replica-changes-per-minute", "0", "Replicas that change their generation"))
        .arg(count("seconds", "30", "Measured time"))
        .arg(Arg::new("format").long("format").value_parser(["text", "json"]).default_value("text"))
        .arg(
            Arg::new("programs")
                .long("programs")
                .value_parser(value_parser!(PathBuf))
                .help("Folder of the built programs"),
        )
}

/// Runs the subcommand.
pub async fn run(arguments: &ArgMatches) -> ExitCode {
    let programs = arguments
        .get_one::<PathBuf>("programs")
        .cloned()
        .unwrap_or_else(built_programs);
    let size = size(arguments);
    let result = tokio::select! {
        result = hollow::run(&size, &programs) => result,
        // The core processes end with the dropped run.
        () = stopped() => return ExitCode::FAILURE,
    };
    match result {
        Ok(report) => {
            let is_json = arguments
                .get_one::<String>("format")
                .is_some_and(|format| format == "json");
            let json = || serde_json::to_string_pretty(&report).unwrap_or_default();
            println!("{}", if is_json { json() } else { report.text() });
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("woadreach-local-tier hollow: {error}");
            match error {
                HollowError::Size { .. } => ExitCode::from(DOES_NOT_FIT),
                HollowError::Run { .. } => ExitCode::FAILURE,
            }
        }
    }
}

/// Returns on SIGINT or SIGTERM.
async fn stopped() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn size(arguments: &ArgMatches) -> HollowSize {
    let number = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or(0);
    // What does not fit into a byte is out of range in any case.
    let small = |name: &str| u8::try_from(number(name)).unwrap_or(u8::MAX);
    HollowSize {
        edges: number("edges"),
        replicas: number("replicas"),
        core: small("core"),
        whole_edges: small("whole-edges"),
        routes: number("routes"),
        heartbeat: Duration::from_millis(number("heartbeat-ms")),
        changes_per_minute: number("changes-per-minute"),
        replica_changes_per_minute: number("replica-changes-per-minute"),
        seconds: number("seconds"),
    }
}
