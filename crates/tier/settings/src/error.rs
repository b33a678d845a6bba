//! Errors of a settings file.

use snafu::Snafu;
use std::path::PathBuf;

/// Why a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The environment variable with the path of the settings file is not set.
    #[snafu(display(
        "the environment variable {variable} is not set; set it to the path of the settings file"
    ))]
    PathNotSet {
        /// Name of the variable.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not YAML, or a field is missing or of another type. The message names the field.
    #[snafu(display("settings: {source}"))]
    Malformed {
        /// Error of the parser, with field, line and column.
        source: serde_norway::Error,
    },
    /// A field has a value outside its range.
    #[snafu(display("settings: field `{field}` is {found}; expected {expected}"))]
    InvalidValue {
        /// Path of the field, with dots between the levels.
        field: &'static str,
        /// Value of the field.
        found: String,
        /// Description of the values that are accepted.
        expected: &'static str,
    },
}
