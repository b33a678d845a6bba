//! Recovery from faults: how long after a fault's end the service is back at its earlier level, how many
//! searches were lost, and how many attempts it cost. Pure functions over what clients saw.

use crate::network::BEGIN;
use crate::record::SearchOutcome;
use crate::script::{Fault, Script};
use serde::Serialize;

/// Seconds over which the level of service is measured: at a few searches per second, a shorter time would
/// show nothing.
const WINDOW: f64 = 3.0;
/// Seconds before the fault over which the earlier level is measured.
const BASELINE_WINDOW: f64 = 5.0;
/// The service is back when its level is lower than before by at most this share.
const TOLERANCE: f64 = 0.05;
/// Seconds between two windows.
const STEP: f64 = 0.25;

/// The recovery from one fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// The fault's kind.
    pub kind: &'static str,
    /// When the fault began, in seconds from the run's beginning.
    #[serde(rename = "at")]
    pub started_at_s: f64,
    /// How long it lasted, in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// Share of the searches before it that were answered within their latency target.
    #[serde(rename = "before")]
    pub share_before: f64,
    /// The same share from its begin to its end.
    #[serde(rename = "during")]
    pub share_during: f64,
    /// Seconds from its end until the service was back; none if the run ended first.
    #[serde(rename = "back_after")]
    pub back_after_s: Option<f64>,
    /// Searches that missed their latency target until then, beyond the earlier share.
    #[serde(rename = "lost")]
    pub missed_searches: f64,
    /// Attempts per search, from its begin until the service was back.
    #[serde(rename = "sub_requests")]
    pub attempts_per_search: f64,
}

/// The share of the searches from this time to that which were answered within their latency target.
fn level(searches: &[SearchOutcome], from: f64, to: f64) -> Option<f64> {
    let is_good: Vec<bool> = searches
        .iter()
        .filter(|s| s.requested_at >= from && s.requested_at < to)
        .map(|s| s.in_time)
        .collect();
    let good = is_good.iter().filter(|good| **good).count();
    (!is_good.is_empty()).then(|| good as f64 / is_good.len() as f64)
}

/// When the level is back, from `end` on; none if it isn't before `run_end`.
fn back_at(searches: &[SearchOutcome], before: f64, end: f64, run_end: f64) -> Option<f64> {
    let mut at = end;
    while at + WINDOW <= run_end {
        if level(searches, at, at + WINDOW).is_some_and(|l| l >= before - TOLERANCE) {
            return Some(at);
        }
        at += STEP;
    }
    None
}

fn recovery(fault: &Fault, run_end: f64, searches: &[SearchOutcome], sent: &[f64]) -> Recovery {
    let begin = BEGIN + fault.at;
    let end = BEGIN + fault.at + fault.duration;
    let before = level(searches, begin - BASELINE_WINDOW, begin).unwrap_or(1.0);
    let back = back_at(searches, before, end, run_end);
    let until = back.unwrap_or(run_end).max(begin);
    let affected: Vec<&SearchOutcome> = searches
        .iter()
        .filter(|s| s.requested_at >= begin && s.requested_at < until)
        .collect();
    let missed = affected.iter().filter(|s| !s.in_time).count() as f64;
    let attempts = sent.iter().filter(|t| **t >= begin && **t < until).count() as f64;
    Recovery {
        kind: fault.kind.name(),
        started_at_s: fault.at,
        duration_s: fault.duration,
        share_before: before,
        share_during: level(searches, begin, end).unwrap_or(before),
        back_after_s: back.map(|b| b - end),
        missed_searches: (missed - (1.0 - before) * affected.len() as f64).max(0.0),
        attempts_per_search: attempts / affected.len().max(1) as f64,
    }
}

/// The recovery from each fault of a script, in its order. `searches` and `sent` are the record's.
pub(crate) fn recoveries(
    script: &Script,
    searches: &[SearchOutcome],
    sent: &[f64],
) -> Vec<Recovery> {
    let mut searches = searches.to_vec();
    searches.sort_by(|a, b| a.requested_at.total_cmp(&b.requested_at));
    let run_end = BEGIN + script.seconds;
    script
        .faults
        .iter()
        .map(|fault| recovery(fault, run_end, &searches, sent))
        .collect()
}
