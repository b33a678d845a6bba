//! Errors of settings.

use snafu::Snafu;

/// An error in the settings. The error text has the key as a JSON pointer.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// A required key is missing.
    #[snafu(display("settings lack {pointer}"))]
    Missing {
        /// Missing key, as a JSON pointer.
        pointer: String,
    },
    /// The value of a key has the wrong type.
    #[snafu(display("setting {pointer} is not {expected}"))]
    WrongType {
        /// Key of the value, as a JSON pointer.
        pointer: String,
        /// Expected type, with its article.
        expected: &'static str,
    },
    /// A key is not defined.
    #[snafu(display("setting {pointer} is unknown"))]
    Unknown {
        /// Undefined key, as a JSON pointer.
        pointer: String,
    },
}
