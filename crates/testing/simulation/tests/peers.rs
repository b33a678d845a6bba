//! Runs of co-ordinators that exchange datagrams, on the virtual clock: which zones they eject when zones fail, are
//! partitioned, or work.

mod support;

use rstest::rstest;
use support::{play_without_breach, read_world};
use woadreach_invariants::CoordinatorId;
use woadreach_simulation::{Fault, FaultKind, Outcome, Peers, Script};

/// Six co-ordinators and two shard groups of six replicas, in three zones.
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

/// The replicas of one zone.
fn replicas_of_zone(zone: usize) -> Vec<usize> {
    (0..12).filter(|r| r % 6 % 3 == zone).collect()
}

fn tier_with_faults(faults: &[Fault]) -> Script {
    Script {
        faults: faults.to_vec(),
        ..read_world("tier", TIER)
    }
}

/// A co-ordinator's first verdict that a zone is out of service.
#[derive(Debug)]
struct Ejection {
    node: CoordinatorId,
    /// Seconds from the zone's fault to the verdict.
    delay_s: f64,
}

/// The first ejection of a zone by each co-ordinator, after a fault that began at `since`, in seconds.
fn ejections(outcome: &Outcome, zone: usize, since: f64) -> Vec<Ejection> {
    let mut first: Vec<Ejection> = Vec::new();
    let of_zone = outcome
        .verdicts
        .iter()
        .filter(|verdict| verdict.zone == zone && is_ejected(verdict.epoch));
    for verdict in of_zone.filter(|verdict| verdict.at_s > since) {
        if !first.iter().any(|known| known.node == verdict.node) {
            first.push(Ejection {
                node: verdict.node,
                delay_s: verdict.at_s - since,
            });
        }
    }
    first
}

/// Whether a zone is out of service under the verdict of this epoch.
fn is_ejected(epoch: u32) -> bool {
    epoch % 2 == 1
}

/// Each co-ordinator sends six parts per second to each zone, and most co-ordinators have to see two of them fail.
/// A failure is distinguished from a high load after a quarter of the latency target. That takes up to 2.5 s here,
/// and less than 1 s at the rates of `woadreach cluster play`.
#[rstest]
#[case::isolated(FaultKind::Isolate { replicas: replicas_of_zone(1) })]
#[case::crashed_and_warming_up(FaultKind::Crash { replicas: replicas_of_zone(1), listed_after_s: 4.0 })]
#[case::slow(FaultKind::Slow { replicas: replicas_of_zone(1), factor: 30.0 })]
#[case::answers_errors(FaultKind::AnswerErrors { replicas: replicas_of_zone(1), share: 1.0 })]
fn a_failed_zone_is_ejected_by_all_and_restored(#[case] kind: FaultKind) {
    let fault = Fault {
        at: 8.0,
        duration: 5.0,
        kind,
    };
    let outcome = play_without_breach(&tier_with_faults(&[fault]));
    let ejections = ejections(&outcome, 1, 8.0);
    assert_eq!(ejections.len(), 6, "{:?}", outcome.verdicts);
    assert!(
        ejections.iter().all(|ejection| ejection.delay_s < 3.0),
        "{ejections:?}"
    );
    assert!(
        outcome.verdicts.iter().all(|v| v.zone == 1),
        "{:?}",
        outcome.verdicts
    );
    let last = outcome.verdicts.iter().map(|v| v.epoch).max();
    assert_eq!(
        last.map(|e| e % 2),
        Some(0),
        "the zone is restored: {:?}",
        outcome.verdicts
    );
    assert!(last < Some(7), "no flapping: {:?}", outcome.verdicts);
}

/// A fault from 8 s on that partitions zone 2 from the other two: what it sends to them is lost, and if `both`,
/// what they send to it as well.
fn partition_zone_2(duration: f64, both: bool) -> [Fault; 2] {
    [0, 1].map(|to| Fault {
        at: 8.0,
        duration,
        kind: FaultKind::Partition { from: 2, to, both },
    })
}

/// All four co-ordinators of the other zones eject zone 2, and nobody ejects another zone.
fn assert_only_zone_2_is_ejected(outcome: &Outcome) {
    let outside = ejections(outcome, 2, 8.0)
        .iter()
        .filter(|ejection| ejection.node.0 % 3 != 2)
        .count();
    assert!(outside == 4, "{:?}", outcome.verdicts);
    assert!(
        outcome.verdicts.iter().all(|verdict| verdict.zone == 2),
        "{:?}",
        outcome.verdicts
    );
}

/// The co-ordinators of the partitioned zone see all other zones fail, and eject none of them.
#[test]
fn a_partitioned_zone_ejects_no_other_zone() {
    let faults = partition_zone_2(8.0, true);
    let outcome = play_without_breach(&tier_with_faults(&faults));
    assert_only_zone_2_is_ejected(&outcome);
}

/// The partition is in one direction only: what the zone sends is lost.
#[test]
fn a_zone_that_nobody_hears_is_ejected() {
    let faults = partition_zone_2(6.0, false);
    let outcome = play_without_breach(&tier_with_faults(&faults));
    assert_only_zone_2_is_ejected(&outcome);
}

#[rstest]
#[case::loss_alone(&[], 0.3)]
#[case::overload(&[Fault { at: 8.0, duration: 6.0, kind: FaultKind::LoadBurst { factor: 5.0 } }], 0.0)]
#[case::most_co_ordinators_killed(&[Fault { at: 8.0, duration: 3.0, kind: FaultKind::KillCoordinators { co_ordinators: vec![0, 1, 2, 3] } }], 0.0)]
fn no_zone_is_ejected(#[case] faults: &[Fault], #[case] loss: f64) {
    for seed in 0..4 {
        let outcome = play_without_breach(&Script {
            seed,
            peers: Some(Peers {
                loss,
                duplication: 0.02,
                max_delay_s: 0.05,
            }),
            ..tier_with_faults(faults)
        });
        assert!(
            outcome.verdicts.is_empty(),
            "seed {seed}: {:?}",
            outcome.verdicts
        );
        assert!(outcome.datagrams > 0);
    }
}

/// The replicas of two of three zones are isolated, and all co-ordinators run: at most one zone is ejected at a
/// time, and never the one that works.
#[test]
fn of_two_failed_zones_at_most_one_is_ejected() {
    let isolation = Fault {
        at: 8.0,
        duration: 5.0,
        kind: FaultKind::Isolate {
            replicas: [replicas_of_zone(0), replicas_of_zone(1)].concat(),
        },
    };
    let outcome = play_without_breach(&tier_with_faults(&[isolation]));
    // The epoch of the last verdict of each co-ordinator on each zone.
    let mut epochs = [[0; 3]; 6];
    for verdict in &outcome.verdicts {
        let of_node = &mut epochs[verdict.node.0];
        of_node[verdict.zone] = verdict.epoch;
        let ejected = of_node.iter().filter(|epoch| is_ejected(**epoch)).count();
        assert!(verdict.zone != 2 && ejected <= 1, "{:?}", outcome.verdicts);
    }
}

/// Co-ordinators that exchange no datagrams send none, and adopt no verdicts on a failed zone.
#[test]
fn without_peers_nothing_is_sent() {
    let isolation = Fault {
        at: 8.0,
        duration: 5.0,
        kind: FaultKind::Isolate {
            replicas: replicas_of_zone(1),
        },
    };
    let outcome = play_without_breach(&Script {
        peers: None,
        ..tier_with_faults(&[isolation])
    });
    assert_eq!((outcome.datagrams, outcome.verdicts.len()), (0, 0));
}
