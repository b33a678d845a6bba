//! Access to the keys of a configuration file.

use super::error::{ConfigError, MissingKeySnafu, MissingSettingSnafu};
use serde_json::Value;
use snafu::OptionExt;

const MS_PER_SECOND: f64 = 1000.0;

/// A configuration file, and the settings in it.
#[derive(Clone, Copy)]
pub(super) struct Fields<'a> {
    pub(super) file: &'a Value,
    pub(super) settings: &'a Value,
}

impl<'a> Fields<'a> {
    pub(super) fn new(file: &'a Value) -> Result<Self, ConfigError> {
        let settings = required(file, "/settings")?;
        Ok(Fields { file, settings })
    }

    /// A number of the settings.
    pub(super) fn number(&self, pointer: &str) -> Option<f64> {
        self.settings.pointer(pointer).and_then(Value::as_f64)
    }

    /// A time of the settings, which state it in milliseconds, in seconds.
    pub(super) fn seconds(&self, pointer: &str) -> Option<f64> {
        self.number(pointer).map(|ms| ms / MS_PER_SECOND)
    }

    pub(super) fn required_number(&self, pointer: &'static str) -> Result<f64, ConfigError> {
        self.number(pointer)
            .context(MissingSettingSnafu { pointer })
    }

    pub(super) fn required_seconds(&self, pointer: &'static str) -> Result<f64, ConfigError> {
        self.required_number(pointer).map(|ms| ms / MS_PER_SECOND)
    }

    /// A flag of the settings; false if it is not stated.
    pub(super) fn flag(&self, pointer: &str) -> bool {
        self.settings.pointer(pointer) == Some(&Value::Bool(true))
    }

    /// The largest time of a key in the rows of a table of the settings, in seconds; 0 if none states it.
    pub(super) fn max_seconds(&self, table: &str, key: &str) -> f64 {
        let times = rows(self.settings, table).filter_map(|row| row.get(key)?.as_f64());
        times.fold(0.0, f64::max) / MS_PER_SECOND
    }

    /// Whether a flag of the file is true.
    pub(super) fn file_flag(&self, pointer: &str) -> bool {
        self.file.pointer(pointer) == Some(&Value::Bool(true))
    }

    /// Whether a flag of the file is anything but false.
    pub(super) fn file_flag_unless_off(&self, pointer: &str) -> bool {
        self.file.pointer(pointer) != Some(&Value::Bool(false))
    }
}

/// A key that the file must have.
pub(super) fn required<'a>(file: &'a Value, pointer: &str) -> Result<&'a Value, ConfigError> {
    file.pointer(pointer).context(MissingKeySnafu { pointer })
}

/// The rows of a table; none if there is no such table.
pub(super) fn rows<'a>(value: &'a Value, pointer: &str) -> impl Iterator<Item = &'a Value> {
    let rows = value.pointer(pointer).and_then(Value::as_array);
    rows.into_iter().flatten()
}

/// The texts of a list; an empty one for what is no text.
pub(super) fn texts(value: &Value, pointer: &str) -> Vec<String> {
    let text = |row: &Value| row.as_str().unwrap_or_default().to_string();
    rows(value, pointer).map(text).collect()
}

/// The texts of a key in the rows of a table; an empty one for a row without it.
pub(super) fn texts_of(value: &Value, pointer: &str, key: &str) -> Vec<String> {
    let text = |row: &Value| {
        let text = row.get(key).and_then(Value::as_str);
        text.unwrap_or_default().to_string()
    };
    rows(value, pointer).map(text).collect()
}
