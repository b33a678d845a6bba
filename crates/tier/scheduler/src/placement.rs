//! The choice of a replica for one attempt of a call.
//!
//! The rule: fewest own calls in flight, ties at random. The exceptions, in order: replicas that must not
//! be used; those that failed of late, are silent, full by their own word or still cold, as long as others
//! remain; for engines, calls are weighed by the prompt tokens that would have to be read (a replica that
//! holds the head of the prompt wins unless it has so many more calls that their reading takes longer);
//! among equals, the home of the call's program or object; then the own zone.
//!
//! The *home* is where the processes of a zone send the calls of one program, and all processes those about
//! one object: the usable replica of the highest rendezvous rank that is not known to be in trouble; for a
//! program, of the own zone. What it keeps of the prompt was mostly sent by other processes, and is known
//! without a message.

use std::collections::BTreeSet;
use std::sync::Arc;

use woadreach_routing::decide::candidates::Candidates;
use woadreach_routing::rendezvous::rank;

use crate::fleet::{Fleet, ReplicaKey};
use crate::in_hand::CallInHand;
use crate::replica::Replica;
use crate::routes::{RouteKey, Routes};
use crate::service::Service;

/// Prompt tokens that count as one in the comparison: finer differences are not worth a longer queue.
const TOKENS_PER_UNIT: usize = 256;
/// The part of a prompt that is counted as kept at the home of its program: all but the newest input,
/// which is a quarter once a program has grown for a few turns. It understates what long programs keep.
const KEPT_AT_HOME: f64 = 0.75;
/// Replicas that a call may be tried at in all, whatever the route allows: those that it never reached
/// count too.
const MOST_ATTEMPTS: usize = 8;

/// Where an attempt may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    Send(ReplicaKey),
    /// As a trial of an ejected replica.
    SendTrial(ReplicaKey),
    /// Its replica is held, or earlier calls wait there.
    Hold(ReplicaKey),
    /// Replicas exist, but none may take it now.
    Later,
    /// No replica that may run it.
    Never,
}

/// What the choice reads.
pub(crate) struct Placement<'a> {
    pub now: f64,
    pub fleet: &'a Fleet,
    pub routes: &'a Routes,
    /// Own zone.
    pub zone: &'a str,
    /// Own share of the connections that a replica accepts.
    pub connections: usize,
    /// Mean of the prompt tokens that a call of the service has to have read; 0 if it is no engine.
    pub mean_read: usize,
}

impl<'a> Placement<'a> {
    /// What is read for the calls of `service`; a service that is not configured sets no bounds.
    pub fn new(
        now: f64,
        fleet: &'a Fleet,
        routes: &'a Routes,
        zone: &'a str,
        service: Option<&Service>,
    ) -> Self {
        Placement {
            now,
            fleet,
            routes,
            zone,
            connections: service.map_or(usize::MAX, |service| service.connections),
            mean_read: service.map_or(0, Service::mean_read),
        }
    }

    /// Chooses for the next attempt of `call`; `is_behind` tells whether earlier held calls wait at a
    /// replica.
    pub fn choose(
        &self,
        call: &CallInHand,
        is_behind: impl Fn(ReplicaKey) -> bool,
        random: &mut oorandom::Rand64,
    ) -> Choice {
        let mut candidates = self.allowed(call);
        if candidates.is_empty() {
            return Choice::Never;
        }
        candidates
            .require(|key| self.with(*key, |replica| replica.in_flight.len() < self.connections));
        if candidates.is_empty() {
            return Choice::Later;
        }
        if let Some(trial) = self.trial(call, &candidates) {
            return Choice::SendTrial(trial);
        }
        self.prefer_sound(call, &mut candidates);
        let is_held = |key: &ReplicaKey| {
            is_behind(*key)
                || self.with(*key, |replica| replica.hold.holds(replica.in_flight.len()))
        };
        candidates.prefer(|key| !is_held(key));
        match self.cheapest(call, &mut candidates, random) {
            Some(key) if is_held(&key) => Choice::Hold(key),
            Some(key) => Choice::Send(key),
            None => Choice::Later,
        }
    }

