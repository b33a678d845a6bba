//! What a run gave: figures taken from the processes' records and from what stand-ins saw. Owns the counts;
//! must never be a verdict on more than rules and crashes.

use crate::process::Record;
use crate::scenario::{Fault, GRIPPED};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A verdict against a zone is right for so long after its fault: until the tier has seen that it is over.
const AFTER: f64 = 3.0;
/// The traffic settles for so long after a start or a fault.
const SETTLES: f64 = 8.0;

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub scenario: &'static str,
    pub seed: u64,
    pub coordinators: usize,
    pub zones: usize,
    pub regions: usize,
    pub seconds: f64,
    /// Breaches of the rules, and the first of them in words.
    pub rules_broken: usize,
    pub breaches: Vec<String>,
    /// Processes that ended by themselves or badly.
    pub crashes: usize,
    /// Seconds from a zone's first fault until a live co-ordinator outside it holds the verdict; of all of
    /// them.
    pub agree_s_p50: Option<f64>,
    pub agree_s_p99: Option<f64>,
    /// Live co-ordinators outside the zones at fault, and those that came to hold the verdict.
    pub expected: usize,
    pub agreed: usize,
    /// Verdicts against a zone that was not at fault, counted by zone and epoch.
    pub false_shifts: usize,
    /// Verdicts against a zone beyond one for each of its faults.
    pub flaps: usize,
    /// The share of parts sent within their co-ordinator's zone while all zones were sound; an even spread
    /// would be `near_share_even`.
    pub near_share_safe: Option<f64>,
    pub near_share_even: f64,
    pub datagrams_per_s_per_member: f64,
    pub bytes_per_s_per_member: f64,
    /// Of duties that one holds at a time.
    #[serde(flatten)]
    pub duties: Leases,
    pub searches: usize,
    /// The share answered within the latency target.
    pub served: f64,
}

/// How duties were held.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Leases {
    /// Acts of one duty under an epoch older than one under which another had acted before, by the rig's
    /// clock and the processes' records.
    pub two_holders: usize,
    pub acts: usize,
    /// Acts that receivers refused since they had seen a later epoch.
    pub stale_acts_refused: u64,
    /// Seconds from what was done to a holder until another acts.
    pub handover_s_p50: Option<f64>,
    pub handover_s_p99: Option<f64>,
    pub handovers: usize,
    /// Times at which something was done to a holder.
    pub gripped: usize,
    pub lease_s: f64,
}

/// The duty whose holder scenarios look for.
const DUTY: &str = "QuotaAllocator(0)";

#[derive(Default)]
pub struct Tally {
    /// When load began, by the rig's clock; all else counts from there.
    begun: f64,
    faults: Vec<Fault>,
    zones: usize,
    /// When which co-ordinator held which epoch of which zone.
    verdicts: Vec<(f64, usize, usize, u64)>,
    /// Sent and bytes of each process life, by co-ordinator and start.
    traffic: BTreeMap<(usize, usize), (u64, u64)>,
    starts: BTreeMap<usize, usize>,
    near: usize,
    parts: usize,
    /// When who did an act of which duty under which epoch, in the order of the records' own times.
    acts: Vec<(f64, usize, String, u64)>,
    stale: BTreeMap<(usize, usize), u64>,
    /// When something was done to which holder.
    grips: Vec<(f64, usize)>,
}

fn number(fields: &Value, key: &str) -> u64 {
    fields.get(key).and_then(Value::as_u64).unwrap_or(0)
}

/// The system's time of a record, which all processes and the rig share, in Unix seconds.
fn stamp(fields: &Value) -> Option<f64> {
    let text = fields.get("timestamp").and_then(Value::as_str)?;
    let (date, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut date = date.split('-').map(|n| n.parse::<i64>().ok());
    let (y, m, d) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':').map(|n| n.parse::<f64>().ok());
    let seconds = time.next()?? * 3600.0 + time.next()?? * 60.0 + time.next()??;
    // Days from civil, after Howard Hinnant.
    let (y, m) = if m > 2 { (y, m - 3) } else { (y - 1, m + 9) };
    let days =
        365 * y + y.div_euclid(4) - y.div_euclid(100) + y.div_euclid(400) + (153 * m + 2) / 5 + d
            - 1;
    Some((days - 719_468) as f64 * 86_400.0 + seconds)
}

impl Tally {
    pub fn new(zones: usize, faults: Vec<Fault>) -> Tally {
        Tally {
            faults,
            zones,
            ..Tally::default()
        }
    }

    pub fn begins(&mut self, at: f64) {
        self.begun = at;
    }

    pub fn started(&mut self, node: usize) {
        *self.starts.entry(node).or_default() += 1;
    }

    pub fn record(&mut self, at: f64, record: &Record) {
        let (at, fields) = (at - self.begun, &record.fields);
        match fields.get("message").and_then(Value::as_str) {
            Some("zone ejected" | "zone restored") => {
                let zone = fields.get("zone").and_then(Value::as_str);
                let zone = zone.and_then(|z| z.trim_start_matches('z').parse().ok());
                self.verdicts.push((
                    at,
                    record.node,
                    zone.unwrap_or(usize::MAX),
                    number(fields, "epoch"),
                ));
            }
            Some("role action performed") => {
                let duty = fields
                    .get("role")
                    .and_then(Value::as_str)
                    .unwrap_or("")
                    .to_string();
                // By the record's own time where it says one: records are read some moments later.
                let at = stamp(fields).map_or(at, |t| t - self.begun);
                self.acts
                    .push((at, record.node, duty, number(fields, "epoch")));
            }
            Some("roles reported") => {
                let start = self.starts.get(&record.node).copied().unwrap_or(0);
                self.stale
                    .insert((record.node, start), number(fields, "stale"));
            }
            Some("membership reported") => {
                let start = self.starts.get(&record.node).copied().unwrap_or(0);
                let so_far = (
                    number(fields, "datagrams_sent"),
                    number(fields, "bytes_sent"),
                );
                self.traffic.insert((record.node, start), so_far);
            }
            _ => {}
        }
    }

