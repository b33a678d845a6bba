//! What is known of one replica.

use std::collections::BTreeMap;

use woadreach_routing::decide::hold::Hold;
use woadreach_routing::decide::outlier_detector::OutlierDetector;

use crate::call::CallId;
use crate::keys::RouteKey;
use crate::outcome::ServerLoad;
use crate::prefix_cache::PrefixCache;
use crate::spec::ReplicaSpec;

/// Seconds for which a told load counts.
const LOAD_TTL: f64 = 1.0;
/// Answers for each further call in flight at a replica that is still cold.
const ANSWERS_PER_SLOW_START_CALL: usize = 4;

/// Seconds for which a single failure counts where traffic is sparse.
const FAILURE_AVOIDANCE_WINDOW: f64 = 2.0;
/// Seconds after a failure from which a call that can't run again is risked as a trial.
const PROBE_RISK_WINDOW: f64 = 5.0;

/// How an attempt failed, as far as it tells of its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// It was answered, far later than usual.
    Late,
    /// It is known not to have run.
    NotRun,
    /// It failed, and may have run.
    MayHaveRun,
}

/// The last failure seen of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub at: f64,
    pub kind: FailureKind,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub sent_at: f64,
    pub route: RouteKey,
    /// Nothing else of ours was in flight there when it was sent.
    pub alone: bool,
    /// Once its first event (or head) has come: whether that was late.
    pub begun_late: Option<bool>,
    /// Attempts sent later that began before it.
    pub overtaken: u32,
    /// It has been counted as lost.
    pub lost: bool,
}

/// One replica, as far as this process has seen it.
pub(crate) struct Replica {
    pub spec: ReplicaSpec,
    pub in_flight: BTreeMap<(CallId, u32), InFlight>,
    pub hold: Hold,
    pub health: OutlierDetector<RouteKey>,
    pub last_failure: Option<Failure>,
    pub cache: PrefixCache,
    /// Another replica has its address; until its record changes.
    pub misdirected: bool,
    load: Option<(f64, ServerLoad)>,
    last_activity_at: f64,
    answers: usize,
    warming_until: f64,
}

impl Replica {
    pub fn new(now: f64, spec: ReplicaSpec) -> Self {
        Replica {
            warming_until: now + spec.cold_remaining,
            spec,
            in_flight: BTreeMap::new(),
            hold: Hold::default(),
            health: OutlierDetector::default(),
            last_failure: None,
            cache: PrefixCache::default(),
            misdirected: false,
            load: None,
            last_activity_at: 0.0,
            answers: 0,
        }
    }

    /// Takes in a changed record.
    pub fn update(&mut self, now: f64, spec: &ReplicaSpec) {
        if self.spec == *spec {
            return;
        }
        if self.spec.generation != spec.generation {
            self.cache.clear();
        }
        self.misdirected = false;
        self.warming_until = now + spec.cold_remaining;
        self.spec = spec.clone();
    }

    /// Whether new calls may go there at all.
    pub fn is_usable(&self) -> bool {
        self.spec.ready && !self.misdirected
    }

    /// The replica showed that it works: an event, a head or an answer came.
    pub fn record_activity(&mut self, now: f64, load: Option<ServerLoad>) {
        self.last_activity_at = now;
        self.record_load(now, load);
    }

    /// It told its load, with an answer of any kind.
    pub fn record_load(&mut self, now: f64, load: Option<ServerLoad>) {
        self.load = load.map(|load| (now, load)).or(self.load);
    }

    /// A call was answered whole.
    pub fn answered(&mut self) {
        self.answers += 1;
        self.hold.answered();
    }

    /// By its own word of late, all slots are taken.
    pub fn is_saturated(&self, now: f64) -> bool {
        let fresh = self.load.filter(|(at, _)| now - at <= LOAD_TTL);
        fresh.is_some_and(|(_, load)| load.slots > 0 && load.running + load.waiting >= load.slots)
    }

    /// Ejected for being slow alone.
    pub fn is_merely_slow(&self) -> bool {
        self.last_failure
            .is_some_and(|last| last.kind == FailureKind::Late)
    }

    /// Where traffic is sparse the last outcome decides, for a while: two failures take long to see there.
    pub fn has_failed_recently(&self, now: f64) -> bool {
        self.health.failed_last(now)
            && self
                .last_failure
                .is_some_and(|last| now < last.at + FAILURE_AVOIDANCE_WINDOW)
    }

    /// Whether a trial may be made with a call that can't run again: the last failure had not run, or was
    /// long ago.
    pub fn may_probe_with_any_call(&self, now: f64) -> bool {
        let risky =
            |last: &Failure| last.kind != FailureKind::NotRun && now <= last.at + PROBE_RISK_WINDOW;
        !self.last_failure.as_ref().is_some_and(risky)
    }

    /// Slow start: while it is cold, one more call for every few answers.
    pub fn has_slow_start_capacity(&self, now: f64) -> bool {
        now >= self.warming_until
            || self.in_flight.len() < 1 + self.answers / ANSWERS_PER_SLOW_START_CALL
    }

    /// Has shown no sign of work since it took a call that is late by now; `late_after` by route.
    pub fn is_unresponsive(&self, now: f64, late_after: impl Fn(RouteKey) -> f64) -> bool {
        let late = |sent: &InFlight| {
            sent.begun_late.is_none() && now > sent.sent_at + late_after(sent.route)
        };
        self.in_flight
            .values()
            .any(|sent| late(sent) && self.last_activity_at < sent.sent_at)
    }

    /// An attempt began: those sent before it that have not begun were overtaken.
    pub fn begun(&mut self, call: CallId, attempt: u32, late: bool) {
        let Some(sent) = self.in_flight.get_mut(&(call, attempt)) else {
            return;
        };
        sent.begun_late = Some(late);
        let (sent_at, route) = (sent.sent_at, sent.route);
        for other in self.in_flight.values_mut() {
            if other.begun_late.is_none() && other.route == route && other.sent_at < sent_at {
                other.overtaken += 1;
            }
        }
    }
}
