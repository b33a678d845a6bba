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

/// A grant that this acceptor has issued, in Paxos a promise.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct IssuedGrant {
    pub(super) token: FencingToken,
    /// When it expires, by this acceptor's clock. A renewal never brings it forward.
    pub(super) until_s: f64,
    /// Whether it was given to a holder. A candidate may give it up at any moment.
    to_holder: bool,
}

/// An acceptor's grants. It keeps them in memory only: after a start, and after its clock has jumped, it is silent
/// for as long as a grant that it may have forgotten could be valid.
#[derive(Clone, Debug)]
pub(super) struct Acceptor {
    /// No request is answered before.
    silent_until_s: f64,
    /// Grants in force; at most one a role.
    grants: BTreeMap<Role, IssuedGrant>,
    /// The latest token granted for each role. Its epoch never decreases. It is kept apart from the tokens under which
    /// holders were seen to act: else a failed candidate, whose epoch is higher, would make acceptors reject the
    /// actions of the true holder.
    latest_granted: BTreeMap<Role, FencingToken>,
}

impl Acceptor {
    /// An acceptor that has forgotten its grants at `now_s`.
    pub(super) fn new(now_s: f64, config: &LeaseConfig) -> Acceptor {
        Acceptor {
            silent_until_s: config.silent_until_s(now_s),
            grants: BTreeMap::new(),
            latest_granted: BTreeMap::new(),
        }
    }

    /// Drops all grants and stays silent until they could no longer be valid. Required once the clock has jumped.
    pub(super) fn reset(&mut self, now_s: f64, config: &LeaseConfig) {
        self.silent_until_s = config.silent_until_s(now_s);
        self.grants.clear();
    }

    pub(super) fn remove_expired(&mut self, now_s: f64) {
        self.grants.retain(|_, grant| grant.until_s > now_s);
    }

    pub(super) fn has_grants(&self) -> bool {
        !self.grants.is_empty()
    }

    /// The highest epoch granted for a role; 0 if there is none.
    pub(super) fn highest_epoch(&self, role: Role) -> u32 {
        self.latest_granted
            .get(&role)
            .map_or(0, |token| token.epoch)
    }

    /// Withdraws the grant to this token, if it is in force.
    pub(super) fn release(&mut self, role: Role, token: FencingToken) {
        if self
            .grants
            .get(&role)
            .is_some_and(|grant| grant.token == token)
        {
            self.grants.remove(&role);
        }
    }

    /// Answers a request; `None` while silent. `highest_epoch` is the highest that this member knows of, by its
    /// grants and by the actions of holders.
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

    fn grant_in_force(&self, now_s: f64, role: Role) -> Option<&IssuedGrant> {
        self.grants.get(&role).filter(|grant| grant.until_s > now_s)
    }

    /// Denies a request while the role is granted to another token, and one whose token is outdated. `None` if it may
    /// be granted.
    fn denial(&self, now_s: f64, request: &LeaseRequest, highest_epoch: u32) -> Option<Message> {
        let LeaseRequest { role, token, .. } = *request;
        let current = self.grant_in_force(now_s, role);
        let is_renewal = current.is_some_and(|grant| grant.token == token);
        let other = current.filter(|grant| grant.token != token);
        let is_latest =
            token.epoch == highest_epoch && self.latest_granted.get(&role) == Some(&token);
        let is_new = token.epoch > highest_epoch || is_latest;
        if other.is_none() && (is_renewal || is_new) {
            return None;
        }
        let wait_s = match other {
            Some(grant) if grant.to_holder => grant.until_s - now_s,
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

    /// Grants the role to the token of a request, which must not be denied.
    fn grant(&mut self, now_s: f64, request: &LeaseRequest, config: &LeaseConfig) -> Message {
        let LeaseRequest { role, token, .. } = *request;
        let current = self.grant_in_force(now_s, role);
        // Never shorter than the grant in force.
        let until_s = current
            .map_or(now_s, |grant| grant.until_s)
            .max(now_s + config.grant_duration_s(request.is_holder));
        let to_holder = request.is_holder || current.is_some_and(|grant| grant.to_holder);
        let grant = IssuedGrant {
            token,
            until_s,
            to_holder,
        };
        self.grants.insert(role, grant);
        self.latest_granted.insert(role, token);
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

    pub(super) fn grants(&self) -> &BTreeMap<Role, IssuedGrant> {
        &self.grants
    }

    pub(super) fn latest_granted(&self) -> &BTreeMap<Role, FencingToken> {
        &self.latest_granted
    }
}
