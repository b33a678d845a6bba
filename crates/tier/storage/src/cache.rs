//! Cache of durable turns in an edge's [`StorageClient`](crate::StorageClient), which avoids most reads from the
//! storage machines.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::turn::{Turn, TurnKey, ancestry};

/// Key and expiry of a cached turn.
#[derive(Debug)]
struct CachedKey {
    /// Expiry, as the time since the client's start.
    expires: Duration,
    key: TurnKey,
}

/// Turns by key, bounded in bytes. The oldest are evicted first.
#[derive(Debug)]
pub struct TurnCache {
    turns: HashMap<TurnKey, Arc<Turn>>,
    /// Keys of all `turns`, in the order in which they were added.
    order: VecDeque<CachedKey>,
    /// Approximate bytes of all `turns`; at most `max_bytes` after each insertion.
    bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    /// An empty cache of at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> TurnCache {
        TurnCache {
            turns: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Adds a durable turn; a turn that is already cached keeps its position in the eviction order.
    pub fn insert(&mut self, now: Duration, turn: Arc<Turn>) {
        self.expire(now);
        let key = turn.key();
        let expires = now + turn.retention;
        let size = turn.size();
        if self.turns.insert(key.clone(), turn).is_none() {
            self.bytes += size;
            self.order.push_back(CachedKey { expires, key });
        }
        while self.bytes > self.max_bytes {
            self.remove_oldest();
        }
    }

    /// The turn and its ancestors, newest first, up to the first that is not cached.
    #[must_use]
    pub fn chain(&self, newest: &TurnKey) -> Vec<Arc<Turn>> {
        let previous = |turn: &Turn| self.turns.get(turn.previous.as_ref()?);
        ancestry(self.turns.get(newest), self.turns.len(), previous)
            .cloned()
            .collect()
    }

    /// Approximate bytes of all turns.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn expire(&mut self, now: Duration) {
        while self
            .order
            .front()
            .is_some_and(|oldest| oldest.expires <= now)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(CachedKey { key, .. }) = self.order.pop_front()
            && let Some(turn) = self.turns.remove(&key)
        {
            self.bytes -= turn.size();
        }
    }
}
