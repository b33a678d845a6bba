//! The proof of a breach.

use crate::support::{COMPLETE, answered, requested, sent_at, terms};
use woadreach_invariants::{Checker, Event};

/// The proof consists of the events of the search up to the breach.
#[test]
fn proof_contains_events_of_the_search() {
    let mut checker = Checker::new(terms());
    for (at, kind) in [(0.0, requested(0)), (0.1, sent_at(0, "a", 0.1))] {
        assert!(checker.check(&Event { at, kind }).is_empty());
    }
    assert_eq!(checker.open_searches(), 1);
    let found = checker.check(&Event {
        at: 0.2,
        kind: answered(true, &COMPLETE),
    });
    assert_eq!(
        (found.len(), found[0].proof.len(), checker.open_searches()),
        (1, 3, 0)
    );
    assert!(
        found[0]
            .why
            .contains("no replica computed the value of shard 0"),
        "{}",
        found[0].why
    );
}
