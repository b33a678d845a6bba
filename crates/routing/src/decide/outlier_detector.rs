//! Outlier ejection: a replica or zone whose latest calls failed is out of use until trials succeed.

pub use crate::api::{Change, EjectionConfig, Observation};
use crate::samples::push;
use std::collections::VecDeque;

const AGE: f64 = 10.0; // seconds: longer than sparse traffic needs for two, shorter than most troubles
const CLASS_LEAST: usize = 3; // calls of one class that eject it, and of others that clear them
const PROBES: usize = 4; // successes in a row that end an ejection
const LONGEST_GAP: f64 = 4.0; // seconds between trials

struct Ejection<C> {
    only: Option<C>, // all classes if none
    since: f64,
    next_probe: f64,
    gap: f64,
    successes: usize,
}

/// The latest calls to one replica or zone, and whether they have it ejected.
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
    /// Takes in the end of a call. Where other classes fare well only the failing class is ejected, by three
    /// failures of its own: one that swallows most calls of a class would be out for all, or for none.
    pub fn observe(&mut self, rule: EjectionConfig, call: Observation<C>) -> Option<Change> {
        push(&mut self.seen, call, rule.window);
        let fresh = self.seen.iter().filter(|c| c.at > call.at - AGE);
        let (own, others): (Vec<_>, Vec<_>) = fresh.partition(|c| c.class == call.class);
        let failures = |of: &[&Observation<C>]| of.iter().filter(|c| c.failed).count();
        let bad =
            |of: &[&Observation<C>], least| failures(of) >= least && failures(of) * 2 >= of.len();
        let Some(ejection) = &mut self.ejection else {
            let only =
                Some(call.class).filter(|_| others.len() >= CLASS_LEAST && failures(&others) == 0);
            let all = || bad(&[own.clone(), others].concat(), rule.least);
            if !(if only.is_some() {
                bad(&own, CLASS_LEAST)
            } else {
                all()
            }) {
                return None;
            }
            self.eject(call.at, only);
            return Some(Change::Ejected);
        };
        // What it was sent before it may answer. Where another class fares as badly all are out.
        if let Some(only) = ejection
            .only
            .filter(|o| *o != call.class || call.sent_at < ejection.since)
        {
            ejection.only = ejection
                .only
                .filter(|_| only == call.class || !bad(&own, rule.least));
            return None;
        }
        if call.failed {
            (ejection.successes, ejection.gap) = (0, (ejection.gap * 2.0).min(LONGEST_GAP));
        } else {
            (ejection.successes, ejection.next_probe) = (ejection.successes + 1, call.at);
        }
        if ejection.successes < PROBES {
            return None;
        }
        self.ejection = None;
        self.seen.retain(|c| !c.failed);
        Some(Change::Restored)
    }

    /// Ejects it for one class, or for all; nothing if it is ejected already.
    pub fn eject(&mut self, now: f64, only: Option<C>) {
        let ejection = Ejection {
            only,
            since: now,
            next_probe: now + 1.0,
            gap: 1.0,
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

    /// Whether a trial call of this class may be sent to the ejected one.
    pub fn probe_due(&self, now: f64, class: C) -> bool {
        self.is_ejected_for(class) && self.ejection.as_ref().is_some_and(|e| now >= e.next_probe)
    }

    /// A trial has been sent: the next one comes a gap later, or at once if this one succeeds.
    pub fn probe_sent(&mut self, now: f64) {
        self.ejection
            .iter_mut()
            .for_each(|e| e.next_probe = now + e.gap);
    }

    /// Whether all calls since then failed, three at least.
    pub fn all_failed(&self, since: f64) -> bool {
        let mut fresh = self.seen.iter().filter(|c| c.at > since);
        fresh.clone().count() >= CLASS_LEAST && fresh.all(|c| c.failed)
    }

    /// Whether the last call failed where traffic is sparse: two failures take long to see there.
    pub fn failed_last(&self, now: f64) -> bool {
        let mut fresh = self.seen.iter().rev().take_while(|c| c.at > now - AGE);
        fresh.clone().count() < 4 && fresh.next().is_some_and(|c| c.failed)
    }
}