    /// The home of the call's program or object. Programs have it in the own zone, through which their turns
    /// mostly come in, unless too few replicas are there.
    pub fn home(&self, call: &CallInHand) -> Option<ReplicaKey> {
        let is_engine = self.mean_read > 0;
        let key = if is_engine {
            call.call.program.or(call.call.session)
        } else {
            call.call.affinity
        };
        let key = key?.to_le_bytes();
        let is_sound = |(_, replica): &(ReplicaKey, &Replica)| {
            !replica.health.is_ejected_for(call.route) && !self.is_silent(replica)
        };
        let sound: Vec<(ReplicaKey, &Replica)> =
            self.fleet.usable(&call.service).filter(is_sound).collect();
        let stays_near = is_engine && self.own_zone_can_serve(&sound);
        let preference = |replica: &Replica| {
            let is_near = stays_near && self.is_near(replica);
            (is_near, rank(&key, &replica.spec.id))
        };
        sound
            .into_iter()
            .max_by_key(|(_, replica)| preference(replica))
            .map(|(key, _)| key)
    }

    /// Whether the own zone has at least half as many of these replicas as zones have on average: with
    /// fewer, the programs that come in here would crowd them.
    fn own_zone_can_serve(&self, replicas: &[(ReplicaKey, &Replica)]) -> bool {
        let zones: BTreeSet<&str> = replicas
            .iter()
            .map(|(_, replica)| &*replica.spec.zone)
            .collect();
        let near = replicas
            .iter()
            .filter(|(_, replica)| self.is_near(replica))
            .count();
        2 * near * zones.len() >= replicas.len()
    }

    fn is_near(&self, replica: &Replica) -> bool {
        &*replica.spec.zone == self.zone
    }

    /// Chooses for a second copy beside an attempt that is out: only an untried, sound replica that is no
    /// busier than any other.
    pub fn choose_copy(
        &self,
        call: &CallInHand,
        random: &mut oorandom::Rand64,
    ) -> Option<ReplicaKey> {
        let mut candidates = self.allowed(call);
        candidates.require(|key| !call.was_tried_at(*key));
        candidates.require(|key| {
            self.with(*key, |replica| {
                replica.in_flight.len() < self.connections
                    && !replica.health.is_ejected_for(call.route)
                    && !replica.is_saturated(self.now)
                    && !replica.hold.holds(replica.in_flight.len())
                    && !self.is_silent(replica)
            })
        });
        self.cheapest(call, &mut candidates, random)
    }

    /// Replicas that the rules allow: usable ones of the service, within the most that a try may be sent to.
    fn allowed(&self, call: &CallInHand) -> Candidates<ReplicaKey> {
        let reached = call.replicas_reached();
        let spent = reached.len() >= call.call.max_replicas.max(1) as usize;
        let mut candidates = Candidates::new(self.fleet.usable(&call.service).map(|(key, _)| key));
        candidates.require(|key| {
            call.attempts.len() < MOST_ATTEMPTS && (!spent || reached.contains(key))
        });
        candidates.require(|key| call.may_return_to(*key));
        candidates.prefer(|key| !call.was_tried_at(*key));
        candidates
    }

    /// An ejected replica that is due a trial, if this call can be risked: it may run again elsewhere, or a
    /// failure as the last one there costs a call nothing, or the last one was long ago.
    fn trial(&self, call: &CallInHand, candidates: &Candidates<ReplicaKey>) -> Option<ReplicaKey> {
        let others_exist =
            candidates.least(|key| usize::from(self.is_ejected(*key, call.route))) == Some(0);
        if !call.attempts.is_empty() || !others_exist {
            return None;
        }
        let may_move = call.call.kind.may_run_again() && call.call.max_replicas > 1;
        let due = |replica: &Replica| {
            let may_risk = may_move || replica.trial_is_harmless(self.now);
            may_risk && replica.health.probe_due(self.now, call.route)
        };
        self.fleet
            .usable(&call.service)
            .find(|(_, replica)| due(replica))
            .map(|(key, _)| key)
    }

