//! Which prompt parts a replica's KV cache is likely to hold, by what this process has sent there.

use std::collections::BTreeMap;

use crate::call::PrefixPart;

/// The parts known of one replica; those unused longest give way.
///
/// Other processes fill the same memory unseen, so only a share of it is counted on.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    parts: BTreeMap<u64, CachedPart>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

impl PrefixCache {
    /// Tokens at the head of this prompt that need not be read again: a part counts if all before it do.
    pub fn cached_tokens(&self, prefix: &[PrefixPart]) -> u32 {
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

    /// The replica has been given this prompt; at most `most` tokens are counted on.
    pub fn record(&mut self, prefix: &[PrefixPart], most: u64) {
        for part in prefix.iter().rev() {
            self.touch(*part);
        }
        while self.tokens > most {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(gone) = self.parts.remove(&oldest) {
                self.tokens -= u64::from(gone.tokens);
            }
        }
    }

    /// Nothing is known any more, as after a restart of the replica.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }

    fn touch(&mut self, part: PrefixPart) {
        self.uses += 1;
        let newest = CachedPart {
            tokens: part.tokens,
            last_use: self.uses,
        };
        if let Some(known) = self.parts.insert(part.id, newest) {
            self.by_use.remove(&known.last_use);
            self.tokens -= u64::from(known.tokens);
        }
        self.by_use.insert(self.uses, part.id);
        self.tokens += u64::from(part.tokens);
    }
}

#[cfg(test)]
#[path = "../tests/unit/prefix_cache.rs"]
mod tests;
