//! Tokens for retries: retries and hedges are a bounded share of first attempts, so that they cannot amplify an
//! overload.

use crate::mechanisms::{Mechanism, is_on};

/// Tokens that first attempts earn, and retries and hedges spend.
#[derive(Debug)]
pub(crate) struct RetryTokens {
    tokens: f64,
}

/// Retries that each first attempt earns.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Limit on the tokens. Allows retries during a short fault.
const MAX_TOKENS: f64 = 20.0;

impl Default for RetryTokens {
    fn default() -> Self {
        RetryTokens { tokens: MAX_TOKENS }
    }
}

impl RetryTokens {
    /// Records a first attempt.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Whether the tokens allow a retry or hedge.
    pub(crate) fn can_retry(&self) -> bool {
        !is_on(Mechanism::RetryBudget) || self.tokens >= 1.0
    }

    /// Records a retry or hedge.
    pub(crate) fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