    /// Drops what failed of late, is silent, full or cold, as long as others remain.
    fn prefer_sound(&self, call: &CallInHand, candidates: &mut Candidates<ReplicaKey>) {
        // Where most are ejected for being slow the load is the cause, and fewer replicas would make it
        // worse.
        let load_is_the_cause = self.most_are_ejected(call);
        candidates.prefer(|key| {
            let spared = load_is_the_cause && self.with(*key, Replica::is_merely_slow);
            spared || !self.is_ejected(*key, call.route)
        });
        candidates.prefer(|key| self.with(*key, |replica| !self.is_silent(replica)));
        candidates.prefer(|key| self.with(*key, |replica| !replica.failed_just_now(self.now)));
        candidates.prefer(|key| self.with(*key, |replica| !replica.is_saturated(self.now)));
        candidates.prefer(|key| self.with(*key, |replica| replica.is_warm_enough(self.now)));
        candidates.prefer(|key| !call.was_tried_at(*key));
    }

    fn cheapest(
        &self,
        call: &CallInHand,
        candidates: &mut Candidates<ReplicaKey>,
        random: &mut oorandom::Rand64,
    ) -> Option<ReplicaKey> {
        let least = candidates.least(|key| self.cost(*key, call))?;
        candidates.prefer(|key| self.cost(*key, call) == least);
        candidates.prefer(|key| call.home == Some(*key));
        candidates.prefer(|key| self.with(*key, |replica| self.is_near(replica)));
        candidates.choose(|_| 0, random)
    }

    /// Own calls in flight; for engines in units of the prompt tokens that they and this call need read
    /// there.
    fn cost(&self, key: ReplicaKey, call: &CallInHand) -> usize {
        let Some(replica) = self.fleet.get(key) else {
            return usize::MAX;
        };
        let in_flight = replica.in_flight.len();
        if self.mean_read == 0 {
            return in_flight;
        }
        (in_flight * self.mean_read + tokens_to_read(call, key, replica) as usize) / TOKENS_PER_UNIT
    }

    fn is_ejected(&self, key: ReplicaKey, route: RouteKey) -> bool {
        self.with(key, |replica| replica.health.is_ejected_for(route))
    }

    fn most_are_ejected(&self, call: &CallInHand) -> bool {
        let usable = || self.fleet.usable(&call.service);
        let ejected = usable()
            .filter(|(_, replica)| replica.health.is_ejected_for(call.route))
            .count();
        ejected * 2 > usable().count()
    }

    fn is_silent(&self, replica: &Replica) -> bool {
        replica.is_silent(self.now, |route| self.routes.late_after(route))
    }

    fn with(&self, key: ReplicaKey, test: impl Fn(&Replica) -> bool) -> bool {
        self.fleet.get(key).is_some_and(test)
    }
}

/// Prompt tokens that the replica would have to read: those that neither its own cache is known to hold nor,
/// at the call's home, others have sent.
pub(crate) fn tokens_to_read(call: &CallInHand, key: ReplicaKey, replica: &Replica) -> u32 {
    let tokens = call.call.tokens_in;
    let sent_by_others = if call.home == Some(key) {
        f64::from(tokens) * KEPT_AT_HOME
    } else {
        0.0
    };
    tokens.saturating_sub(
        replica
            .cache
            .cached_tokens(&call.call.prefix)
            .max(sent_by_others as u32),
    )
}

/// Whether all replicas of a service that may be used are full, by their own word or by a hold.
pub(crate) fn is_overloaded(now: f64, fleet: &Fleet, service: &Arc<str>) -> bool {
    let mut usable = fleet.usable(service).peekable();
    let full = |replica: &Replica| {
        replica.is_saturated(now) || replica.hold.holds(replica.in_flight.len())
    };
    usable.peek().is_some() && usable.all(|(_, replica)| full(replica))
}
