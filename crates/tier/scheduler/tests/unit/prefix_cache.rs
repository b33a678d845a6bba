//! Estimate of cached prompt parts: cached heads, eviction and overflow.

use super::*;

fn part(id: u64, tokens: u32) -> PrefixPart {
    PrefixPart { id, tokens }
}

#[test]
fn parts_after_the_first_uncached_part_do_not_count() {
    let mut cache = PrefixCache::default();
    cache.record(&[part(1, 100), part(2, 50), part(3, 25)], 1_000);
    let cases: [(&[PrefixPart], u32); 5] = [
        (&[part(1, 100), part(2, 50), part(3, 25)], 175),
        (&[part(1, 100), part(9, 50), part(3, 25)], 100),
        (&[part(9, 100), part(2, 50)], 0),
        (&[part(1, 100), part(2, 80), part(3, 25)], 150),
        (&[], 0),
    ];
    for (prefix, cached) in cases {
        assert_eq!(cache.cached_tokens(prefix), cached, "{prefix:?}");
    }
}

#[test]
fn the_least_recently_used_parts_are_evicted() {
    let mut cache = PrefixCache::default();
    cache.record(&[part(1, 100)], 250);
    cache.record(&[part(2, 100)], 250);
    cache.record(&[part(1, 100)], 250);
    cache.record(&[part(3, 100)], 250);
    let cached: Vec<u32> = (1..=3)
        .map(|id| cache.cached_tokens(&[part(id, 100)]))
        .collect();
    assert_eq!(cached, [100, 0, 100]);
}

#[test]
fn the_tail_of_a_prompt_is_evicted_before_its_head() {
    let mut cache = PrefixCache::default();
    cache.record(&[part(1, 100), part(2, 100)], 150);
    assert_eq!(cache.cached_tokens(&[part(1, 100), part(2, 100)]), 100);
}

#[test]
fn the_number_of_cached_tokens_saturates() {
    let mut cache = PrefixCache::default();
    let huge: Vec<PrefixPart> = (0..64).map(|id| part(id, u32::MAX)).collect();
    cache.record(&huge, u64::MAX);
    assert_eq!(cache.cached_tokens(&huge), u32::MAX);
}
