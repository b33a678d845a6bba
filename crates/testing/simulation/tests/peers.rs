//! Co-ordinators that speak with each other, on the virtual clock: zones lost, cut off and sound.

use rstest::rstest;
use woadreach_simulation::{Fault, FaultKind, Options, Outcome, Peers, Script, play};

/// Six co-ordinators in three zones, a replica of each of two cells in every zone.
const TIER: &str = r#"
seed = 12
seconds = 24.0
[fleet]
co_ordinators = 6
zones = 3
cells = 2
span = 1
shards = 6
replicas = 6
cores = 2
room = 64
clocks_apart = 2.0
way = 0.001
buffers = 131072
[settings]
per_call = 2
cancelling = true
copies = true
attempts = 3
streams = 100
descriptors = 256
retry_after = true
marks_repeats = false
drain_grace = 0.5
connect_timeout = 0.25
idle_close = 30.0
cold = { from = 0.25, time = 4.0, multiple = 2.0, window = 2.0 }
[load]
rate = 6.0
retries = 1
pause = 0.1
heeds = true
leaves = 0.0
[peers]
lost = 0.05
doubled = 0.02
late = 0.01
[[query_type]]
name = "browse"
share = 1.0
latency_target = 0.6
client_timeout = 1.5
repeats = "idempotent"
window = 1.0
any_holder = true
need = 1.0
floor = 0.5
fetch = 0
least_parts = 2
most_parts = 4
work = 0.02
"#;

/// The replicas of one zone: r by r, cell after cell.
fn of_zone(zone: usize) -> Vec<usize> {
    (0..12).filter(|r| r % 6 % 3 == zone).collect()
}

fn tier(faults: &[(f64, f64, FaultKind)], change: impl FnOnce(&mut Script)) -> Script {
    let mut script = Script::read("tier", TIER).unwrap_or_else(|bad| panic!("{bad}"));
    let faults = faults.iter().map(|(at, lasts, kind)| Fault {
        at: *at,
        duration: *lasts,
        kind: kind.clone(),
    });
    script.faults = faults.collect();
    change(&mut script);
    script
}

fn play_without_breach(script: &Script) -> Outcome {
    let outcome = play(script, Options::default());
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
    outcome
}

/// Who came to hold that this zone is out, each with the seconds since the fault.
fn out(outcome: &Outcome, zone: usize, since: f64) -> Vec<(usize, f64)> {
    let mut first: Vec<(usize, f64)> = Vec::new();
    for v in outcome
        .verdicts
        .iter()
        .filter(|v| v.zone == zone && v.epoch % 2 == 1 && v.at > since)
    {
        if !first.iter().any(|f| f.0 == v.node.0) {
            first.push((v.node.0, v.at - since));
        }
    }
    first
}

/// With six parts a second a member to each zone two of them have to be seen lost by most, and loss takes a
/// quarter of the target to be told from business: up to 2.5 s here, under 1 s at the rates of `woadreach
/// cluster play`.
#[rstest]
#[case::silent(FaultKind::Isolate { replicas: of_zone(1) })]
#[case::dead_and_back_cold(FaultKind::Crash { replicas: of_zone(1), listed_after: 4.0 })]
#[case::slow_not_dead(FaultKind::Slow { replicas: of_zone(1), factor: 30.0 })]
#[case::answers_errors(FaultKind::AnswerErrors { replicas: of_zone(1), share: 1.0 })]
fn a_failed_zone_is_ejected_by_all_and_restored(#[case] kind: FaultKind) {
    let outcome = play_without_breach(&tier(&[(8.0, 5.0, kind)], |_| {}));
    let held = out(&outcome, 1, 8.0);
    assert_eq!(held.len(), 6, "{:?}", outcome.verdicts);
    assert!(held.iter().all(|h| h.1 < 3.0), "{held:?}");
    assert!(
        outcome.verdicts.iter().all(|v| v.zone == 1),
        "{:?}",
        outcome.verdicts
    );
    let last = outcome.verdicts.iter().map(|v| v.epoch).max();
    assert_eq!(
        last.map(|e| e % 2),
        Some(0),
        "it is back: {:?}",
        outcome.verdicts
    );
    assert!(last < Some(7), "no flapping: {:?}", outcome.verdicts);
}

