//! Typed access to the fields of JSON objects. Errors contain the path of the object and the name of the field.

use crate::error::{ConfigurationError, InvalidFieldSnafu};
use simd_json::OwnedValue;
use simd_json::prelude::{TypedScalarValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use snafu::OptionExt;
use std::time::Duration;

/// Upper bound of a duration in a field, in milliseconds: one year.
const MAX_DURATION_MS: f64 = 365.0 * 24.0 * 3600.0 * 1000.0;

/// JSON object with its path in the document, such as `routes[3]`.
pub(crate) struct Object<'a> {
    location: String,
    value: &'a OwnedValue,
}

impl<'a> Object<'a> {
    /// Creates the object at `location`. If `value` is not a JSON object, all its fields are absent.
    pub(crate) fn new(location: String, value: &'a OwnedValue) -> Self {
        Object { location, value }
    }

    /// Returns the value of a field; `None` if it is absent or null.
    pub(crate) fn get(&self, field: &str) -> Option<&'a OwnedValue> {
        self.value.get(field).filter(|value| !value.is_null())
    }

    /// Converts a required field with `read`; fails if the field is absent or null, or `read` returns `None`.
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

    /// Converts an optional field with `read`; `None` if the field is absent or null.
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
        self.required(field, "a string", |value| value.as_str().map(str::to_owned))
    }

    pub(crate) fn optional_string(
        &self,
        field: &'static str,
    ) -> Result<Option<String>, ConfigurationError> {
        self.optional(field, "a string", |value| value.as_str().map(str::to_owned))
    }

    pub(crate) fn unsigned(&self, field: &'static str) -> Result<u64, ConfigurationError> {
        self.required(field, "a non-negative integer", unsigned_integer)
    }

    pub(crate) fn optional_unsigned(
        &self,
        field: &'static str,
    ) -> Result<Option<u64>, ConfigurationError> {
        self.optional(field, "a non-negative integer", unsigned_integer)
    }

    pub(crate) fn unsigned_32(&self, field: &'static str) -> Result<u32, ConfigurationError> {
        self.required(field, "a non-negative integer below 2^32", |value| {
            unsigned_integer(value)?.try_into().ok()
        })
    }

    /// Returns a boolean field; `false` if it is absent or null.
    pub(crate) fn boolean(&self, field: &'static str) -> Result<bool, ConfigurationError> {
        Ok(self
            .optional(field, "true or false", |value| value.as_bool())?
            .unwrap_or(false))
    }

    pub(crate) fn milliseconds(&self, field: &'static str) -> Result<Duration, ConfigurationError> {
        self.required(
            field,
            "a non-negative duration in milliseconds, at most one year",
            |value| milliseconds(value.cast_f64()?),
        )
    }

    pub(crate) fn optional_milliseconds(
        &self,
        field: &'static str,
    ) -> Result<Option<Duration>, ConfigurationError> {
        self.optional(
            field,
            "a non-negative duration in milliseconds, at most one year",
            |value| milliseconds(value.cast_f64()?),
        )
    }

    pub(crate) fn optional_seconds(
        &self,
        field: &'static str,
    ) -> Result<Option<Duration>, ConfigurationError> {
        self.optional(
            field,
            "a non-negative duration in seconds, at most one year",
            |value| milliseconds(value.cast_f64()? * 1000.0),
        )
    }

    /// Returns the elements of a required array, each with its path.
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

/// Location of the document's top-level object in error messages.
pub(crate) const ROOT: &str = "the configuration";

/// Converts a JSON number to an integer. Numbers such as `8.0` are accepted.
fn unsigned_integer(value: &OwnedValue) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        (number >= 0.0 && number.fract() == 0.0 && number < u64::MAX as f64)
            .then_some(number as u64)
    })
}

/// Converts a number of milliseconds; `None` if it is negative or above [`MAX_DURATION_MS`].
fn milliseconds(number: f64) -> Option<Duration> {
    (0.0..=MAX_DURATION_MS)
        .contains(&number)
        .then(|| Duration::from_secs_f64(number / 1000.0))
}
