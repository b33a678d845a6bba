//! Errors in the handling of an input line.

use snafu::Snafu;
use std::io;

/// Error in the handling of an input line. Each of them ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum AdapterError {
    #[snafu(display("batch is not valid JSON: {source}"))]
    NotJson { source: serde_json::Error },
    #[snafu(display("batch lacks `{key}`, or its type is wrong"))]
    MissingKey { key: &'static str },
    #[snafu(display("group lacks `{key}`, or its type is wrong"))]
    MissingGroupKey { key: &'static str },
    #[snafu(display("reading standard input: {source}"))]
    Input { source: io::Error },
    #[snafu(display("writing standard output: {source}"))]
    Output { source: io::Error },
}
