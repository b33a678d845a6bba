//! State of one replica, as this process has observed it.

use std::collections::BTreeMap;

use woadreach_routing::decide::hold::Backpressure;
use woadreach_routing::decide::outlier_detector::OutlierDetector;

use crate::keys::{AttemptKey, ReplicaKey, RouteKey};
use crate::mechanisms::{Mechanism, is_on};
use crate::outcome::ServerLoad;
use crate::prefix_cache::PrefixCache;
use crate::spec::ReplicaSpec;

/// Seconds after which a reported load expires.
const LOAD_TTL: f64 = 1.0;
/// Number of answers by a replica in slow start for which one more call may be in flight there.
const ANSWERS_PER_SLOW_START_CALL: usize = 4;

/// Seconds for which a replica is avoided after a single failure where traffic is sparse.
const FAILURE_AVOIDANCE_WINDOW: f64 = 2.0;
/// Seconds after a failure during which only idempotent calls are used as probes.
const PROBE_RISK_WINDOW: f64 = 5.0;

/// Kind of a failure that counts towards the health of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// The response started later than the threshold of its route; see [`crate::routes`].
    Late,
    /// The attempt is known not to have run.
    NotRun,
    /// The attempt failed and may have run.
    MayHaveRun,
}

/// Latest observed failure of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub at: f64,
    pub kind: FailureKind,
}

/// Start of the response to an attempt: the first event of a stream, or the head of any other response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseStart {
    /// Not received yet.
    Pending,
    /// Received within the threshold of the route.
    OnTime,
    /// Received after the threshold of the route; see [`crate::routes`].
    Late,
}

/// An attempt in flight, as recorded with its replica. The call records it as
/// [`Attempt`](crate::active_call::Attempt).
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    pub replica: ReplicaKey,
    /// Time at which the attempt was sent, in seconds.
    pub sent_at: f64,
    pub route: RouteKey,
    /// Whether no other attempt of this process was in flight at the replica when this one was sent.
    pub replica_was_idle: bool,
    pub response_start: ResponseStart,
    /// Number of attempts on the same route that were sent later and whose responses started first.
    pub overtaken_by: u32,
    /// Whether the attempt has been counted as lost.
    pub lost: bool,
}

/// Latest load reported by a replica.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// Time at which the report was received, in seconds.
    at: f64,
    load: ServerLoad,
}

/// One replica, as this process has observed it.
pub(crate) struct Replica {
    pub spec: ReplicaSpec,
    /// Attempts of this process in flight at the replica.
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Limit on the attempts in flight beyond which calls are queued; set after rejections and time-outs.
    pub backpressure: Backpressure,
    pub health: OutlierDetector<RouteKey>,
    pub last_failure: Option<Failure>,
    pub cache: PrefixCache,
    /// Whether a different replica answers at the address. Reset when the replica's record changes.
    pub misdirected: bool,
    load: Option<ReportedLoad>,
    /// Time at which an event, response head or response was last received, in seconds.
    last_activity_at: f64,
    /// Number of complete responses of any status.
    answers: usize,
    /// End of the replica's slow start, in seconds.
    warming_until: f64,
}

impl Replica {
    pub(crate) fn new(now: f64, spec: ReplicaSpec) -> Self {
        Replica {
            warming_until: now + spec.cold_remaining,
            spec,
            in_flight: BTreeMap::new(),
            backpressure: Backpressure::default(),
            health: OutlierDetector::default(),
            last_failure: None,
            cache: PrefixCache::default(),
            misdirected: false,
            load: None,
            last_activity_at: 0.0,
            answers: 0,
        }
    }

    /// Applies the record of the replica. Does nothing if the record has not changed.
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

    /// Whether the replica may receive new calls.
    pub(crate) fn is_usable(&self) -> bool {
        self.spec.ready && !self.misdirected
    }

