//! Outlier ejection: a replica or zone whose recent calls failed gets no traffic except probes until these succeed.

use crate::api::Seconds;
pub use crate::api::{EjectionConfig, HealthChange, Observation};
use crate::samples::push;
use std::collections::VecDeque;

/// Age up to which an observation counts. It is longer than the interval between two calls of sparse traffic, and
/// shorter than most faults.
const OBSERVATION_WINDOW: Seconds = 10.0;
/// Number of failed calls that ejects one class alone, and number of calls that shows the other classes to be healthy.
/// Also the least number of calls from which [`OutlierDetector::all_failed`] concludes anything.
const MIN_CLASS_CALLS: usize = 3;
/// Number of consecutive successful probes that ends an ejection.
const SUCCESSES_TO_RESTORE: usize = 4;
/// Initial interval between probes; it doubles with each failed probe.
const INITIAL_PROBE_INTERVAL: Seconds = 1.0;
/// Longest interval between probes.
const MAX_PROBE_INTERVAL: Seconds = 4.0;
/// Number of recent calls below which traffic counts as sparse.
const SPARSE_CALLS: usize = 4;

struct Ejection<C> {
    /// The ejected class; `None` if all classes are ejected.
    only: Option<C>,
    since: Seconds,
    next_probe: Seconds,
    probe_interval: Seconds,
    successes: usize,
}

impl<C> Ejection<C> {
    /// Records the end of a probe. After a success the next probe is due at once.
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

fn failures<C>(calls: &[&Observation<C>]) -> usize {
    calls.iter().filter(|call| call.failed).count()
}

/// Whether half of the calls failed, and at least `min_failures` of them.
fn mostly_fail<C>(calls: &[&Observation<C>], min_failures: usize) -> bool {
    failures(calls) >= min_failures && failures(calls) * 2 >= calls.len()
}

/// Outcomes of the latest calls to one replica or zone, and its ejection if they failed. `C` is the class of a call,
/// such as the query type.
pub struct OutlierDetector<C> {
    calls: VecDeque<Observation<C>>,
    ejection: Option<Ejection<C>>,
}

impl<C> Default for OutlierDetector<C> {
    fn default() -> Self {
        OutlierDetector {
            calls: VecDeque::new(),
            ejection: None,
        }
    }
}

impl<C: Copy + PartialEq> OutlierDetector<C> {
    /// Records the end of a call, and returns the change of health that it causes. If calls of other classes succeed,
    /// only the failing class is ejected, after three failures. Without classes, a replica that fails one kind of call
    /// would be ejected for all kinds or for none.
    pub fn observe(
        &mut self,
        config: EjectionConfig,
        call: Observation<C>,
    ) -> Option<HealthChange> {
        push(&mut self.calls, call, config.window);
        let recent = self
            .calls
            .iter()
            .filter(|earlier| earlier.at > call.at - OBSERVATION_WINDOW);
        let (own, others): (Vec<_>, Vec<_>) =
            recent.partition(|earlier| earlier.class == call.class);
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
            return Some(HealthChange::Ejected);
        };
        // Calls of another class, and calls sent before the ejection, are no probes. If a second class fails as well,
        // the ejection is extended to all classes.
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
        self.calls.retain(|call| !call.failed);
        Some(HealthChange::Restored)
    }

    /// Ejects the replica or zone for one class, or for all if `only` is `None`. Has no effect on an existing ejection.
    pub fn eject(&mut self, now: Seconds, only: Option<C>) {
        let ejection = Ejection {
            only,
            since: now,
            next_probe: now + INITIAL_PROBE_INTERVAL,
            probe_interval: INITIAL_PROBE_INTERVAL,
            successes: 0,
        };
        self.ejection.get_or_insert(ejection);
    }

    /// Whether the replica or zone is ejected for at least one class.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether the replica or zone is ejected for calls of this class.
    pub fn is_ejected_for(&self, class: C) -> bool {
        self.ejection
            .as_ref()
            .is_some_and(|e| e.only.is_none_or(|only| only == class))
    }

    /// Whether the replica or zone is ejected for this class and the next probe is due.
    pub fn probe_due(&self, now: Seconds, class: C) -> bool {
        self.is_ejected_for(class) && self.ejection.as_ref().is_some_and(|e| now >= e.next_probe)
    }

    /// Records that a probe was sent. The next one is due after the probe interval, or at once if this one succeeds.
    pub fn probe_sent(&mut self, now: Seconds) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_probe = now + ejection.probe_interval;
        }
    }

    /// Whether all calls that ended after `since` failed, and there were at least three.
    pub fn all_failed(&self, since: Seconds) -> bool {
        let mut recent = self.calls.iter().filter(|call| call.at > since);
        recent.clone().count() >= MIN_CLASS_CALLS && recent.all(|call| call.failed)
    }

    /// Whether the last call failed and fewer than four calls ended recently. In sparse traffic it takes too long to
    /// observe the failures that an ejection requires.
    pub fn failed_last_in_sparse_traffic(&self, now: Seconds) -> bool {
        let mut recent = self
            .calls
            .iter()
            .rev()
            .take_while(|call| call.at > now - OBSERVATION_WINDOW);
        recent.clone().count() < SPARSE_CALLS && recent.next().is_some_and(|call| call.failed)
    }
}
