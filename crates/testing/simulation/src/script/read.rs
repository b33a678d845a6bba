//! Reading a script from TOML.

use super::Script;
use super::check::InvalidScript;
use snafu::{ResultExt, Snafu};
use std::fmt;
use std::ops::Range;

/// A place in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Counted from 1.
    pub line: usize,
    /// Counted from 1, in bytes.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Why a script can't be read.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ScriptError {
    /// The text isn't TOML, or has an unknown or ill-typed key.
    #[snafu(display("{file}:{position}: {message}"))]
    Syntax {
        /// The script's file.
        file: String,
        /// Where the text is at fault.
        position: Position,
        /// What is wrong.
        message: String,
    },
    /// The text misses a key, or is at fault in no certain place.
    #[snafu(display("{file}: {message}"))]
    Content {
        /// The script's file.
        file: String,
        /// What is wrong.
        message: String,
    },
    /// A value is out of its limits.
    #[snafu(display("{file}: {source}"))]
    Invalid {
        /// The script's file.
        file: String,
        /// The value and its limits.
        source: InvalidScript,
    },
}

fn position(text: &str, span: Range<usize>) -> Position {
    let before = &text[..span.start.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |n| n + 1);
    Position {
        line: before.matches('\n').count() + 1,
        column: before.len() - line_start + 1,
    }
}

fn toml_error(file: &str, text: &str, error: &toml::de::Error) -> ScriptError {
    let (file, message) = (file.to_string(), error.message().to_string());
    match error.span() {
        Some(span) => ScriptError::Syntax {
            file,
            position: position(text, span),
            message,
        },
        None => ScriptError::Content { file, message },
    }
}

impl Script {
    /// Reads a script from TOML and checks it. `file` is named in errors.
    ///
    /// # Errors
    /// The text isn't a script, or a value of it is out of its limits.
    pub fn read(file: &str, text: &str) -> Result<Script, ScriptError> {
        let script: Script =
            toml::from_str(text).map_err(|error| toml_error(file, text, &error))?;
        script.check().context(InvalidSnafu { file })?;
        Ok(script)
    }
}
