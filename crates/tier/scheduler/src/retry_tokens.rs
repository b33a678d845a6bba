//! Retry budget: limits retries and hedges to a share of the first attempts, so that they cannot amplify an overload.

use crate::mechanisms::{Mechanism, is_on};

/// Token bucket. First attempts add tokens; each retry or hedge removes one.
#[derive(Debug)]
pub(crate) struct RetryTokens {
    tokens: f64,
}

/// Tokens added by each first attempt.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Capacity of the bucket, which is initially full. Allows a burst of retries during a short fault.
const MAX_TOKENS: f64 = 20.0;

impl Default for RetryTokens {
    fn default() -> Self {
        RetryTokens { tokens: MAX_TOKENS }
    }
}

impl RetryTokens {
    /// Adds the tokens of a first attempt.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Whether the budget allows a retry or hedge.
    pub(crate) fn can_retry(&self) -> bool {
        !is_on(Mechanism::RetryBudget) || self.tokens >= 1.0
    }

    /// Removes the token of a retry or hedge.
    pub(crate) fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
