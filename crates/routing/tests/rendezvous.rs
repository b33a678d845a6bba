//! Rendezvous hashing: agreement on a candidate, even distribution of keys, and stability when a candidate is removed.

use woadreach_routing::rendezvous::rank;

fn winner(key: u64, candidates: &[String]) -> &String {
    candidates
        .iter()
        .max_by_key(|candidate| rank(&key.to_le_bytes(), candidate))
        .expect("a candidate")
}

fn candidates(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("i-{number:08x}")).collect()
}

#[test]
fn the_order_of_the_candidates_does_not_matter() {
    let list = candidates(40);
    let reversed: Vec<String> = list.iter().rev().cloned().collect();
    for key in 0..200 {
        assert_eq!(winner(key, &list), winner(key, &reversed));
    }
}

#[test]
fn keys_are_distributed_evenly() {
    let list = candidates(50);
    let wins = |candidate: &String| {
        (0..2_000)
            .filter(|key| winner(*key, &list) == candidate)
            .count()
    };
    for candidate in &list {
        let won = wins(candidate);
        assert!(
            (20..=65).contains(&won),
            "{candidate} won {won} of 2,000, 40 expected"
        );
    }
}

#[test]
fn removing_a_candidate_moves_only_its_keys() {
    let list = candidates(20);
    for key in 0..500 {
        let before = winner(key, &list);
        if *before != list[7] {
            let without: Vec<String> = list
                .iter()
                .filter(|one| **one != list[7])
                .cloned()
                .collect();
            assert_eq!(winner(key, &without), before);
        }
    }
}