    /// Records that this process has sent an attempt to the replica.
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
            response_start: ResponseStart::Pending,
            overtaken_by: 0,
            lost: false,
        };
        self.in_flight.insert(attempt, sent);
    }

    /// Records that an event, a response head or a response was received, with the load reported in it.
    pub(crate) fn record_activity(&mut self, now: f64, load: Option<ServerLoad>) {
        self.last_activity_at = now;
        self.record_load(now, load);
    }

    /// Records the load reported with a response. `None` does not replace the previous report.
    pub(crate) fn record_load(&mut self, now: f64, load: Option<ServerLoad>) {
        self.load = load
            .map(|load| ReportedLoad { at: now, load })
            .or(self.load);
    }

    /// Records a complete response of any status.
    pub(crate) fn record_answer(&mut self) {
        self.answers += 1;
        self.backpressure.record_answer();
    }

    /// Whether the replica is ejected for calls of this route.
    pub(crate) fn is_ejected_for(&self, route: RouteKey) -> bool {
        is_on(Mechanism::OutlierEjection) && self.health.is_ejected_for(route)
    }

    /// Whether further calls of this process have to be queued before they are sent to the replica.
    pub(crate) fn is_under_backpressure(&self) -> bool {
        is_on(Mechanism::Hold) && self.backpressure.blocks(self.in_flight.len())
    }

    /// Whether the replica has reported within [`LOAD_TTL`] that all its slots are in use.
    pub(crate) fn is_saturated(&self, now: f64) -> bool {
        let fresh = self.load.filter(|reported| now - reported.at <= LOAD_TTL);
        fresh.is_some_and(|ReportedLoad { load, .. }| {
            load.slots > 0 && load.running + load.waiting >= load.slots
        })
    }

    /// Whether the last failure was only a late response.
    pub(crate) fn was_last_failure_late(&self) -> bool {
        self.last_failure
            .is_some_and(|last| last.kind == FailureKind::Late)
    }

    /// Whether the last outcome was a failure within [`FAILURE_AVOIDANCE_WINDOW`], while traffic is sparse. With
    /// sparse traffic the two failures that eject a replica are far apart.
    pub(crate) fn has_failed_recently(&self, now: f64) -> bool {
        is_on(Mechanism::RecentFailureAvoidance)
            && self.health.failed_last_in_sparse_traffic(now)
            && self
                .last_failure
                .is_some_and(|last| now < last.at + FAILURE_AVOIDANCE_WINDOW)
    }

    /// Whether a call that is not idempotent may probe the replica: the attempt of the last failure had not run, or
    /// the failure is older than [`PROBE_RISK_WINDOW`].
    pub(crate) fn may_probe_with_any_call(&self, now: f64) -> bool {
        let risky =
            |last: &Failure| last.kind != FailureKind::NotRun && now <= last.at + PROBE_RISK_WINDOW;
        !self.last_failure.as_ref().is_some_and(risky)
    }

    /// Whether slow start allows another call in flight. While the replica is warming up, the limit is one call plus
    /// one for every [`ANSWERS_PER_SLOW_START_CALL`] answers.
    pub(crate) fn has_slow_start_capacity(&self, now: f64) -> bool {
        now >= self.warming_until
            || self.in_flight.len() < 1 + self.answers / ANSWERS_PER_SLOW_START_CALL
    }

    /// Whether the replica is unresponsive: nothing was received from it since it was sent an attempt that is late by
    /// now. `late_threshold` returns the threshold of a route in seconds.
    pub(crate) fn is_unresponsive(
        &self,
        now: f64,
        late_threshold: impl Fn(RouteKey) -> f64,
    ) -> bool {
        let late = |sent: &InFlightAttempt| {
            sent.response_start == ResponseStart::Pending
                && now > sent.sent_at + late_threshold(sent.route)
        };
        self.in_flight
            .values()
            .any(|sent| late(sent) && self.last_activity_at < sent.sent_at)
    }

    /// Records that the response to an attempt has started, and that the attempt has overtaken the earlier attempts on
    /// its route whose responses have not.
    pub(crate) fn record_response_start(&mut self, attempt: AttemptKey, late: bool) {
        let Some(sent) = self.in_flight.get_mut(&attempt) else {
            return;
        };
        sent.response_start = if late {
            ResponseStart::Late
        } else {
            ResponseStart::OnTime
        };
        let (sent_at, route) = (sent.sent_at, sent.route);
        for other in self.in_flight.values_mut() {
            if other.response_start == ResponseStart::Pending
                && other.route == route
                && other.sent_at < sent_at
            {
                other.overtaken_by += 1;
            }
        }
    }
}
