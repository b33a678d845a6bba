//! What can go wrong when the page is made.

use snafu::Snafu;
use std::path::PathBuf;

/// Runs or page that cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CapacityError {
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file is not the report of a run.
    #[snafu(display("{}: not a run's report: {source}", path.display()))]
    Report {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The runs do not determine a slope.
    #[snafu(display("{cost}: {runs} runs do not determine {terms} terms; vary their sizes more"))]
    Undetermined {
        /// What was fitted.
        cost: &'static str,
        /// Number of runs.
        runs: usize,
        /// Number of terms.
        terms: usize,
    },
    /// The page has no place for a table.
    #[snafu(display(
        "the page has no marks for the table {name}: <!-- table {name} --> and <!-- end {name} -->"
    ))]
    NoMarks {
        /// The table.
        name: String,
    },
}
