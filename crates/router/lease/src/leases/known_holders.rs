//! The lease holders that a member knows from their actions.

use crate::fencing_token::FencingToken;
use crate::role::Role;
use std::collections::BTreeMap;

/// The latest accepted action of a holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatestAction {
    pub(super) token: FencingToken,
    /// Time of receipt, by this member's clock.
    pub(super) at_s: f64,
}

/// The latest accepted action for each role.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownHolders {
    /// The epoch of a role never decreases.
    latest: BTreeMap<Role, LatestAction>,
}

impl KnownHolders {
    /// Whether this token is outdated: a token with a higher epoch, or another token with the same epoch, has been
    /// seen.
    pub(super) fn supersedes(&self, role: Role, token: FencingToken) -> bool {
        self.latest.get(&role).is_some_and(|latest| {
            let seen = latest.token;
            token.epoch < seen.epoch || token.epoch == seen.epoch && token != seen
        })
    }

    /// Records an action. Its token must not be superseded.
    pub(super) fn record(&mut self, now_s: f64, role: Role, token: FencingToken) {
        self.latest
            .insert(role, LatestAction { token, at_s: now_s });
    }

    /// Returns the highest epoch seen for a role; 0 if there is none.
    pub(super) fn epoch(&self, role: Role) -> u32 {
        self.latest
            .get(&role)
            .map_or(0, |latest| latest.token.epoch)
    }

    /// Returns the latest action for a role; `None` if no action was seen.
    pub(super) fn latest(&self, role: Role) -> Option<LatestAction> {
        self.latest.get(&role).copied()
    }

    /// Returns the latest token of each role.
    pub(super) fn tokens(&self) -> impl Iterator<Item = (Role, FencingToken)> {
        self.latest
            .iter()
            .map(|(role, latest)| (*role, latest.token))
    }
}
