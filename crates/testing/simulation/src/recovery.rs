//! Recovery as a measure: how long after a fault's end service is back at its level before, what was lost to
//! it, and what it cost meanwhile. Pure functions over what clients saw; must never look into a co-ordinator.

use crate::network::BEGIN;
use crate::record::Fared;
use crate::script::Script;
use serde::Serialize;

/// Service is looked at over so many seconds: at some searches a second fewer tell nothing.
const WINDOW: f64 = 3.0;
/// The level before is that of so many seconds.
const BEFORE: f64 = 5.0;
/// Back is what comes within so much of the level before.
const NEARLY: f64 = 0.05;
/// Looked at so often.
const STEP: f64 = 0.25;

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    pub kind: &'static str,
    pub at: f64,
    pub lasts: f64,
    /// Shares of searches answered within their latency target: before it, and from its begin to its end.
    pub before: f64,
    pub during: f64,
    /// Seconds after its end until service is back; none if the run ends first.
    pub back_after: Option<f64>,
    /// Searches not answered in time, beyond the share of those before, until it was back.
    pub lost: f64,
    /// Sub-requests for each search, from its begin until it was back.
    pub sub_requests: f64,
}

fn level(fared: &[Fared], from: f64, to: f64) -> Option<f64> {
    let of: Vec<bool> = fared
        .iter()
        .filter(|f| f.asked >= from && f.asked < to)
        .map(|f| f.good)
        .collect();
    let good = of.iter().filter(|g| **g).count();
    (!of.is_empty()).then(|| good as f64 / of.len() as f64)
}

/// One for each fault of a script, in its order. `fared` and `sent` are as the record has them.
pub fn recoveries(script: &Script, fared: &[Fared], sent: &[f64]) -> Vec<Recovery> {
    let mut fared = fared.to_vec();
    fared.sort_by(|a, b| a.asked.total_cmp(&b.asked));
    let one = |fault: &crate::script::Fault| {
        let (begin, end) = (BEGIN + fault.at, BEGIN + fault.at + fault.duration);
        let over = BEGIN + script.seconds;
        let before = level(&fared, begin - BEFORE, begin).unwrap_or(1.0);
        let mut at = end;
        let back = loop {
            if at + WINDOW > over {
                break None;
            }
            if level(&fared, at, at + WINDOW).is_some_and(|l| l >= before - NEARLY) {
                break Some(at);
            }
            at += STEP;
        };
        let until = back.unwrap_or(over).max(begin);
        let of: Vec<&Fared> = fared
            .iter()
            .filter(|f| f.asked >= begin && f.asked < until)
            .collect();
        let bad = of.iter().filter(|f| !f.good).count() as f64;
        let sent = sent.iter().filter(|t| **t >= begin && **t < until).count() as f64;
        Recovery {
            kind: fault.kind.name(),
            at: fault.at,
            lasts: fault.duration,
            before,
            during: level(&fared, begin, end).unwrap_or(before),
            back_after: back.map(|b| b - end),
            lost: (bad - (1.0 - before) * of.len() as f64).max(0.0),
            sub_requests: sent / of.len().max(1) as f64,
        }
    };
    script.faults.iter().map(one).collect()
}
