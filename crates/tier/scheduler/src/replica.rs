//! State of one replica, as this process has observed it.

use std::collections::BTreeMap;

use woadreach_routing::decide::hold::Hold;
use woadreach_routing::decide::outlier_detector::OutlierDetector;

use crate::keys::{AttemptKey, ReplicaKey, RouteKey};
use crate::mechanisms::{Mechanism, is_on};
use crate::outcome::ServerLoad;
use crate::prefix_cache::PrefixCache;
use crate::spec::ReplicaSpec;

/// Seconds for which a reported load counts.
const LOAD_TTL: f64 = 1.0;
/// Number of answers of a replica that is warming up for each further call in flight (slow start).
const ANSWERS_PER_SLOW_START_CALL: usize = 4;

/// Seconds for which a replica is avoided after a single failure where traffic is sparse.
const FAILURE_AVOIDANCE_WINDOW: f64 = 2.0;
/// Seconds after a failure during which only idempotent calls are used as probes.
const PROBE_RISK_WINDOW: f64 = 5.0;

/// How an attempt failed, as far as it concerns its replica's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// It was answered, far later than usual.
    Late,
    /// It is known not to have run.
    NotRun,
    /// It failed, and may have run.
    MayHaveRun,
}

/// The last observed failure of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub at: f64,
    pub kind: FailureKind,
}

/// Whether the response to an attempt has started: its first event or, if it is no stream, its head has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseStart {
    /// It has not arrived yet.
    Pending,
    /// It has arrived, no later than usual.
    OnTime,
    /// It has arrived late; see [`crate::routes`].
    Late,
}

/// What a replica's health needs of an attempt in flight; the call's part is
/// [`Attempt`](crate::active_call::Attempt).
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    pub replica: ReplicaKey,
    /// When it was sent, in seconds.
    pub sent_at: f64,
    pub route: RouteKey,
    /// Whether no other call of this process was in flight there when it was sent.
    pub replica_was_idle: bool,
    pub start: ResponseStart,
    /// Number of attempts that were sent later and began before it.
    pub overtaken_by: u32,
    /// Whether it has been counted as lost.
    pub lost: bool,
}

/// The load that a replica has reported last.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// When it arrived, in seconds.
    at: f64,
    load: ServerLoad,
}

/// One replica, as this process has observed it.
pub(crate) struct Replica {
    pub spec: ReplicaSpec,
    /// Attempts of this process in flight there.
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// How many attempts it may have before further calls are queued, learned from its rejections
    /// and time-outs.
    pub backpressure: Hold,
    pub health: OutlierDetector<RouteKey>,
    pub last_failure: Option<Failure>,
    pub cache: PrefixCache,
    /// Whether another replica answers at its address. Reset when its record changes.
    pub misdirected: bool,
    load: Option<ReportedLoad>,
    /// When it last showed that it is working, in seconds.
    last_activity_at: f64,
    /// Number of complete responses of any status.
    answers: usize,
    /// When its slow start ends, in seconds.
    warming_until: f64,
}

impl Replica {
    pub(crate) fn new(now: f64, spec: ReplicaSpec) -> Self {
        Replica {
            warming_until: now + spec.cold_remaining,
            spec,
            in_flight: BTreeMap::new(),
            backpressure: Hold::default(),
            health: OutlierDetector::default(),
            last_failure: None,
            cache: PrefixCache::default(),
            misdirected: false,
            load: None,
            last_activity_at: 0.0,
            answers: 0,
        }
    }

