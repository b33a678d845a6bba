//! Watching before a move to another shape of deployment: the co-ordinator decides as its settings say, and
//! counts, by kind, the steps that the settings of the new shape would not have allowed. Plain values only:
//! no I/O, no clock; the host shows the counts.

use serde_json::Value;
use woadreach_routing::api::*;

/// What the new shape would allow. Read from the settings' `watch` object, each key optional: an absent one
/// allows what the settings in force allow, so nothing is counted for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// `watch.retryAfter`: whether a shed reply may say when to come back.
    pub retry_after: Option<bool>,
    /// `watch.mayDuplicate`: whether a part may have two sub-requests out at once.
    pub second_copies: Option<bool>,
    /// `watch.once`: names of query types whose parts may not run twice.
    pub once: Vec<String>,
}

/// Where the new shape would have decided otherwise, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WatchCounters {
    /// Shed with a time to come back.
    pub retry_after: u64,
    /// A sub-request sent while another of its part was out.
    pub second_copy: u64,
    /// A further sub-request of a part that might have run, in a query type to be `once`.
    pub repeat_once: u64,
}

/// The `watch` object of the settings, checked; None where there is none. A wrong type names the key.
pub fn shape(facts: &Value) -> Result<Option<Shape>, String> {
    let Some(watch) = facts.get("watch") else {
        return Ok(None);
    };
    let watch = watch.as_object().ok_or("setting /watch is not an object")?;
    let flag = |key: &str| match watch.get(key) {
        None => Ok(None),
        Some(v) => v
            .as_bool()
            .map(Some)
            .ok_or(format!("setting /watch/{key} is not true or false")),
    };
    let mut once = Vec::new();
    for (i, name) in watch
        .get("once")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .enumerate()
    {
        once.push(
            name.as_str()
                .ok_or(format!("setting /watch/once/{i} is not a name"))?
                .to_string(),
        );
    }
    if watch.get("once").is_some_and(|v| !v.is_array()) {
        return Err("setting /watch/once is not a list".into());
    }
    if let Some(key) = watch
        .keys()
        .find(|k| !["retryAfter", "mayDuplicate", "once"].contains(&k.as_str()))
    {
        return Err(format!("setting /watch/{key} is unknown"));
    }
    Ok(Some(Shape {
        retry_after: flag("retryAfter")?,
        second_copies: flag("mayDuplicate")?,
        once,
    }))
}

impl Shape {
    /// WatchCounters a send, `attempt_index` the sub-request's number in its part; `once` whether its query type is named.
    pub fn sent(&self, part: &Part, attempt_index: usize, once: bool, counts: &mut WatchCounters) {
        let before = &part.attempts[..attempt_index.min(part.attempts.len())];
        if self.second_copies == Some(false) && before.iter().any(|s| s.ending.is_none()) {
            counts.second_copy += 1;
        }
        if once && before.iter().any(|s| !s.proven_unrun()) {
            counts.repeat_once += 1;
        }
    }

    pub fn replied(&self, reply: Reply, counts: &mut WatchCounters) {
        if matches!(reply, Reply::Shed { retry_after } if retry_after > 0.0)
            && self.retry_after == Some(false)
        {
            counts.retry_after += 1;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/watch.rs"]
mod tests;
