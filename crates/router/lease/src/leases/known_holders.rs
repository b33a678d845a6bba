//! The lease holders that a member has seen act.

use crate::fencing_token::FencingToken;
use crate::role::Role;
use std::collections::BTreeMap;

/// The latest action of a holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatestAction {
    pub(super) token: FencingToken,
    /// When this member received it, by its own clock.
    pub(super) at_s: f64,
}

/// The latest action that was accepted for each role.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownHolders {
    /// The epoch of a role never decreases.
    latest: BTreeMap<Role, LatestAction>,
}

impl KnownHolders {
    /// Whether a later token, or another one of the same epoch, has been seen.
    pub(super) fn supersedes(&self, role: Role, token: FencingToken) -> bool {
        self.latest.get(&role).is_some_and(|latest| {
            let seen = latest.token;
            token.epoch < seen.epoch || token.epoch == seen.epoch && token != seen
        })
    }

    /// Records an action under a token, which must not be superseded.
    pub(super) fn record(&mut self, now_s: f64, role: Role, token: FencingToken) {
        self.latest
            .insert(role, LatestAction { token, at_s: now_s });
    }

    /// The highest epoch seen; 0 if there is none.
    pub(super) fn epoch(&self, role: Role) -> u32 {
        self.latest
            .get(&role)
            .map_or(0, |latest| latest.token.epoch)
    }

    /// The latest action for a role.
    pub(super) fn latest(&self, role: Role) -> Option<LatestAction> {
        self.latest.get(&role).copied()
    }

    /// The latest token of each role.
    pub(super) fn tokens(&self) -> impl Iterator<Item = (Role, FencingToken)> {
        self.latest
            .iter()
            .map(|(role, latest)| (*role, latest.token))
    }
}
