//! The program: one co-ordinator on tokio's sockets. Receives the signals, reads the configuration's source,
//! and reports how the co-ordinator ended.

use snafu::{ResultExt, Snafu};
use std::io;
use std::process::ExitCode;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use woadreach_runtime::Tokio;
use woadreachd::config::{self, AddressPrecedence, ConfigError, ConfigSource};
use woadreachd::{Environment, ServeError};

/// Names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// Makes the clock differ from the system's, for the process tests.
const CLOCK_VARIABLE: &str = "WOADREACH_CLOCK";
/// Slowest and fastest clock, as multiples of the system's.
const CLOCK_RATES: std::ops::RangeInclusive<f64> = 0.5..=2.0;
/// Farthest that a clock may be from the system's, in seconds.
const MAX_CLOCK_OFFSET: f64 = 1e6;

const EXIT_FAILURE: u8 = 1;
const EXIT_INVALID_CONFIG: u8 = 2;

/// Why the program ends with an error.
#[derive(Debug, Snafu)]
enum ProgramError {
    #[snafu(display("signals: {source}"))]
    Signals { source: io::Error },
    #[snafu(display("{source}"))]
    Config { source: ConfigError },
    #[snafu(display("WOADREACH_CLOCK: expected RATE,AHEAD with a rate from 0.5 to 2, not {text}"))]
    Clock { text: String },
    #[snafu(display("{source}"))]
    Serve { source: ServeError },
}

impl ProgramError {
    fn exit_code(&self) -> u8 {
        match self {
            ProgramError::Config { .. } | ProgramError::Clock { .. } => EXIT_INVALID_CONFIG,
            ProgramError::Signals { .. } | ProgramError::Serve { .. } => EXIT_FAILURE,
        }
    }
}

/// The file that `PROXY_CONFIG` names, and the addresses in the environment.
fn read_source() -> Result<ConfigSource, ConfigError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::VariableNotSet {
        variable: CONFIG_VARIABLE,
    })?;
    let text = std::fs::read_to_string(&path).map_err(|source| ConfigError::UnreadableFile {
        path: path.clone(),
        source,
    })?;
    Ok(ConfigSource {
        path,
        text,
        listen: std::env::var("PROXY_LISTEN").ok(),
        discovery: std::env::var("PROXY_DISCOVERY").ok(),
    })
}

/// Forwards a signal for as long as the process runs.
fn forward(mut signal: Signal) -> mpsc::UnboundedReceiver<()> {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        while signal.recv().await.is_some() && sender.send(()).is_ok() {}
        std::future::pending::<()>().await;
    });
    receiver
}

/// The system's clock, or one that `WOADREACH_CLOCK=RATE,AHEAD` makes differ from it.
fn clock() -> Result<Tokio, ProgramError> {
    let Ok(text) = std::env::var(CLOCK_VARIABLE) else {
        return Ok(Tokio::new());
    };
    let parsed = text
        .split_once(',')
        .and_then(|(rate, ahead)| Some((rate.parse().ok()?, ahead.parse().ok()?)));
    match parsed {
        Some((rate, ahead))
            if CLOCK_RATES.contains(&rate) && f64::abs(ahead) <= MAX_CLOCK_OFFSET =>
        {
            Ok(Tokio::skewed(rate, ahead))
        }
        _ => ClockSnafu { text }.fail(),
    }
}

async fn run() -> Result<(), ProgramError> {
    // Before all else: until then either signal would end the process.
    let sighup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let sigterm = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let config = read_source()
        .and_then(|source| config::read(AddressPrecedence::Environment, &source))
        .context(ConfigSnafu)?;
    let environment = Environment {
        sighup: forward(sighup),
        sigterm: forward(sigterm),
        read_source: Box::new(read_source),
        on_usage: Box::new(|_| {}),
        on_verdict: Box::new(|_| {}),
    };
    woadreachd::serve(clock()?, config, environment)
        .await
        .context(ServeSnafu)
}

/// Logs to standard error. `WOADREACH_LOG`: the level; `WOADREACH_LOG_FORMAT=json`: a JSON object a line, with
/// the system's time.
fn init_log() {
    let level = match std::env::var("WOADREACH_LOG").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("warn") => tracing::Level::WARN,
        _ => tracing::Level::INFO,
    };
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(io::stderr);
    if std::env::var("WOADREACH_LOG_FORMAT").as_deref() == Ok("json") {
        log.json()
            .flatten_event(true)
            .with_current_span(false)
            .init();
    } else {
        log.with_ansi(false).without_time().init();
    }
}

fn main() -> ExitCode {
    init_log();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("woadreachd: {error}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadreachd: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
