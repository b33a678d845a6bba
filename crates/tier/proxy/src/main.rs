//! `woadreach-proxy`: the data plane of the serving tier.

use std::error::Error;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;
use woadreach_proxy::command_line::{Arguments, LogFormat, parse};
use woadreach_proxy::{RunError, run};
use woadreach_settings::NodeSettings;

/// Exit code for a failure while running.
const FAILURE: u8 = 1;
/// Exit code for invalid settings or arguments.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments = match parse(std::env::args_os()) {
        Ok(arguments) => arguments,
        Err(error) => error.exit(),
    };
    start_logs(&arguments);
    #[cfg(feature = "ablation")]
    for mechanism in &arguments.without {
        woadreach_scheduler::switch_off(*mechanism);
        tracing::warn!(mechanism = mechanism.as_str(), "mechanism switched off");
    }
    let settings = match NodeSettings::load_from_environment() {
        Ok(settings) => settings,
        Err(error) => return fail(&error, INVALID_SETTINGS),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error, FAILURE),
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ RunError::NoAddress { .. }) => fail(&error, INVALID_SETTINGS),
        Err(error) => fail(&error, FAILURE),
    }
}

fn start_logs(arguments: &Arguments) {
    let filter =
        EnvFilter::try_new(&arguments.log_filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match arguments.log_format {
        LogFormat::Text => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().init(),
    }
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
