//! `woadreach-proxy`: the data plane of the serving tier.

use clap::Command;
use std::error::Error;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;
use woadreach_proxy::run;
use woadreach_settings::{NodeSettings, SETTINGS_VARIABLE};

/// Exit code for settings or arguments that cannot be used.
const BAD_SETTINGS: u8 = 2;
/// Variable that sets what is logged.
const LOG_VARIABLE: &str = "WOADREACH_LOG";

const EXAMPLE: &str = "Example:\n  WOADREACH_NODE_FILE=/etc/woadreach/settings.yaml woadreach-proxy";

fn command() -> Command {
    Command::new("woadreach-proxy")
        .version(env!("CARGO_PKG_VERSION"))
        .about(
            "Data plane of the woadreach serving tier: takes clients' requests and passes them to replicas",
        )
        .after_help(format!(
            "The settings file is named by {SETTINGS_VARIABLE}; {LOG_VARIABLE} sets what is logged \
             (error, warn, info, debug, trace). Logs go to standard error.\n\n{EXAMPLE}"
        ))
}

fn main() -> ExitCode {
    command().get_matches();
    start_logs();
    let settings = match NodeSettings::load_from_environment() {
        Ok(settings) => settings,
        Err(error) => return fail(&error, BAD_SETTINGS),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error, 1),
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code =
                if matches!(error, woadreach_proxy::RunError::NoAddress { .. }) { BAD_SETTINGS } else { 1 };
            fail(&error, code)
        }
    }
}

fn start_logs() {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
}

/// Prints an error with its causes on one line.
fn fail(error: &dyn Error, code: u8) -> ExitCode {
    let mut line = error.to_string();
    let mut cause = error.source();
    while let Some(source) = cause {
        line.push_str(&format!(": {source}"));
        cause = source.source();
    }
    eprintln!("woadreach-proxy: {}", line.replace('\n', " "));
    ExitCode::from(code)
}
