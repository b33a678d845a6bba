//! Errors of a settings file.

use snafu::Snafu;
use std::path::PathBuf;

/// Reason why the settings cannot be loaded.
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
    /// The file is not valid YAML, or a field is missing or has the wrong type. The message names the field.
    #[snafu(display("settings: {source}"))]
    Malformed {
        /// Error of the YAML parser, with field, line and column where known.
        source: serde_norway::Error,
    },
    /// The value of a field is out of range.
    #[snafu(display("settings: field `{field}` is {found}; expected {expected}"))]
    InvalidValue {
        /// Path of the field, such as `limits.memory_mb`.
        field: &'static str,
        /// Value found in the file.
        found: String,
        /// Description of the accepted values.
        expected: &'static str,
    },
}
