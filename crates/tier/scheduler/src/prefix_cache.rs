//! Estimate of the prompt prefixes in a replica's KV cache, from the prompts that this process has sent to it.

use std::collections::BTreeMap;

use crate::call::PrefixPart;

/// Estimated prompt parts in the cache of one replica, with eviction of the least recently used part.
///
/// Other processes use the same cache, so this process assumes only its share of the capacity.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    parts: BTreeMap<u64, CachedPart>,
    /// Identifiers of the parts by their last use.
    by_last_use: BTreeMap<u64, u64>,
    /// Tokens of all parts.
    tokens: u64,
    /// Number of uses so far; the logical time of the last use.
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

impl PrefixCache {
    /// Number of tokens at the head of the prompt that are cached. A part counts only if all parts before it are
    /// completely cached.
    pub(crate) fn cached_tokens(&self, prefix: &[PrefixPart]) -> u32 {
        let mut cached: u32 = 0;
        for part in prefix {
            let known = self
                .parts
                .get(&part.id)
                .map_or(0, |known| known.tokens.min(part.tokens));
            cached = cached.saturating_add(known);
            if known < part.tokens {
                break;
            }
        }
        cached
    }

    /// Records that the prompt was sent to the replica. Evicts the least recently used parts beyond `max_tokens`.
    pub(crate) fn record(&mut self, prefix: &[PrefixPart], max_tokens: u64) {
        for part in prefix.iter().rev() {
            self.record_use(*part);
        }
        while self.tokens > max_tokens {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            if let Some(evicted) = self.parts.remove(&oldest) {
                self.tokens -= u64::from(evicted.tokens);
            }
        }
    }

    /// Removes all parts, for a replica that has restarted with an empty cache.
    pub(crate) fn clear(&mut self) {
        *self = PrefixCache::default();
    }

    fn record_use(&mut self, part: PrefixPart) {
        self.uses += 1;
        let newest = CachedPart {
            tokens: part.tokens,
            last_use: self.uses,
        };
        if let Some(known) = self.parts.insert(part.id, newest) {
            self.by_last_use.remove(&known.last_use);
            self.tokens -= u64::from(known.tokens);
        }
        self.by_last_use.insert(self.uses, part.id);
        self.tokens += u64::from(part.tokens);
    }
}

#[cfg(test)]
#[path = "../tests/unit/prefix_cache.rs"]
mod tests;
