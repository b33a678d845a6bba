//! Why a line cannot be answered.

use snafu::Snafu;
use std::io;

/// Why a line cannot be answered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum AdapterError {
    #[snafu(display("not JSON: {source}"))]
    NotJson { source: serde_json::Error },
    #[snafu(display("no {key}"))]
    MissingKey { key: &'static str },
    #[snafu(display("a group has no {key}"))]
    MissingGroupKey { key: &'static str },
    #[snafu(display("{source}"))]
    Input { source: io::Error },
    #[snafu(display("{source}"))]
    Output { source: io::Error },
}
