//! The budget of bytes that clients send ahead while they wait for an answer. The core counts requests in flight;
//! what lies behind them in a client's connection is bounded here.

use crate::http::{MAX_BODY, MAX_HEAD};
use std::cell::Cell;

/// What one client may have sent ahead, in bytes: a complete request.
const MAX_READ_AHEAD: usize = MAX_HEAD + MAX_BODY;

/// What all clients together may have sent ahead beyond a head each, in bytes: a tenth of the smallest memory
/// that a process has been given.
const MAX_TOTAL_READ_AHEAD: usize = 3 * 1024 * 1024;

/// Bytes that clients have sent ahead, beyond a head each.
#[derive(Default)]
pub(super) struct ReadAheadBudget {
    total: Cell<usize>,
}

impl ReadAheadBudget {
    /// The share of a client that has sent nothing ahead.
    pub(super) fn share(&self) -> ReadAhead<'_> {
        ReadAhead {
            budget: self,
            own: 0,
        }
    }
}

/// One client's part of the budget, which its drop gives back.
pub(super) struct ReadAhead<'a> {
    budget: &'a ReadAheadBudget,
    own: usize,
}

impl ReadAhead<'_> {
    /// How many bytes the client may have sent ahead, of which `bytes` are there.
    pub(super) fn reserve(&mut self, bytes: usize) -> usize {
        let others = self.budget.total.get() - self.own;
        let limit = if others < MAX_TOTAL_READ_AHEAD {
            MAX_READ_AHEAD
        } else {
            MAX_HEAD
        };
        self.own = bytes.min(limit).saturating_sub(MAX_HEAD);
        self.budget.total.set(others + self.own);
        limit
    }
}

impl Drop for ReadAhead<'_> {
    fn drop(&mut self) {
        self.budget.total.set(self.budget.total.get() - self.own);
    }
}
