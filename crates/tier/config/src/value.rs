//! Reading of typed fields out of JSON objects, with errors that name the field.

use crate::error::{BadFieldSnafu, ConfigurationError};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use snafu::OptionExt;
use std::time::Duration;

/// The longest time that a field may give, in ms: a year.
const LONGEST_MS: f64 = 365.0 * 24.0 * 3600.0 * 1000.0;

/// An object of the document and where it stands.
pub(crate) struct Object<'a> {
    place: String,
    value: &'a OwnedValue,
}

impl<'a> Object<'a> {
    /// The object at `place`; another kind of value has no fields.
    pub fn new(place: String, value: &'a OwnedValue) -> Self {
        Object { place, value }
    }

    /// The value of a field, unless it is absent or null.
    pub fn get(&self, field: &str) -> Option<&'a OwnedValue> {
        self.value.get(field).filter(|value| !value.is_null())
    }

    fn required<T>(
        &self,
        field: &'static str,
        expected: &'static str,
        read: impl Fn(&'a OwnedValue) -> Option<T>,
    ) -> Result<T, ConfigurationError> {
        let value = self.get(field).and_then(read);
        value.with_context(|| BadFieldSnafu {
            place: self.place.clone(),
            field,
            expected,
        })
    }

    fn optional<T>(
        &self,
        field: &'static str,
        expected: &'static str,
        read: impl Fn(&'a OwnedValue) -> Option<T>,
    ) -> Result<Option<T>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(_) => self.required(field, expected, read).map(Some),
        }
    }

    pub fn text(&self, field: &'static str) -> Result<String, ConfigurationError> {
        self.required(field, "a text", |value| value.as_str().map(str::to_owned))
    }

    pub fn optional_text(&self, field: &'static str) -> Result<Option<String>, ConfigurationError> {
        self.optional(field, "a text", |value| value.as_str().map(str::to_owned))
    }

    pub fn number(&self, field: &'static str) -> Result<u64, ConfigurationError> {
        self.required(field, "a whole number", whole_number)
    }

    pub fn optional_number(&self, field: &'static str) -> Result<Option<u64>, ConfigurationError> {
        self.optional(field, "a whole number", whole_number)
    }

    pub fn small_number(&self, field: &'static str) -> Result<u32, ConfigurationError> {
        self.required(field, "a whole number below 2^32", |value| {
            whole_number(value)?.try_into().ok()
        })
    }

    pub fn flag(&self, field: &'static str) -> Result<bool, ConfigurationError> {
        Ok(self
            .optional(field, "true or false", |value| value.as_bool())?
            .unwrap_or(false))
    }

    pub fn milliseconds(&self, field: &'static str) -> Result<Duration, ConfigurationError> {
        self.required(field, "a time in ms", |value| {
            milliseconds(value.cast_f64()?)
        })
    }

    pub fn optional_milliseconds(
        &self,
        field: &'static str,
    ) -> Result<Option<Duration>, ConfigurationError> {
        self.optional(field, "a time in ms", |value| {
            milliseconds(value.cast_f64()?)
        })
    }

    pub fn optional_seconds(
        &self,
        field: &'static str,
    ) -> Result<Option<Duration>, ConfigurationError> {
        self.optional(field, "a time in seconds", |value| {
            milliseconds(value.cast_f64()? * 1000.0)
        })
    }

    /// The objects of an array, each with its place.
    pub fn objects(&self, field: &'static str) -> Result<Vec<Object<'a>>, ConfigurationError> {
        let items = self.required(field, "an array", |value| value.as_array())?;
        let object =
            |(index, value)| Object::new(format!("{}[{index}]", self.path_of(field)), value);
        Ok(items.iter().enumerate().map(object).collect())
    }

    fn path_of(&self, field: &str) -> String {
        if self.place == ROOT {
            field.to_owned()
        } else {
            format!("{}.{field}", self.place)
        }
    }
}

/// Place of the whole document.
pub(crate) const ROOT: &str = "the configuration";

fn whole_number(value: &OwnedValue) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        (number >= 0.0 && number.fract() == 0.0 && number < u64::MAX as f64)
            .then_some(number as u64)
    })
}

fn milliseconds(number: f64) -> Option<Duration> {
    (0.0..=LONGEST_MS)
        .contains(&number)
        .then(|| Duration::from_secs_f64(number / 1000.0))
}
