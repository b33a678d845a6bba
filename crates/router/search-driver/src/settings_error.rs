//! Why settings cannot be used.

use snafu::Snafu;

/// Why settings cannot be used; the texts name the key as a JSON pointer.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// A required key is missing.
    #[snafu(display("settings lack {pointer}"))]
    Missing {
        /// The key.
        pointer: String,
    },
    /// A value has another type than its key asks for.
    #[snafu(display("setting {pointer} is not {expected}"))]
    WrongType {
        /// The key.
        pointer: String,
        /// What was expected.
        expected: &'static str,
    },
    /// A key has no meaning.
    #[snafu(display("setting {pointer} is unknown"))]
    Unknown {
        /// The key.
        pointer: String,
    },
}
