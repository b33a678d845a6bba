//! Choice of a replica for one attempt of a call.
//!
//! The replica with the fewest calls of this process in flight is chosen, ties at random. These filters apply first, in
//! this order:
//!
//! 1. Replicas that must not be used are excluded.
//! 2. Replicas that the call was not sent to are preferred.
//! 3. Healthy replicas are preferred. Replicas that have recently failed, are unresponsive, have reported that they
//!    are full, or are warming up are used only if no others remain.
//! 4. Replicas at which the call is not queued are preferred.
//!
//! For engines, calls are weighed by the prompt tokens that have to be prefilled: a replica that has cached the head of
//! the prompt is chosen unless it has so many more calls that their prefill takes longer. Among equals the home of the
//! call's program or object is preferred, and then the zone of this process (the local zone).
//!
//! The *home* is the replica to which all processes of a zone send the calls of one program, and all processes of all
//! zones the calls about one object (affinity by rendezvous hashing). It is the usable and healthy replica of the
//! highest rank; for a program, the highest rank within the local zone. Processes agree on the home without messages.
//! Each process assumes that the other processes have sent most of the program's prompt to the home.

use std::collections::BTreeSet;
use std::sync::Arc;

use woadreach_routing::decide::candidates::Candidates;
use woadreach_routing::rendezvous::rank;

use crate::active_call::ActiveCall;
use crate::fleet::Fleet;
use crate::keys::{ReplicaKey, RouteKey};
use crate::mechanisms::{Mechanism, is_on};
use crate::replica::Replica;
use crate::routes::LatenciesByRoute;
use crate::service::Service;

/// Number of prompt tokens in one unit of cost. Smaller differences do not justify a longer queue.
const TOKENS_PER_UNIT: usize = 256;
/// Share of a prompt that is assumed to be cached at the home of its program: all except the newest input, which is
/// about a quarter of the prompt after a few turns. Underestimates the cached share for long programs.
const CACHED_SHARE_AT_HOME: f64 = 0.75;
/// Limit on the number of attempts of a call on any route, including those that never reached a replica.
const MAX_ATTEMPTS: usize = 8;

/// Result of the choice for the next attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// Send the call to this replica.
    Send(ReplicaKey),
    /// Send the call to this ejected replica as a probe.
    SendProbe(ReplicaKey),
    /// Queue the call at this replica, which is under backpressure or has calls with earlier deadlines in its queue.
    Enqueue(ReplicaKey),
    /// Replicas exist, but none may receive the call at present.
    Postpone,
    /// No replica is left that may run the call.
    NoReplica,
}

/// Inputs of the choice of a replica.
pub(crate) struct Placement<'a> {
    pub now: f64,
    pub fleet: &'a Fleet,
    pub routes: &'a LatenciesByRoute,
    /// Zone of this process.
    pub zone: &'a str,
    /// Limit on the calls of this process in flight at one replica: its share of the connections that a replica
    /// accepts.
    pub connections: usize,
    /// Mean number of prefill tokens of a call of the service; 0 if the service has no engine.
    pub mean_prefill: usize,
}

impl<'a> Placement<'a> {
    /// The inputs for calls of `service`; `None`, for a service that is not configured, sets no limits.
    pub(crate) fn new(
        now: f64,
        fleet: &'a Fleet,
        routes: &'a LatenciesByRoute,
        zone: &'a str,
        service: Option<&Service>,
    ) -> Self {
        Placement {
            now,
            fleet,
            routes,
            zone,
            connections: service.map_or(usize::MAX, |service| service.connections),
            mean_prefill: service.map_or(0, Service::mean_prefill),
        }
    }

    /// Chooses the replica for the next attempt of `call`. `is_behind` returns whether calls with earlier deadlines
    /// are queued at a replica.
    pub(crate) fn choose(
        &self,
        call: &ActiveCall,
        is_behind: impl Fn(ReplicaKey) -> bool,
        random: &mut oorandom::Rand64,
    ) -> Choice {
        let mut candidates = self.allowed(call);
        if candidates.is_empty() {
            return Choice::NoReplica;
        }
        candidates.require(|key| {
            self.satisfies(*key, |replica| replica.in_flight.len() < self.connections)
        });
        if candidates.is_empty() {
            return Choice::Postpone;
        }
        if let Some(probe) = self.probe(call, &candidates) {
            return Choice::SendProbe(probe);
        }
        self.prefer_healthy(call, &mut candidates);
        let is_queueing = |key: &ReplicaKey| {
            is_behind(*key) || self.satisfies(*key, |replica| replica.is_under_backpressure())
        };
        candidates.prefer(|key| !is_queueing(key));
        match self.cheapest(call, &mut candidates, random) {
            Some(key) if is_queueing(&key) => Choice::Enqueue(key),
            Some(key) => Choice::Send(key),
            None => Choice::Postpone,
        }
    }