/// Its own co-ordinators see all else fail, and shift nobody.
#[test]
fn a_partitioned_zone_shifts_no_other_zone() {
    let cut = |to| {
        (
            8.0,
            8.0,
            FaultKind::Partition {
                from: 2,
                to,
                both: true,
            },
        )
    };
    let outcome = play_without_breach(&tier(&[cut(0), cut(1)], |_| {}));
    let held = out(&outcome, 2, 8.0);
    assert!(
        held.iter().filter(|h| h.0 % 3 != 2).count() == 4,
        "{:?}",
        outcome.verdicts
    );
    assert!(
        outcome.verdicts.iter().all(|v| v.zone == 2),
        "{:?}",
        outcome.verdicts
    );
}

/// Loss in one direction only: what leaves the zone is lost.
#[test]
fn a_zone_that_nobody_hears_is_ejected() {
    let cut = |to| {
        (
            8.0,
            6.0,
            FaultKind::Partition {
                from: 2,
                to,
                both: false,
            },
        )
    };
    let outcome = play_without_breach(&tier(&[cut(0), cut(1)], |_| {}));
    assert!(
        out(&outcome, 2, 8.0)
            .iter()
            .filter(|h| h.0 % 3 != 2)
            .count()
            == 4,
        "{:?}",
        outcome.verdicts
    );
    assert!(
        outcome.verdicts.iter().all(|v| v.zone == 2),
        "{:?}",
        outcome.verdicts
    );
}

#[rstest]
#[case::loss_alone(&[], 0.3)]
#[case::overload(&[(8.0, 6.0, FaultKind::LoadBurst { factor: 5.0 })], 0.0)]
#[case::most_co_ordinators_killed(&[(8.0, 3.0, FaultKind::KillCoordinators { co_ordinators: vec![0, 1, 2, 3] })], 0.0)]
fn no_zone_is_shifted(#[case] faults: &[(f64, f64, FaultKind)], #[case] lost: f64) {
    for seed in 0..4 {
        let outcome = play_without_breach(&tier(faults, |s| {
            s.seed = seed;
            s.peers = Some(Peers {
                loss: lost,
                duplication: 0.02,
                max_delay: 0.05,
            });
        }));
        assert!(
            outcome.verdicts.is_empty(),
            "seed {seed}: {:?}",
            outcome.verdicts
        );
        assert!(outcome.datagrams > 0);
    }
}

/// Two of three zones are lost, and all co-ordinators live: at most one is out at a time, and a lost one.
#[test]
fn of_two_failed_zones_at_most_one_is_ejected() {
    let both = FaultKind::Isolate {
        replicas: [of_zone(0), of_zone(1)].concat(),
    };
    let outcome = play_without_breach(&tier(&[(8.0, 5.0, both)], |_| {}));
    let mut epochs = [[0; 3]; 6];
    for v in &outcome.verdicts {
        epochs[v.node.0][v.zone] = v.epoch;
        let out = epochs[v.node.0].iter().filter(|e| **e % 2 == 1).count();
        assert!(v.zone != 2 && out <= 1, "{:?}", outcome.verdicts);
    }
}

/// Where they may not speak nothing is sent, and a lost zone is each one's own affair.
#[test]
fn without_peers_nothing_is_sent() {
    let outcome = play_without_breach(&tier(
        &[(
            8.0,
            5.0,
            FaultKind::Isolate {
                replicas: of_zone(1),
            },
        )],
        |s| s.peers = None,
    ));
    assert_eq!((outcome.datagrams, outcome.verdicts.len()), (0, 0));
}
