//! The acceptor side of the lease protocol: an acceptor grants each role to one member at a time.

use super::config::LeaseConfig;
use crate::clock_stamp::CENTIS_PER_SECOND;
use crate::fencing_token::FencingToken;
use crate::message::Message;
use crate::role::Role;
use std::collections::BTreeMap;

/// A request for a lease or for its renewal.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseRequest {
    pub(super) role: Role,
    pub(super) token: FencingToken,
    pub(super) request_id: u16,
    pub(super) is_holder: bool,
}

/// A grant that this acceptor has issued. It corresponds to a promise in Paxos.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct IssuedGrant {
    pub(super) token: FencingToken,
    /// Expiry by this acceptor's clock. A renewal never makes it earlier.
    pub(super) until_s: f64,
    /// Whether the grant was issued to a holder. A grant to a candidate may be released at any moment.
    is_to_holder: bool,
}

/// The grants of one acceptor, which are stored in memory only. After a start, and after a jump of its clock, an
/// acceptor recovers: it answers no requests for as long as a grant that it may have lost could be valid.
#[derive(Clone, Debug)]
pub(super) struct Acceptor {
    /// End of recovery. Requests are not answered before.
    recovering_until_s: f64,
    /// Grants that have not expired or been released; at most one for each role.
    grants: BTreeMap<Role, IssuedGrant>,
    /// The latest token granted for each role. Its epoch never decreases. It is stored separately from the tokens of
    /// observed actions: otherwise a failed candidate, whose epoch is higher, would make acceptors reject the actions
    /// of the actual holder.
    latest_granted: BTreeMap<Role, FencingToken>,
}

impl Acceptor {
    /// Creates an acceptor that may have lost its grants at `now_s` and recovers from then on.
    pub(super) fn new(now_s: f64, config: &LeaseConfig) -> Acceptor {
        Acceptor {
            recovering_until_s: config.recovery_end_s(now_s),
            grants: BTreeMap::new(),
            latest_granted: BTreeMap::new(),
        }
    }

    /// Discards all grants and starts recovery. Required after a jump of the clock.
    pub(super) fn reset(&mut self, now_s: f64, config: &LeaseConfig) {
        self.recovering_until_s = config.recovery_end_s(now_s);
        self.grants.clear();
    }

    pub(super) fn remove_expired(&mut self, now_s: f64) {
        self.grants.retain(|_, grant| grant.until_s > now_s);
    }

    pub(super) fn has_grants(&self) -> bool {
        !self.grants.is_empty()
    }

    /// Returns the highest epoch granted for a role; 0 if there is none.
    pub(super) fn highest_epoch(&self, role: Role) -> u32 {
        self.latest_granted
            .get(&role)
            .map_or(0, |token| token.epoch)
    }

    /// Removes the grant to this token, if there is one.
    pub(super) fn release(&mut self, role: Role, token: FencingToken) {
        if self
            .grants
            .get(&role)
            .is_some_and(|grant| grant.token == token)
        {
            self.grants.remove(&role);
        }
    }

    /// Answers a request; returns `None` during recovery. `highest_epoch` is the highest epoch that this member knows
    /// of from its grants and from the actions of holders.
    pub(super) fn answer(
        &mut self,
        now_s: f64,
        request: &LeaseRequest,
        highest_epoch: u32,
        config: &LeaseConfig,
    ) -> Option<Message> {
        if now_s < self.recovering_until_s {
            return None;
        }
        let denial = self.denial(now_s, request, highest_epoch);
        Some(denial.unwrap_or_else(|| self.grant(now_s, request, config)))
    }

    fn active_grant(&self, now_s: f64, role: Role) -> Option<&IssuedGrant> {
        self.grants.get(&role).filter(|grant| grant.until_s > now_s)
    }

    /// Returns the denial of a request if the role is granted to another token or if the token of the request is
    /// outdated; `None` if the request may be granted.
    fn denial(&self, now_s: f64, request: &LeaseRequest, highest_epoch: u32) -> Option<Message> {
        let LeaseRequest { role, token, .. } = *request;
        let current = self.active_grant(now_s, role);
        let is_renewal = current.is_some_and(|grant| grant.token == token);
        let other = current.filter(|grant| grant.token != token);
        let is_latest =
            token.epoch == highest_epoch && self.latest_granted.get(&role) == Some(&token);
        let is_new = token.epoch > highest_epoch || is_latest;
        if other.is_none() && (is_renewal || is_new) {
            return None;
        }
        let wait_s = match other {
            Some(grant) if grant.is_to_holder => grant.until_s - now_s,
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

    /// Grants the role to the token of a request. The caller must have checked that there is no [`Self::denial`].
    fn grant(&mut self, now_s: f64, request: &LeaseRequest, config: &LeaseConfig) -> Message {
        let LeaseRequest { role, token, .. } = *request;
        let current = self.active_grant(now_s, role);
        // A renewal never shortens the active grant.
        let until_s = current
            .map_or(now_s, |grant| grant.until_s)
            .max(now_s + config.grant_duration_s(request.is_holder));
        let is_to_holder = request.is_holder || current.is_some_and(|grant| grant.is_to_holder);
        let grant = IssuedGrant {
            token,
            until_s,
            is_to_holder,
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

    pub(super) fn recovering_until_s(&self) -> f64 {
        self.recovering_until_s
    }

    pub(super) fn grants(&self) -> &BTreeMap<Role, IssuedGrant> {
        &self.grants
    }

    pub(super) fn latest_granted(&self) -> &BTreeMap<Role, FencingToken> {
        &self.latest_granted
    }
}
