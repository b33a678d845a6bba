//! Tokens that a turn has given to its client.

/// Counts the events given and what they come to in tokens.
#[derive(Clone, Copy, Debug)]
pub struct TokenLedger {
    stride: u64,
    most: u64,
    events: u64,
}

impl TokenLedger {
    /// A turn that generates `most` tokens at most, `stride` in each event.
    pub fn new(stride: u32, most: u32) -> Self {
        TokenLedger {
            stride: u64::from(stride.max(1)),
            most: u64::from(most),
            events: 0,
        }
    }

    /// Notes events that were passed on to the client.
    pub fn add_events(&mut self, events: usize) {
        self.events += events as u64;
    }

    /// Events passed on so far.
    pub fn events(&self) -> u32 {
        u32::try_from(self.events).unwrap_or(u32::MAX)
    }

    /// Tokens passed on so far.
    pub fn given(&self) -> u64 {
        (self.events * self.stride).min(self.most)
    }
}
