//! Durable turns that a proxy has seen, so that it seldom has to ask.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::turn::{Turn, TurnKey};

/// Turns by name, bounded in bytes; the oldest give way.
#[derive(Debug)]
pub struct TurnCache {
    turns: HashMap<TurnKey, Arc<Turn>>,
    order: VecDeque<(Duration, TurnKey)>,
    bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    /// An empty cache.
    #[must_use]
    pub fn new(max_bytes: usize) -> TurnCache {
        TurnCache {
            turns: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Adds a durable turn.
    pub fn insert(&mut self, now: Duration, turn: Arc<Turn>) {
        self.expire(now);
        let key = turn.key();
        let expires = now + turn.retention;
        let size = turn.size();
        if self.turns.insert(key.clone(), turn).is_none() {
            self.bytes += size;
            self.order.push_back((expires, key));
        }
        while self.bytes > self.max_bytes {
            self.remove_oldest();
        }
    }

    /// The turn and its ancestors, newest first, as far as they are here.
    #[must_use]
    pub fn chain(&self, newest: &TurnKey) -> Vec<Arc<Turn>> {
        let mut chain: Vec<Arc<Turn>> = Vec::new();
        let mut next = self.turns.get(newest);
        while let Some(turn) = next {
            if chain.len() > self.turns.len() {
                break;
            }
            chain.push(Arc::clone(turn));
            next = turn
                .previous
                .as_ref()
                .and_then(|previous| self.turns.get(previous));
        }
        chain
    }

    /// Bytes of all turns, roughly.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn expire(&mut self, now: Duration) {
        while self
            .order
            .front()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front()
            && let Some(turn) = self.turns.remove(&key)
        {
            self.bytes -= turn.size();
        }
    }
}
