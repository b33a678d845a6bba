//! Logging to standard error.

use tracing_subscriber::EnvFilter;

/// Format of the log output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines without colors.
    Text,
    /// One JSON object per line.
    Json,
}

/// Starts logging. `filter` is in the syntax of [`EnvFilter`]; if it is invalid, `info` is used.
///
/// # Panics
/// If a global `tracing` subscriber is already set.
pub fn start(format: LogFormat, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().init(),
    }
}
