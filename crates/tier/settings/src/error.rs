//! Why a settings file was refused.

use snafu::Snafu;
use std::path::PathBuf;

/// A settings file that can't be used, and what would make it usable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The environment doesn't name a settings file.
    #[snafu(display(
        "the environment variable {variable} is not set; set it to the path of the settings file"
    ))]
    NoPath {
        /// The variable that was looked for.
        variable: &'static str,
    },
    /// The file can't be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Unreadable {
        /// Its path.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no YAML, or a field is missing or of another type; the message names the field.
    #[snafu(display("settings: {source}"))]
    Malformed {
        /// What the parser said, with field, line and column.
        source: serde_norway::Error,
    },
    /// A field holds a value that no process can work with.
    #[snafu(display("settings: field `{field}` is {found}; expected {expected}"))]
    BadValue {
        /// The field's name, with dots between the levels.
        field: &'static str,
        /// What stands there.
        found: String,
        /// What would be accepted.
        expected: &'static str,
    },
}
