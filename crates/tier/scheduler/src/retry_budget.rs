//! A retry budget: further attempts are a bounded share of the first ones, so that they never multiply an
//! overload.

/// Tokens earned by first attempts and spent by further ones.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

/// Further attempts that each first attempt pays for.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.2;
/// The most that is kept, so that a short trouble after a calm time is ridden out.
const MAX_TOKENS: f64 = 20.0;

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// A call was sent for the first time.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Whether a further attempt is affordable.
    pub fn can_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A further attempt is sent.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
