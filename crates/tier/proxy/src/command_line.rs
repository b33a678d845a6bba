//! The command line of `woadreach-proxy`.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use woadreach_scheduler::Mechanism;
use woadreach_settings::SETTINGS_VARIABLE;

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Arguments of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// Format of the log.
    pub log_format: LogFormat,
    /// Filter of the log, as `tracing_subscriber::EnvFilter` has it.
    pub log_filter: String,
    /// Mechanisms of the scheduler that a measurement switches off; none in a release build.
    pub without: Vec<Mechanism>,
}

/// The command line's definition.
pub fn command() -> Command {
    let command = release_command();
    if !cfg!(feature = "ablation") {
        return command;
    }
    let names = Mechanism::ALL.map(Mechanism::as_str);
    command.arg(
        Arg::new("without")
            .long("without")
            .value_parser(PossibleValuesParser::new(names))
            .action(ArgAction::Append)
            .help("Mechanism that a measurement switches off; may be given several times"),
    )
}

/// The command line of a build without the feature `ablation`.
fn release_command() -> Command {
    Command::new("woadreach-proxy")
        .version(env!("CARGO_PKG_VERSION"))
        .about(
            "Data plane of the woadreach serving tier: takes clients' requests and passes them to replicas",
        )
        .after_help(format!(
            "The settings file is named by {SETTINGS_VARIABLE}. Logs go to standard error.\n\
             Exit codes: 0 stopped by SIGTERM, 1 failure, 2 bad settings or arguments.\n\n\
             Example:\n  {SETTINGS_VARIABLE}=/etc/woadreach/settings.yaml woadreach-proxy"
        ))
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("Form of the log"),
        )
        .arg(
            Arg::new("log-filter")
                .long("log-filter")
                .default_value("info")
                .help("What is logged, as in `info,woadreach_proxy=debug`"),
        )
}

/// Parses the arguments.
///
/// # Errors
///
/// `clap::Error` for `--help`, `--version` and invalid arguments; it knows its exit code.
pub fn parse<I, T>(arguments: I) -> Result<Arguments, clap::Error>
where
    I: IntoIterator<Item = T>,
    T: Into<std::ffi::OsString> + Clone,
{
    let matches = command().try_get_matches_from(arguments)?;
    let without = without(&matches);
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let log_format = if text("log-format") == "json" {
        LogFormat::Json
    } else {
        LogFormat::Text
    };
    Ok(Arguments {
        log_format,
        log_filter: text("log-filter"),
        without,
    })
}

/// The mechanisms that are switched off.
fn without(matches: &ArgMatches) -> Vec<Mechanism> {
    let names = matches.try_get_many::<String>("without");
    let names = names.ok().flatten().into_iter().flatten();
    names
        .filter_map(|name| Mechanism::from_name(name))
        .collect()
}