    /// The home of the call's program (or else its session) or object; `None` if the call has none of these, or if no
    /// replica is healthy, which here means neither ejected nor unresponsive. The home of a program is in the local
    /// zone, where most of its calls arrive, unless the zone has too few replicas.
    pub(crate) fn home(&self, call: &ActiveCall) -> Option<ReplicaKey> {
        if !is_on(Mechanism::Homes) {
            return None;
        }
        let is_engine = self.mean_prefill > 0;
        let key = if is_engine {
            call.request.program.or(call.request.session)
        } else {
            call.request.affinity
        };
        let key = key?.to_le_bytes();
        let is_healthy = |(_, replica): &(ReplicaKey, &Replica)| {
            !replica.is_ejected_for(call.route) && !self.is_unresponsive(replica)
        };
        let healthy: Vec<(ReplicaKey, &Replica)> = self
            .fleet
            .usable(&call.service)
            .filter(is_healthy)
            .collect();
        let prefers_local_zone = is_engine && self.has_local_zone_enough_replicas(&healthy);
        let preference = |replica: &Replica| {
            let is_in_local_zone = prefers_local_zone && self.is_in_local_zone(replica);
            (is_in_local_zone, rank(&key, &replica.spec.id))
        };
        healthy
            .into_iter()
            .max_by_key(|(_, replica)| preference(replica))
            .map(|(key, _)| key)
    }

    /// Whether the local zone has at least half as many of these replicas as the average zone. With fewer, the
    /// programs that arrive in this zone would overload them.
    fn has_local_zone_enough_replicas(&self, replicas: &[(ReplicaKey, &Replica)]) -> bool {
        let zones: BTreeSet<&str> = replicas
            .iter()
            .map(|(_, replica)| &*replica.spec.zone)
            .collect();
        let local = replicas
            .iter()
            .filter(|(_, replica)| self.is_in_local_zone(replica))
            .count();
        2 * local * zones.len() >= replicas.len()
    }

    fn is_in_local_zone(&self, replica: &Replica) -> bool {
        &*replica.spec.zone == self.zone
    }

    /// Chooses a replica for a hedge: the cheapest one that the call has not been sent to, has a free connection, and
    /// is neither ejected, saturated, under backpressure nor unresponsive.
    pub(crate) fn choose_hedge(
        &self,
        call: &ActiveCall,
        random: &mut oorandom::Rand64,
    ) -> Option<ReplicaKey> {
        let mut candidates = self.allowed(call);
        candidates.require(|key| !call.was_sent_to(*key));
        candidates.require(|key| {
            self.satisfies(*key, |replica| {
                replica.in_flight.len() < self.connections
                    && !replica.is_ejected_for(call.route)
                    && !replica.is_saturated(self.now)
                    && !replica.is_under_backpressure()
                    && !self.is_unresponsive(replica)
            })
        });
        self.cheapest(call, &mut candidates, random)
    }

    /// Replicas that may receive the call: the usable replicas of its service, within the limits on replicas,
    /// attempts and resends. Those that the call was not sent to are preferred.
    fn allowed(&self, call: &ActiveCall) -> Candidates<ReplicaKey> {
        let reached = call.replicas_reached();
        let is_limit_reached = reached.len() >= call.request.max_replicas.max(1) as usize;
        let mut candidates = Candidates::new(self.fleet.usable(&call.service).map(|(key, _)| key));
        candidates.require(|key| {
            call.attempts.len() < MAX_ATTEMPTS && (!is_limit_reached || reached.contains(key))
        });
        candidates.require(|key| call.may_resend_to(*key));
        candidates.prefer(|key| !call.was_sent_to(*key));
        candidates
    }

    /// An ejected replica that is due for a probe, if this first attempt of the call may serve as one: another
    /// candidate is not ejected, and either the call may run again elsewhere or the replica accepts any call as a
    /// probe.
    fn probe(&self, call: &ActiveCall, candidates: &Candidates<ReplicaKey>) -> Option<ReplicaKey> {
        let others_exist =
            candidates.least(|key| usize::from(self.is_ejected(*key, call.route))) == Some(0);
        if !call.attempts.is_empty() || !others_exist {
            return None;
        }
        let may_move = call.request.kind.may_run_again() && call.request.max_replicas > 1;
        let due = |replica: &Replica| {
            let may_risk = may_move || replica.may_probe_with_any_call(self.now);
            may_risk && replica.health.probe_due(self.now, call.route)
        };
        self.fleet
            .usable(&call.service)
            .find(|(_, replica)| due(replica))
            .map(|(key, _)| key)
    }

