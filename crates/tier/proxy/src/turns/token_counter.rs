//! Counts the tokens that a turn has sent to its client.

/// Events sent to the client, and how many tokens these come to.
#[derive(Clone, Copy, Debug)]
pub struct TokenCounter {
    /// At least 1.
    tokens_per_event: u64,
    max_tokens: u64,
    /// Events forwarded to the client.
    events: u64,
}

impl TokenCounter {
    /// The counter of a turn that generates at most `max_tokens`.
    pub fn new(tokens_per_event: u32, max_tokens: u32) -> Self {
        TokenCounter {
            tokens_per_event: u64::from(tokens_per_event.max(1)),
            max_tokens: u64::from(max_tokens),
            events: 0,
        }
    }

    /// Counts events that were forwarded to the client.
    pub fn add_events(&mut self, events: usize) {
        self.events += events as u64;
    }

    /// Events forwarded so far.
    pub fn events(&self) -> u32 {
        u32::try_from(self.events).unwrap_or(u32::MAX)
    }

    /// Tokens forwarded so far, at most the turn's maximum.
    pub fn tokens(&self) -> u64 {
        (self.events * self.tokens_per_event).min(self.max_tokens)
    }
}