    /// Applies a record, which may have changed.
    pub(crate) fn update(&mut self, now: f64, spec: &ReplicaSpec) {
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

    /// Whether it may receive new calls.
    pub(crate) fn is_usable(&self) -> bool {
        self.spec.ready && !self.misdirected
    }

    /// Records that an attempt of this process was sent to it.
    pub(crate) fn record_sent(
        &mut self,
        now: f64,
        attempt: AttemptKey,
        replica: ReplicaKey,
        route: RouteKey,
    ) {
        let sent = InFlightAttempt {
            replica,
            sent_at: now,
            route,
            replica_was_idle: self.in_flight.is_empty(),
            start: ResponseStart::Pending,
            overtaken_by: 0,
            lost: false,
        };
        self.in_flight.insert(attempt, sent);
    }

    /// Records that the replica is working: an event, a response head or a response has arrived.
    pub(crate) fn record_activity(&mut self, now: f64, load: Option<ServerLoad>) {
        self.last_activity_at = now;
        self.record_load(now, load);
    }

    /// Records the load that it reported with a response of any kind.
    pub(crate) fn record_load(&mut self, now: f64, load: Option<ServerLoad>) {
        self.load = load
            .map(|load| ReportedLoad { at: now, load })
            .or(self.load);
    }

    /// Records a complete response.
    pub(crate) fn record_answer(&mut self) {
        self.answers += 1;
        self.backpressure.answered();
    }

    /// Whether it is ejected for calls of this route.
    pub(crate) fn is_ejected_for(&self, route: RouteKey) -> bool {
        is_on(Mechanism::OutlierEjection) && self.health.is_ejected_for(route)
    }

    /// Whether further calls of this process are to be queued before they are sent there.
    pub(crate) fn is_under_backpressure(&self) -> bool {
        is_on(Mechanism::Hold) && self.backpressure.holds(self.in_flight.len())
    }

    /// Whether it has recently reported that all slots are taken.
    pub(crate) fn is_saturated(&self, now: f64) -> bool {
        let fresh = self.load.filter(|reported| now - reported.at <= LOAD_TTL);
        fresh.is_some_and(|ReportedLoad { load, .. }| {
            load.slots > 0 && load.running + load.waiting >= load.slots
        })
    }

    /// Whether its last failure was only a late response.
    pub(crate) fn was_last_failure_late(&self) -> bool {
        self.last_failure
            .is_some_and(|last| last.kind == FailureKind::Late)
    }

    /// Whether its last outcome was a recent failure. This decides where traffic is sparse, since two
    /// failures take long to observe there.
    pub(crate) fn has_failed_recently(&self, now: f64) -> bool {
        is_on(Mechanism::RecentFailureAvoidance)
            && self.health.failed_last(now)
            && self
                .last_failure
                .is_some_and(|last| now < last.at + FAILURE_AVOIDANCE_WINDOW)
    }

    /// Whether a call that is not idempotent may probe it: the call of the last failure had not run, or
    /// failed long ago.
    pub(crate) fn may_probe_with_any_call(&self, now: f64) -> bool {
        let risky =
            |last: &Failure| last.kind != FailureKind::NotRun && now <= last.at + PROBE_RISK_WINDOW;
        !self.last_failure.as_ref().is_some_and(risky)
    }

    /// Whether slow start allows another call: while the replica is warming up, one more for every
    /// [`ANSWERS_PER_SLOW_START_CALL`] answers.
    pub(crate) fn has_slow_start_capacity(&self, now: f64) -> bool {
        now >= self.warming_until
            || self.in_flight.len() < 1 + self.answers / ANSWERS_PER_SLOW_START_CALL
    }

    /// Whether it has not shown any activity since it received a call that is late by now. `late_threshold` is
    /// the threshold by route.
    pub(crate) fn is_unresponsive(
        &self,
        now: f64,
        late_threshold: impl Fn(RouteKey) -> f64,
    ) -> bool {
        let late = |sent: &InFlightAttempt| {
            sent.start == ResponseStart::Pending && now > sent.sent_at + late_threshold(sent.route)
        };
        self.in_flight
            .values()
            .any(|sent| late(sent) && self.last_activity_at < sent.sent_at)
    }

    /// Records that an attempt has begun, and has overtaken those that were sent before it and have not.
    pub(crate) fn record_response_start(&mut self, attempt: AttemptKey, late: bool) {
        let Some(sent) = self.in_flight.get_mut(&attempt) else {
            return;
        };
        sent.start = if late {
            ResponseStart::Late
        } else {
            ResponseStart::OnTime
        };
        let (sent_at, route) = (sent.sent_at, sent.route);
        for other in self.in_flight.values_mut() {
            if other.start == ResponseStart::Pending
                && other.route == route
                && other.sent_at < sent_at
            {
                other.overtaken_by += 1;
            }
        }
    }
}
