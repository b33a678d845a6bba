//! Logging to standard error.

use tracing_subscriber::EnvFilter;

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging. `filter` is in the syntax of [`EnvFilter`]; one that can't be parsed counts as `info`.
///
/// # Panics
/// If logging has been started before.
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
