//! Comparison of decisions with the limits of another deployment, before a move to it. The co-ordinator decides by its
//! own settings, and counts the steps that the other deployment would not have allowed. The host reports the counts.

use crate::settings_error::{SettingsError, UnknownSnafu, WrongTypeSnafu};
use serde_json::{Map, Value};
use snafu::{OptionExt, ensure};
use woadreach_routing::api::{Part, Reply};

const KNOWN_KEYS: [&str; 3] = ["retryAfter", "mayDuplicate", "once"];

/// Limits of the other deployment, from the settings' `watch` object. Each key is optional; for an absent key the limit
/// is that of the co-ordinator's own settings, so that nothing is counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProposedLimits {
    /// `watch.retryAfter`: whether the reply to a shed search may advise a time for the retry.
    pub retry_after: Option<bool>,
    /// `watch.mayDuplicate`: whether a part may have two attempts in flight.
    pub hedging_allowed: Option<bool>,
    /// `watch.once`: names of query types whose parts may not run twice.
    pub once: Vec<String>,
}

/// Numbers of steps that the other deployment would not have allowed, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ComparisonCounters {
    /// Number of searches shed with an advised time for the retry.
    pub retry_after: u64,
    /// Number of attempts sent while another attempt of the same part was in flight.
    pub hedges: u64,
    /// Number of attempts sent after one that may have run, for query types in [`ProposedLimits::once`].
    pub retries_of_once: u64,
}

/// Limits in the `watch` object of the settings; `None` if the settings have no such object.
///
/// # Errors
///
/// [`SettingsError`] if a key is unknown or its value has the wrong type.
pub fn parse_proposed_limits(settings: &Value) -> Result<Option<ProposedLimits>, SettingsError> {
    let Some(watch) = settings.get("watch") else {
        return Ok(None);
    };
    let watch = watch.as_object().context(WrongTypeSnafu {
        pointer: "/watch",
        expected: "an object",
    })?;
    let once = parse_once(watch)?;
    if let Some(key) = watch.keys().find(|k| !KNOWN_KEYS.contains(&k.as_str())) {
        let pointer = format!("/watch/{key}");
        return UnknownSnafu { pointer }.fail();
    }
    Ok(Some(ProposedLimits {
        retry_after: parse_flag(watch, "retryAfter")?,
        hedging_allowed: parse_flag(watch, "mayDuplicate")?,
        once,
    }))
}

fn parse_flag(watch: &Map<String, Value>, key: &str) -> Result<Option<bool>, SettingsError> {
    let Some(value) = watch.get(key) else {
        return Ok(None);
    };
    let flag = value.as_bool().context(WrongTypeSnafu {
        pointer: format!("/watch/{key}"),
        expected: "true or false",
    })?;
    Ok(Some(flag))
}

fn parse_once(watch: &Map<String, Value>) -> Result<Vec<String>, SettingsError> {
    let list = watch.get("once");
    let pointer = "/watch/once";
    let expected = "a list";
    ensure!(
        list.is_none_or(Value::is_array),
        WrongTypeSnafu { pointer, expected }
    );
    let names = list.and_then(Value::as_array).into_iter().flatten();
    names
        .enumerate()
        .map(|(index, name)| {
            let name = name.as_str().context(WrongTypeSnafu {
                pointer: format!("{pointer}/{index}"),
                expected: "a name",
            })?;
            Ok(name.to_string())
        })
        .collect()
}

impl ProposedLimits {
    /// Counts an attempt of a part if it would not have been allowed. `once`: whether the query type of the part is in
    /// [`ProposedLimits::once`].
    pub fn count_attempt(
        &self,
        part: &Part,
        attempt_index: usize,
        once: bool,
        counters: &mut ComparisonCounters,
    ) {
        let earlier = &part.attempts[..attempt_index.min(part.attempts.len())];
        if self.hedging_allowed == Some(false) && earlier.iter().any(|a| a.ending.is_none()) {
            counters.hedges += 1;
        }
        if once && earlier.iter().any(|a| !a.proven_unrun()) {
            counters.retries_of_once += 1;
        }
    }

    /// Counts a reply to a search if it would not have been allowed.
    pub fn count_reply(&self, reply: Reply, counters: &mut ComparisonCounters) {
        if matches!(reply, Reply::Shed { retry_after } if retry_after > 0.0)
            && self.retry_after == Some(false)
        {
            counters.retry_after += 1;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/comparison.rs"]
mod tests;
