//! Typed access to the fields of JSON objects, with errors that name the field.

use crate::error::{ConfigurationError, InvalidFieldSnafu};
use simd_json::OwnedValue;
use simd_json::prelude::{TypedScalarValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use snafu::OptionExt;
use std::time::Duration;

/// Upper bound of a time in a field, in milliseconds: one year.
const MAX_TIME_MS: f64 = 365.0 * 24.0 * 3600.0 * 1000.0;

/// An object of the document and its path.
pub(crate) struct Object<'a> {
    location: String,
    value: &'a OwnedValue,
}

impl<'a> Object<'a> {
    /// The object at `location`. A value of another type has no fields.
    pub(crate) fn new(location: String, value: &'a OwnedValue) -> Self {
        Object { location, value }
    }

    /// The value of a field, unless it is absent or null.
    pub(crate) fn get(&self, field: &str) -> Option<&'a OwnedValue> {
        self.value.get(field).filter(|value| !value.is_null())
    }

    fn required<T>(
        &self,
        field: &'static str,
        expected: &'static str,
        read: impl Fn(&'a OwnedValue) -> Option<T>,
    ) -> Result<T, ConfigurationError> {
        let value = self.get(field).and_then(read);
        value.with_context(|| InvalidFieldSnafu {
            location: self.location.clone(),
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

    pub(crate) fn string(&self, field: &'static str) -> Result<String, ConfigurationError> {
        self.required(field, "a text", |value| value.as_str().map(str::to_owned))
    }

    pub(crate) fn optional_string(
        &self,
        field: &'static str,
    ) -> Result<Option<String>, ConfigurationError> {
        self.optional(field, "a text", |value| value.as_str().map(str::to_owned))
    }

    pub(crate) fn unsigned(&self, field: &'static str) -> Result<u64, ConfigurationError> {
        self.required(field, "a whole number", unsigned_integer)
    }

    pub(crate) fn optional_unsigned(
        &self,
        field: &'static str,
    ) -> Result<Option<u64>, ConfigurationError> {
        self.optional(field, "a whole number", unsigned_integer)
    }

    pub(crate) fn unsigned_32(&self, field: &'static str) -> Result<u32, ConfigurationError> {
        self.required(field, "a whole number below 2^32", |value| {
            unsigned_integer(value)?.try_into().ok()
        })
    }

    pub(crate) fn boolean(&self, field: &'static str) -> Result<bool, ConfigurationError> {
        Ok(self
            .optional(field, "true or false", |value| value.as_bool())?
            .unwrap_or(false))
    }

    pub(crate) fn milliseconds(&self, field: &'static str) -> Result<Duration, ConfigurationError> {
        self.required(field, "a time in ms", |value| {
            milliseconds(value.cast_f64()?)
        })
    }

    pub(crate) fn optional_milliseconds(
        &self,
        field: &'static str,
    ) -> Result<Option<Duration>, ConfigurationError> {
        self.optional(field, "a time in ms", |value| {
            milliseconds(value.cast_f64()?)
        })
    }

    pub(crate) fn optional_seconds(
        &self,
        field: &'static str,
    ) -> Result<Option<Duration>, ConfigurationError> {
        self.optional(field, "a time in seconds", |value| {
            milliseconds(value.cast_f64()? * 1000.0)
        })
    }

    /// The objects of an array, each with its path.
    pub(crate) fn objects(
        &self,
        field: &'static str,
    ) -> Result<Vec<Object<'a>>, ConfigurationError> {
        let items = self.required(field, "an array", |value| value.as_array())?;
        let object =
            |(index, value)| Object::new(format!("{}[{index}]", self.path_of(field)), value);
        Ok(items.iter().enumerate().map(object).collect())
    }

    fn path_of(&self, field: &str) -> String {
        if self.location == ROOT {
            field.to_owned()
        } else {
            format!("{}.{field}", self.location)
        }
    }
}

/// Location of the whole document.
pub(crate) const ROOT: &str = "the configuration";

fn unsigned_integer(value: &OwnedValue) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        (number >= 0.0 && number.fract() == 0.0 && number < u64::MAX as f64)
            .then_some(number as u64)
    })
}

fn milliseconds(number: f64) -> Option<Duration> {
    (0.0..=MAX_TIME_MS)
        .contains(&number)
        .then(|| Duration::from_secs_f64(number / 1000.0))
}
