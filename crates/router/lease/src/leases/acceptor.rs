//! The acceptor's side of a lease: it grants a role to one member at a time.

use super::config::LeaseConfig;
use crate::clock_stamp::CENTIS_PER_SECOND;
use crate::fencing_token::FencingToken;
use crate::message::Message;
use crate::role::Role;
use std::collections::BTreeMap;

/// A request for a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseRequest {
    pub(super) role: Role,
    pub(super) token: FencingToken,
    pub(super) request_id: u16,
    pub(super) is_holder: bool,
}

/// A grant that this acceptor has given, in Paxos a promise.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Promise {
    pub(super) token: FencingToken,
    /// When it expires, by this acceptor's clock. A renewal never brings it forward.
    pub(super) until_s: f64,
    /// Whether it was given to a holder. A candidate may give it up at any moment.
    to_holder: bool,
}

/// An acceptor's promises. It keeps them in memory only: after a start, and after its clock has jumped, it is silent
/// for as long as a promise that it may have forgotten could be valid.
#[derive(Clone, Debug)]
pub(super) struct Acceptor {
    /// No request is answered before.
    silent_until_s: f64,
    /// Promises in force; at most one a role.
    promises: BTreeMap<Role, Promise>,
    /// The latest token promised for each role. Its epoch never decreases. It is kept apart from the tokens under which
    /// holders were seen to act: else a failed candidate, whose epoch is higher, would make acceptors reject the
    /// actions of the true holder.
    latest_promised: BTreeMap<Role, FencingToken>,
}

impl Acceptor {
    /// An acceptor that has forgotten its promises at `now_s`.
    pub(super) fn new(now_s: f64, config: &LeaseConfig) -> Acceptor {
        Acceptor {
            silent_until_s: config.silent_until_s(now_s),
            promises: BTreeMap::new(),
            latest_promised: BTreeMap::new(),
        }
    }

    /// Drops all promises and stays silent until they could no longer be valid. Required once the clock has jumped.
    pub(super) fn reset(&mut self, now_s: f64, config: &LeaseConfig) {
        self.silent_until_s = config.silent_until_s(now_s);
        self.promises.clear();
    }

    pub(super) fn remove_expired(&mut self, now_s: f64) {
        self.promises.retain(|_, promise| promise.until_s > now_s);
    }

    pub(super) fn has_promises(&self) -> bool {
        !self.promises.is_empty()
    }

    /// The highest epoch promised for a role; 0 if there is none.
    pub(super) fn highest_epoch(&self, role: Role) -> u32 {
        self.latest_promised
            .get(&role)
            .map_or(0, |token| token.epoch)
    }

    /// Withdraws the promise to this token, if it is in force.
    pub(super) fn release(&mut self, role: Role, token: FencingToken) {
        if self
            .promises
            .get(&role)
            .is_some_and(|promise| promise.token == token)
        {
            self.promises.remove(&role);
        }
    }

    /// Answers a request; `None` while silent. `highest_epoch` is the highest that this member knows of, by its
    /// promises and by the actions of holders.
    pub(super) fn answer(
        &mut self,
        now_s: f64,
        request: &LeaseRequest,
        highest_epoch: u32,
        config: &LeaseConfig,
    ) -> Option<Message> {
        if now_s < self.silent_until_s {
            return None;
        }
        let denial = self.denial(now_s, request, highest_epoch);
        Some(denial.unwrap_or_else(|| self.grant(now_s, request, config)))
    }

    fn promise_in_force(&self, now_s: f64, role: Role) -> Option<&Promise> {
        self.promises
            .get(&role)
            .filter(|promise| promise.until_s > now_s)
    }

    /// Denies a request while the role is promised to another token, and one whose token is outdated. `None` if it may
    /// be granted.
    fn denial(&self, now_s: f64, request: &LeaseRequest, highest_epoch: u32) -> Option<Message> {
        let LeaseRequest { role, token, .. } = *request;
        let current = self.promise_in_force(now_s, role);
        let is_renewal = current.is_some_and(|promise| promise.token == token);
        let other = current.filter(|promise| promise.token != token);
        let is_latest =
            token.epoch == highest_epoch && self.latest_promised.get(&role) == Some(&token);
        let is_new = token.epoch > highest_epoch || is_latest;
        if other.is_none() && (is_renewal || is_new) {
            return None;
        }
        let wait_s = match other {
            Some(promise) if promise.to_holder => promise.until_s - now_s,
            _ => 0.0,
        };
        Some(Message::Denied {
            role,
            epoch: highest_epoch,
            incarnation: token.incarnation,
            request_id: request.request_id,
            wait_centis: (wait_s * CENTIS_PER_SECOND).ceil() as u16,
        })
    }

    /// Promises the role to the token of a request, which must not be denied.
    fn grant(&mut self, now_s: f64, request: &LeaseRequest, config: &LeaseConfig) -> Message {
        let LeaseRequest { role, token, .. } = *request;
        let current = self.promise_in_force(now_s, role);
        // Never shorter than the promise in force.
        let until_s = current
            .map_or(now_s, |promise| promise.until_s)
            .max(now_s + config.grant_duration_s(request.is_holder));
        let to_holder = request.is_holder || current.is_some_and(|promise| promise.to_holder);
        let promise = Promise {
            token,
            until_s,
            to_holder,
        };
        self.promises.insert(role, promise);
        self.latest_promised.insert(role, token);
        Message::Granted {
            role,
            epoch: token.epoch,
            incarnation: token.incarnation,
            request_id: request.request_id,
        }
    }

    pub(super) fn silent_until_s(&self) -> f64 {
        self.silent_until_s
    }

    pub(super) fn promises(&self) -> &BTreeMap<Role, Promise> {
        &self.promises
    }

    pub(super) fn latest_promised(&self) -> &BTreeMap<Role, FencingToken> {
        &self.latest_promised
    }
}
