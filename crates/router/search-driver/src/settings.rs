//! From the settings' JSON to the module's plain types. Must never hold a value of its own but what an absent
//! setting means.

use serde_json::Value;
use woadreach_routing::api::*;
use woadreach_routing::mutations::is_mutated;

pub fn settings(seed: u64, facts: &Value) -> Result<Settings, String> {
    let need = |path: &str| {
        facts
            .pointer(path)
            .ok_or_else(|| format!("settings lack {path}"))
    };
    let number = |path: &str| facts.pointer(path).and_then(Value::as_f64);
    let need_number = |path: &str| {
        need(path)?
            .as_f64()
            .ok_or_else(|| format!("setting {path} is not a number"))
    };
    let flag = |path: &str| {
        facts
            .pointer(path)
            .and_then(Value::as_bool)
            .unwrap_or(false)
    };
    let row = |path: &str, i: usize| number(&format!("{path}/{i}"));
    let classes = need("/requestClasses")?
        .as_array()
        .ok_or("setting /requestClasses is not a list")?;
    let mut query_types = Vec::new();
    for i in 0..classes.len() {
        let at = |key: &str| format!("/requestClasses/{i}/{key}");
        let window = number(&at("memorySpanMs")).unwrap_or(0.0) / 1000.0;
        let any_holder = facts.pointer(&at("group")).and_then(Value::as_str) == Some("all");
        query_types.push(QueryType {
            latency_target: need_number(&at("aimMs"))? / 1000.0,
            client_timeout: need_number(&at("giveUpMs"))? / 1000.0,
            value: number(&at("importance")).unwrap_or(1.0),
            late_value: number(&at("lateWorth")).unwrap_or(0.0),
            repeat: match need(&at("repeat"))?.as_str() {
                Some("repeatable") => Repeat::Idempotent,
                Some("by_key") => Repeat::Tokened { window, any_holder },
                _ => Repeat::NonIdempotent,
            },
            complete_weight: row("/domain/classNeed", i).unwrap_or(1.0),
            minimum_weight: row("/domain/classFloor", i).unwrap_or(1.0),
            second_step: row("/domain/classFetch", i).unwrap_or(0.0) as usize,
        });
    }
    let tenants = facts
        .pointer("/tenants")
        .and_then(Value::as_array)
        .map_or(Vec::new(), |ts| {
            ts.iter()
                .map(|t| t.get("share").and_then(Value::as_f64).unwrap_or(1.0))
                .collect()
        });
    let cold = match (
        number("/guarantees/tipMultiple"),
        number("/guarantees/tipAfterMs"),
    ) {
        (Some(overload_multiple), Some(after)) => Some(SlowStartConfig {
            initial_capacity: need_number("/guarantees/coldFrom")?,
            duration: need_number("/guarantees/coldMs")? / 1000.0,
            overload_multiple,
            overload_window: after / 1000.0,
        }),
        _ => None,
    };
    let budget = match (
        number("/guarantees/repeatRatio"),
        number("/guarantees/countedOverMs"),
    ) {
        (None, None) => None,
        (share, _) => Some(RetryBudgetConfig {
            min_retries: number("/guarantees/budgetFree").unwrap_or(0.0),
            ratio: share.unwrap_or(0.0),
            window: need_number("/guarantees/countedOverMs")? / 1000.0,
        }),
    };
    let advice = number("/limits/maxRetryAfterMs").map(|ms| ms / 1000.0);
    Ok(Settings {
        seed,
        coordinator_index: facts.pointer("/me").and_then(Value::as_u64),
        coordinators: (number("/siblings").unwrap_or(1.0) as usize)
            .saturating_sub(usize::from(is_mutated("host-siblings")))
            .max(1),
        tick: need_number("/tickMs")? / 1000.0,
        query_types,
        tenants,
        over_share_value: number("/overShareWorth").unwrap_or(1.0),
        cells: need_number("/domain/sets")? as u64,
        span: number("/domain/span").unwrap_or(1.0) as u64,
        parts_per_call: number("/domain/perCall").unwrap_or(1.0) as usize,
        max_attempts: number("/limits/attemptsCap").map_or(usize::MAX, |n| n as usize),
        max_send_delay: number("/limits/connectTimeoutMs").unwrap_or(0.0) / 1000.0,
        cancellation_allowed: flag("/limits/cancelling"),
        hedging_allowed: flag("/limits/mayDuplicate"),
        max_retry_after: advice.filter(|_| flag("/limits/retryAfter")),
        slow_start: cold,
        retry_budget: budget,
    })
}