    /// Who was last seen to hold the duty that scenarios look for.
    pub fn holder(&self) -> Option<usize> {
        self.acts.iter().rev().find(|a| a.2 == DUTY).map(|a| a.1)
    }

    /// Something is done to a holder; `cut`: zones that it cuts off, so that a verdict against one is right.
    pub fn gripped(&mut self, at: f64, node: usize, cut: &[usize]) {
        let at = at - self.begun;
        self.grips.push((at, node));
        self.faults.extend(cut.iter().map(|zone| Fault {
            zone: *zone,
            from: at,
            until: at + GRIPPED,
        }));
    }

    fn leases(&self) -> Leases {
        let mut acts = self.acts.clone();
        acts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut latest: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
        let mut two = 0;
        for (_, node, duty, epoch) in &acts {
            let seen = latest.entry(duty).or_insert((*epoch, *node));
            if *epoch < seen.0 || (*epoch == seen.0 && *node != seen.1) {
                two += 1;
            } else {
                *seen = (*epoch, *node);
            }
        }
        let after = |(at, node): &(f64, usize)| {
            acts.iter()
                .find(|a| a.2 == DUTY && a.0 > *at && a.1 != *node)
                .map(|a| a.0 - at)
        };
        let mut handed: Vec<f64> = self.grips.iter().filter_map(after).collect();
        handed.sort_by(f64::total_cmp);
        let quantile = |p: f64| {
            handed
                .get(((p * handed.len() as f64).ceil() as usize).max(1) - 1)
                .copied()
        };
        Leases {
            two_holders: two,
            acts: acts.len(),
            stale_acts_refused: self.stale.values().sum(),
            handover_s_p50: quantile(0.5),
            handover_s_p99: quantile(0.99),
            handovers: handed.len(),
            gripped: self.grips.len(),
            lease_s: woadreach_lease::LeaseConfig::default().lease_duration,
        }
    }

    /// A part has come to a replica.
    pub fn sent(&mut self, at: f64, near: bool) {
        let at = at - self.begun;
        let settling = |f: &Fault| at >= f.from && at < f.until + SETTLES;
        if self.begun > 0.0 && at > 3.0 && !self.faults.iter().any(settling) {
            self.parts += 1;
            self.near += usize::from(near);
        }
    }

    fn right(&self, at: f64, zone: usize) -> bool {
        self.faults
            .iter()
            .any(|f| f.zone == zone && at >= f.from && at < f.until + AFTER)
    }

    /// Fills in what is known from records; the rest is the rig's.
    pub fn finish(&self, nodes: usize, outcome: &mut Outcome) {
        let out: Vec<_> = self.verdicts.iter().filter(|v| v.3 % 2 == 1).collect();
        let mut turns: BTreeMap<(usize, u64), f64> = BTreeMap::new();
        for (at, _, zone, epoch) in out.iter().map(|v| **v) {
            turns
                .entry((zone, epoch))
                .and_modify(|first| *first = first.min(at))
                .or_insert(at);
        }
        outcome.false_shifts = turns
            .iter()
            .filter(|((zone, _), at)| !self.right(**at, *zone))
            .count();
        for zone in 0..self.zones {
            let of = turns.keys().filter(|k| k.0 == zone).count();
            let faults = self.faults.iter().filter(|f| f.zone == zone).count();
            outcome.flaps += of.saturating_sub(faults);
        }
        let first: BTreeMap<usize, f64> =
            self.faults.iter().rev().map(|f| (f.zone, f.from)).collect();
        let bad: BTreeSet<usize> = first.keys().copied().collect();
        let mut agree = Vec::new();
        for (zone, from) in &first {
            for node in (0..nodes).filter(|n| !bad.contains(&(n % self.zones))) {
                outcome.expected += 1;
                let held = out
                    .iter()
                    .find(|v| v.1 == node && v.2 == *zone && v.0 >= *from);
                agree.extend(held.map(|v| v.0 - from));
            }
        }
        agree.sort_by(f64::total_cmp);
        outcome.agreed = agree.len();
        // Of a handful the 0.99 quantile is the last.
        let quantile = |p: f64| {
            agree
                .get(((p * agree.len() as f64).ceil() as usize).max(1) - 1)
                .copied()
        };
        (outcome.agree_s_p50, outcome.agree_s_p99) = (quantile(0.5), quantile(0.99));
        outcome.duties = self.leases();
        outcome.near_share_safe = (self.parts > 0).then(|| self.near as f64 / self.parts as f64);
        let sum = self
            .traffic
            .values()
            .fold((0, 0), |a, t| (a.0 + t.0, a.1 + t.1));
        let each = nodes as f64 * outcome.seconds;
        outcome.datagrams_per_s_per_member = sum.0 as f64 / each;
        outcome.bytes_per_s_per_member = sum.1 as f64 / each;
    }
}

#[cfg(test)]
#[path = "../tests/unit/tally.rs"]
mod tests;
