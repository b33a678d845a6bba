//! Outlier ejection: a replica or zone whose latest calls failed gets no traffic until probes succeed.

use crate::api::Seconds;
pub use crate::api::{Change, EjectionConfig, Observation};
use crate::samples::push;
use std::collections::VecDeque;

/// How long an observation counts: longer than sparse traffic needs for two calls, shorter than most faults.
const OBSERVATION_WINDOW: Seconds = 10.0;
/// Failed calls of one class that eject it alone, and calls of other classes that show them to be healthy.
const MIN_CLASS_CALLS: usize = 3;
/// Successful probes in a row that end an ejection.
const SUCCESSES_TO_RESTORE: usize = 4;
/// First interval between probes; it doubles with each failure.
const PROBE_INTERVAL: Seconds = 1.0;
/// Longest interval between probes.
const MAX_PROBE_INTERVAL: Seconds = 4.0;
/// Traffic with fewer recent calls than this is sparse.
const SPARSE_CALLS: usize = 4;

struct Ejection<C> {
    /// The only class that is ejected; all if there is none.
    only: Option<C>,
    since: Seconds,
    next_probe: Seconds,
    probe_interval: Seconds,
    successes: usize,
}

impl<C> Ejection<C> {
    /// Records how a probe ended.
    fn record_probe(&mut self, probe: &Observation<C>) {
        if probe.failed {
            self.successes = 0;
            self.probe_interval = (self.probe_interval * 2.0).min(MAX_PROBE_INTERVAL);
        } else {
            self.successes += 1;
            self.next_probe = probe.at;
        }
    }
}

/// The number of calls that failed.
fn failures<C>(calls: &[&Observation<C>]) -> usize {
    calls.iter().filter(|call| call.failed).count()
}

/// Whether half of the calls failed, and at least `min_failures` of them.
fn mostly_fail<C>(calls: &[&Observation<C>], min_failures: usize) -> bool {
    failures(calls) >= min_failures && failures(calls) * 2 >= calls.len()
}

/// The latest calls to one replica or zone, and whether it is ejected for their failures.
pub struct OutlierDetector<C> {
    seen: VecDeque<Observation<C>>,
    ejection: Option<Ejection<C>>,
}

impl<C> Default for OutlierDetector<C> {
    fn default() -> Self {
        OutlierDetector {
            seen: VecDeque::new(),
            ejection: None,
        }
    }
}

impl<C: Copy + PartialEq> OutlierDetector<C> {
    /// Records the end of a call, and returns the change of health that follows from it. Where calls of other
    /// classes succeed, only the failing class is ejected, by three failures of its own: a replica that fails
    /// one class would otherwise be ejected for all, or for none.
    pub fn observe(&mut self, config: EjectionConfig, call: Observation<C>) -> Option<Change> {
        push(&mut self.seen, call, config.window);
        let recent = self
            .seen
            .iter()
            .filter(|seen| seen.at > call.at - OBSERVATION_WINDOW);
        let (own, others): (Vec<_>, Vec<_>) = recent.partition(|seen| seen.class == call.class);
        let Some(ejection) = &mut self.ejection else {
            let only_class = others.len() >= MIN_CLASS_CALLS && failures(&others) == 0;
            let is_failing = if only_class {
                mostly_fail(&own, MIN_CLASS_CALLS)
            } else {
                mostly_fail(&[own, others].concat(), config.min_failures)
            };
            if !is_failing {
                return None;
            }
            self.eject(call.at, only_class.then_some(call.class));
            return Some(Change::Ejected);
        };
        // What it was sent before the ejection may be answered. Where another class fails as well, the ejection
        // is for all of them.
        if let Some(only) = ejection
            .only
            .filter(|only| *only != call.class || call.sent_at < ejection.since)
        {
            if only != call.class && mostly_fail(&own, config.min_failures) {
                ejection.only = None;
            }
            return None;
        }
        ejection.record_probe(&call);
        if ejection.successes < SUCCESSES_TO_RESTORE {
            return None;
        }
        self.ejection = None;
        self.seen.retain(|seen| !seen.failed);
        Some(Change::Restored)
    }

    /// Ejects it for one class, or for all; nothing if it is ejected already.
    pub fn eject(&mut self, now: Seconds, only: Option<C>) {
        let ejection = Ejection {
            only,
            since: now,
            next_probe: now + PROBE_INTERVAL,
            probe_interval: PROBE_INTERVAL,
            successes: 0,
        };
        self.ejection.get_or_insert(ejection);
    }

    /// Whether it is ejected for at least one class.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether it is ejected for calls of this class.
    pub fn is_ejected_for(&self, class: C) -> bool {
        self.ejection
            .as_ref()
            .is_some_and(|e| e.only.is_none_or(|only| only == class))
    }

    /// Whether a probe of this class may be sent to the ejected replica or zone.
    pub fn probe_due(&self, now: Seconds, class: C) -> bool {
        self.is_ejected_for(class) && self.ejection.as_ref().is_some_and(|e| now >= e.next_probe)
    }

    /// Records that a probe was sent: the next one is due an interval later, or at once if this one succeeds.
    pub fn probe_sent(&mut self, now: Seconds) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_probe = now + ejection.probe_interval;
        }
    }

    /// Whether all calls since then failed, three at least.
    pub fn all_failed(&self, since: Seconds) -> bool {
        let mut recent = self.seen.iter().filter(|call| call.at > since);
        recent.clone().count() >= MIN_CLASS_CALLS && recent.all(|call| call.failed)
    }

    /// Whether the last call failed where traffic is sparse: two failures take long to see there.
    pub fn failed_last_in_sparse_traffic(&self, now: Seconds) -> bool {
        let mut recent = self
            .seen
            .iter()
            .rev()
            .take_while(|call| call.at > now - OBSERVATION_WINDOW);
        recent.clone().count() < SPARSE_CALLS && recent.next().is_some_and(|call| call.failed)
    }
}