    /// Excludes replicas that are ejected, unresponsive, have failed recently, are full or are warming up, as long as
    /// others remain.
    fn prefer_healthy(&self, call: &ActiveCall, candidates: &mut Candidates<ReplicaKey>) {
        // If most replicas are ejected, overload is the likely cause for those whose last failure was lateness.
        // Excluding these would increase the load on the others.
        let is_overload_likely = self.is_majority_ejected(call);
        candidates.prefer(|key| {
            let is_tolerated =
                is_overload_likely && self.satisfies(*key, Replica::was_last_failure_late);
            is_tolerated || !self.is_ejected(*key, call.route)
        });
        candidates.prefer(|key| self.satisfies(*key, |replica| !self.is_unresponsive(replica)));
        candidates
            .prefer(|key| self.satisfies(*key, |replica| !replica.has_failed_recently(self.now)));
        candidates.prefer(|key| self.satisfies(*key, |replica| !replica.is_saturated(self.now)));
        candidates.prefer(|key| {
            self.satisfies(*key, |replica| replica.has_slow_start_capacity(self.now))
        });
    }

    fn cheapest(
        &self,
        call: &ActiveCall,
        candidates: &mut Candidates<ReplicaKey>,
        random: &mut oorandom::Rand64,
    ) -> Option<ReplicaKey> {
        let least = candidates.least(|key| self.cost(*key, call))?;
        candidates.prefer(|key| self.cost(*key, call) == least);
        candidates.prefer(|key| call.home == Some(*key));
        if is_on(Mechanism::NearAmongEquals) {
            candidates.prefer(|key| self.satisfies(*key, |replica| self.is_in_local_zone(replica)));
        }
        candidates.choose(|_| 0, random)
    }

    /// Number of calls of this process in flight at a replica. For engines, the prefill tokens of these calls and of
    /// `call`, in units of [`TOKENS_PER_UNIT`].
    fn cost(&self, key: ReplicaKey, call: &ActiveCall) -> usize {
        let Some(replica) = self.fleet.get(key) else {
            return usize::MAX;
        };
        let in_flight = replica.in_flight.len();
        if self.mean_prefill == 0 {
            return in_flight;
        }
        (in_flight * self.mean_prefill + prefill_tokens(call, key, replica) as usize)
            / TOKENS_PER_UNIT
    }

    fn is_ejected(&self, key: ReplicaKey, route: RouteKey) -> bool {
        self.satisfies(key, |replica| replica.is_ejected_for(route))
    }

    fn is_majority_ejected(&self, call: &ActiveCall) -> bool {
        let usable = || self.fleet.usable(&call.service);
        let ejected = usable()
            .filter(|(_, replica)| replica.is_ejected_for(call.route))
            .count();
        ejected * 2 > usable().count()
    }

    fn is_unresponsive(&self, replica: &Replica) -> bool {
        is_on(Mechanism::UnresponsiveAvoidance)
            && replica.is_unresponsive(self.now, |route| self.routes.late_threshold(route))
    }

    fn satisfies(&self, key: ReplicaKey, test: impl Fn(&Replica) -> bool) -> bool {
        self.fleet.get(key).is_some_and(test)
    }
}

/// Number of prompt tokens that the replica has to prefill: those that this process has not sent there before and, at
/// the call's home, other processes have not sent either.
pub(crate) fn prefill_tokens(call: &ActiveCall, key: ReplicaKey, replica: &Replica) -> u32 {
    let tokens = call.request.prompt_tokens;
    let sent_by_others = if call.home == Some(key) {
        f64::from(tokens) * CACHED_SHARE_AT_HOME
    } else {
        0.0
    };
    let sent_by_this_process = if is_on(Mechanism::OwnPromptKnowledge) {
        replica.cache.cached_tokens(&call.request.prefix)
    } else {
        0
    };
    tokens.saturating_sub(sent_by_this_process.max(sent_by_others as u32))
}

/// Whether all usable replicas of a service are saturated or under backpressure. False if none is usable.
pub(crate) fn is_overloaded(now: f64, fleet: &Fleet, service: &Arc<str>) -> bool {
    let mut usable = fleet.usable(service).peekable();
    let full = |replica: &Replica| replica.is_saturated(now) || replica.is_under_backpressure();
    usable.peek().is_some() && usable.all(|(_, replica)| full(replica))
}
