//! Parsing of the JSON settings into the types of the routing decisions, with the defaults of absent settings.

use crate::settings_error::{MissingSnafu, SettingsError, WrongTypeSnafu};
use serde_json::Value;
use snafu::OptionExt;
use woadreach_routing::api::{QueryType, Repeat, RetryBudgetConfig, Settings, SlowStartConfig};
use woadreach_routing::mutations::is_mutated;

const MS_PER_SECOND: f64 = 1000.0;

/// Access to settings by JSON pointer.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a Value);

impl<'a> Fields<'a> {
    fn required(self, pointer: &str) -> Result<&'a Value, SettingsError> {
        self.0.pointer(pointer).context(MissingSnafu { pointer })
    }

    fn number(self, pointer: &str) -> Option<f64> {
        self.0.pointer(pointer).and_then(Value::as_f64)
    }

    fn number_or(self, pointer: &str, default: f64) -> f64 {
        self.number(pointer).unwrap_or(default)
    }

    /// A duration in seconds. The settings have it in milliseconds.
    fn seconds(self, pointer: &str) -> Option<f64> {
        self.number(pointer).map(|ms| ms / MS_PER_SECOND)
    }

    fn required_number(self, pointer: &str) -> Result<f64, SettingsError> {
        let expected = "a number";
        let number = self.required(pointer)?.as_f64();
        number.context(WrongTypeSnafu { pointer, expected })
    }

    fn required_seconds(self, pointer: &str) -> Result<f64, SettingsError> {
        self.required_number(pointer).map(|ms| ms / MS_PER_SECOND)
    }

    fn flag(self, pointer: &str) -> bool {
        self.0.pointer(pointer) == Some(&Value::Bool(true))
    }
}

/// Parses the settings of a co-ordinator. `seed` is the seed of all its random choices.
///
/// # Errors
///
/// [`SettingsError`] if a required key is missing or its value has the wrong type.
pub fn parse_settings(seed: u64, settings: &Value) -> Result<Settings, SettingsError> {
    let fields = Fields(settings);
    let query_types = parse_query_types(fields)?;
    let slow_start = parse_slow_start(fields)?;
    let retry_budget = parse_retry_budget(fields)?;
    let max_attempts = fields.number("/limits/attemptsCap");
    let max_retry_after = fields.seconds("/limits/maxRetryAfterMs");
    Ok(Settings {
        seed,
        coordinator_index: settings.pointer("/me").and_then(Value::as_u64),
        coordinators: parse_coordinators(fields),
        tick: fields.required_seconds("/tickMs")?,
        query_types,
        tenants: parse_tenants(settings),
        over_share_value: fields.number_or("/overShareWorth", 1.0),
        cells: fields.required_number("/domain/sets")? as u64,
        span: fields.number_or("/domain/span", 1.0) as u64,
        parts_per_call: fields.number_or("/domain/perCall", 1.0) as usize,
        max_attempts: max_attempts.map_or(usize::MAX, |n| n as usize),
        max_send_delay: fields.seconds("/limits/connectTimeoutMs").unwrap_or(0.0),
        cancellation_allowed: fields.flag("/limits/cancelling"),
        hedging_allowed: fields.flag("/limits/mayDuplicate"),
        max_retry_after: max_retry_after.filter(|_| fields.flag("/limits/retryAfter")),
        slow_start,
        retry_budget,
    })
}

/// Number of co-ordinators that share the load, this one included; at least 1.
fn parse_coordinators(fields: Fields<'_>) -> usize {
    (fields.number_or("/siblings", 1.0) as usize)
        .saturating_sub(usize::from(is_mutated("settings-siblings")))
        .max(1)
}

fn parse_query_types(fields: Fields<'_>) -> Result<Vec<QueryType>, SettingsError> {
    let pointer = "/requestClasses";
    let classes = fields.required(pointer)?.as_array();
    let classes = classes.context(WrongTypeSnafu {
        pointer,
        expected: "a list",
    })?;
    (0..classes.len())
        .map(|index| parse_query_type(fields, index))
        .collect()
}

fn parse_query_type(fields: Fields<'_>, index: usize) -> Result<QueryType, SettingsError> {
    let at = |key: &str| format!("/requestClasses/{index}/{key}");
    let by_index = |list: &str, default| fields.number_or(&format!("{list}/{index}"), default);
    Ok(QueryType {
        latency_target: fields.required_seconds(&at("aimMs"))?,
        client_timeout: fields.required_seconds(&at("giveUpMs"))?,
        value: fields.number_or(&at("importance"), 1.0),
        late_value: fields.number_or(&at("lateWorth"), 0.0),
        repeat: match fields.required(&at("repeat"))?.as_str() {
            Some("repeatable") => Repeat::Idempotent,
            Some("by_key") => Repeat::Tokened {
                window: fields.seconds(&at("memorySpanMs")).unwrap_or(0.0),
                any_holder: fields.0.pointer(&at("group")).and_then(Value::as_str) == Some("all"),
            },
            _ => Repeat::NonIdempotent,
        },
        complete_weight: by_index("/domain/classNeed", 1.0),
        minimum_weight: by_index("/domain/classFloor", 1.0),
        second_step: by_index("/domain/classFetch", 0.0) as usize,
    })
}

/// Share of each tenant; 1 where a tenant has none.
fn parse_tenants(settings: &Value) -> Vec<f64> {
    let tenants = settings.pointer("/tenants").and_then(Value::as_array);
    let share = |tenant: &Value| tenant.get("share").and_then(Value::as_f64).unwrap_or(1.0);
    tenants.into_iter().flatten().map(share).collect()
}

fn parse_slow_start(fields: Fields<'_>) -> Result<Option<SlowStartConfig>, SettingsError> {
    let overload_multiple = fields.number("/guarantees/tipMultiple");
    let overload_window = fields.seconds("/guarantees/tipAfterMs");
    let (Some(overload_multiple), Some(overload_window)) = (overload_multiple, overload_window)
    else {
        return Ok(None);
    };
    Ok(Some(SlowStartConfig {
        initial_capacity: fields.required_number("/guarantees/coldFrom")?,
        duration: fields.required_seconds("/guarantees/coldMs")?,
        overload_multiple,
        overload_window,
    }))
}

fn parse_retry_budget(fields: Fields<'_>) -> Result<Option<RetryBudgetConfig>, SettingsError> {
    let ratio = fields.number("/guarantees/repeatRatio");
    if ratio.is_none() && fields.number("/guarantees/countedOverMs").is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudgetConfig {
        min_retries: fields.number_or("/guarantees/budgetFree", 0.0),
        ratio: ratio.unwrap_or(0.0),
        window: fields.required_seconds("/guarantees/countedOverMs")?,
    }))
}
