//! Starts a serving tier on loopback, runs a conversation through it and prints the responses.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;
use woadreach_local_tier::{Client, Tier, TierError, TierSize, built_programs, example};

/// Third byte of the tier's loopback addresses; differs from those of the tests.
const NETWORK: u8 = 200;

fn command() -> Command {
    let count = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u8).range(1..30))
            .help(help)
    };
    Command::new("woadreach-local-tier")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Starts a serving tier on loopback, runs a conversation through it and prints the responses")
        .after_help("Example: woadreach-local-tier --edges 3 --turns 5")
        .arg(count("edges", "2", "Edge machines"))
        .arg(count("core", "3", "Core machines"))
        .arg(count("storage", "3", "Storage machines"))
        .arg(count("turns", "4", "Turns of the conversation"))
        .arg(
            Arg::new("programs")
                .long("programs")
                .value_parser(value_parser!(PathBuf))
                .help("Folder of the built programs"),
        )
        .arg(Arg::new("hold").long("hold").action(ArgAction::SetTrue).help("Keep serving until interrupted"))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = command().get_matches();
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadreach-local-tier: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &ArgMatches) -> Result<(), TierError> {
    let count = |name: &str| arguments.get_one::<u8>(name).copied().unwrap_or(1);
    let programs = arguments
        .get_one::<PathBuf>("programs")
        .cloned()
        .unwrap_or_else(built_programs);
    let size = TierSize {
        edges: count("edges"),
        core: count("core"),
        storage: count("storage"),
    };
    let tier = Tier::start(&programs, NETWORK, size)?;
    let _replicas = example::bring_up(&tier).await?;
    println!(
        "ready: edges at {:?}, control at {:?}",
        tier.edge_addresses(),
        tier.control()
    );
    let answers = example::run_conversation(
        &tier.edge_addresses(),
        "example",
        usize::from(count("turns")),
    )
    .await?;
    for (number, answer) in answers.iter().enumerate() {
        let bytes = answer.body.as_ref().map_or(0, String::len);
        println!(
            "turn {number}: status {}, {bytes} bytes, signed {:?}",
            answer.status, answer.signature
        );
    }
    let stock = Client::new(tier.edge_addresses()[0])
        .get(example::HOST, "/stock/2f", "example-stock")
        .await?;
    println!("stock: status {}, body {:?}", stock.status, stock.body);
    if arguments.get_flag("hold") {
        println!(
            "logs and settings in {}; end with ctrl-c",
            tier.folder().display()
        );
        let _ = tokio::signal::ctrl_c().await;
    }
    Ok(())
}
