//! The command line of `woadreach-control`.

use clap::{Arg, ArgMatches, Command};

use crate::logging::LogFormat;

/// Role of the process, chosen by the subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Member of the chain that replicates the control state, and discovery for the data plane.
    Core,
    /// Storage of conversations and of the budgets of programs.
    Storage,
}

/// Parsed command-line arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// Role that the subcommand names.
    pub role: Role,
    /// Value of `--log-format`; text by default.
    pub log_format: LogFormat,
    /// Value of `--log-filter`, in the syntax of `tracing_subscriber`'s `EnvFilter`; `info` by default.
    pub log_filter: String,
}

/// Definition of the command line, for parsing and `--help`.
pub fn command() -> Command {
    Command::new("woadreach-control")
        .about("Control plane and storage of the woadreach serving tier")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "The settings file is named by WOADREACH_NODE_FILE. Logs go to standard error.\n\
             Exit codes: 0 stopped by SIGTERM, 1 failure, 2 bad settings or arguments.\n\n\
             Example:\n  WOADREACH_NODE_FILE=/etc/woadreach/settings.yaml woadreach-control core",
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true)
                .help("Log format"),
        )
        .arg(
            Arg::new("log-filter")
                .long("log-filter")
                .default_value("info")
                .global(true)
                .help("Log filter, for example `info,woadreach_control=debug`"),
        )
        .subcommand(
            Command::new("core").about(
                "Replicate the configuration and maintain the lists of replicas and machines",
            ),
        )
        .subcommand(
            Command::new("storage").about("Store conversations and the budgets of programs"),
        )
}

/// Parses the arguments. The first one is the name of the program.
///
/// # Errors
/// [`clap::Error`] for invalid arguments, and for `--help` and `--version`, whose output it contains.
pub fn parse<I, T>(arguments: I) -> Result<Arguments, clap::Error>
where
    I: IntoIterator<Item = T>,
    T: Into<std::ffi::OsString> + Clone,
{
    let matches = command().try_get_matches_from(arguments)?;
    let (role, options) = match matches.subcommand() {
        Some(("storage", options)) => (Role::Storage, options),
        Some((_, options)) => (Role::Core, options),
        None => (Role::Core, &matches),
    };
    Ok(Arguments {
        role,
        log_format: log_format(options),
        log_filter: log_filter(options),
    })
}

fn log_format(options: &ArgMatches) -> LogFormat {
    match options.get_one::<String>("log-format").map(String::as_str) {
        Some("json") => LogFormat::Json,
        _ => LogFormat::Text,
    }
}

fn log_filter(options: &ArgMatches) -> String {
    options
        .get_one::<String>("log-filter")
        .cloned()
        .unwrap_or_else(|| "info".to_owned())
}
