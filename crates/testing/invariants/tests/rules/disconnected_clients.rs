//! Nothing is sent for a client that has disconnected.

use crate::support::{requested, rules_of, sent_at, terms};
use rstest::rstest;
use woadreach_invariants::{Checker, Event, EventKind, Rule, Terms};

/// A client disconnects at 0.2 s. Attempts that begin up to 0.1 s plus the slack of the terms later are
/// allowed. Of later ones, each from the third on is a breach.
#[rstest]
#[case::within_grace(&[0.21, 0.3, 0.34, 0.34], 0)]
#[case::two_late_attempts(&[0.36, 0.5], 0)]
#[case::three_late_attempts(&[0.36, 0.5, 0.6], 1)]
#[case::four_late_attempts(&[0.36, 0.5, 0.6, 0.7], 2)]
fn attempts_for_a_disconnected_client(#[case] at: &[f64], #[case] breaches: usize) {
    let mut checker = Checker::new(Terms {
        retry_budget: None,
        slow_start: None,
        ..terms()
    });
    let mut all = checker.check(&Event {
        at: 0.0,
        kind: requested(0),
    });
    all.extend(checker.check(&Event {
        at: 0.2,
        kind: EventKind::ClientDisconnected { search: "s".into() },
    }));
    for at in at {
        all.extend(checker.check(&Event {
            at: *at,
            kind: sent_at(0, "a", *at),
        }));
    }
    assert_eq!(rules_of(&all), vec![Rule::Sound; breaches]);
}
