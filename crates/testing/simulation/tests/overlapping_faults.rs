//! The end of a fault leaves what other faults that are still active have set.

mod support;

use support::{play_without_breach, read_world};
use woadreach_simulation::{Fault, FaultKind, Script};

/// One co-ordinator and one shard group of two replicas, in one zone; searches one after the other.
const WORLD: &str = r#"
seed = 3
seconds = 12.0
[fleet]
co_ordinators = 1
zones = 1
cells = 1
span = 1
shards = 1
replicas = 2
cores = 2
room = 64
clocks_apart = 0.0
way = 0.001
buffers = 131072
[load]
rate = 10.0
retries = 0
pause = 0.1
heeds = true
leaves = 0.0
[[query_type]]
name = "browse"
share = 1.0
latency_target = 0.2
client_timeout = 0.8
repeats = "idempotent"
window = 1.0
any_holder = true
need = 1.0
floor = 0.5
fetch = 0
least_parts = 1
most_parts = 1
work = 0.02
"#;

/// A fault of both replicas.
fn fault(at: f64, duration: f64, kind: FaultKind) -> Fault {
    Fault { at, duration, kind }
}

fn answered_in_time(faults: Vec<Fault>) -> u64 {
    let script = Script {
        faults,
        ..read_world("overlapping faults", WORLD)
    };
    play_without_breach(&script).answered_in_time
}

/// Searches answered in time with `kind` from second 2 to 10, and the same with a fault of the same kind, from second 1
/// to 3, before it.
fn with_and_without_overlap(kind: FaultKind) -> (u64, u64) {
    let long = fault(2.0, 8.0, kind.clone());
    let short = fault(1.0, 2.0, kind);
    (
        answered_in_time(vec![long.clone()]),
        answered_in_time(vec![short, long]),
    )
}

#[test]
fn replicas_stay_slow() {
    let replicas = vec![0, 1];
    let (alone, overlapped) = with_and_without_overlap(FaultKind::Slow {
        replicas,
        factor: 100.0,
    });
    assert!(
        overlapped <= alone,
        "{overlapped} answers in time, {alone} without the overlap"
    );
}

#[test]
fn replicas_stay_isolated() {
    let replicas = vec![0, 1];
    let (alone, overlapped) = with_and_without_overlap(FaultKind::Isolate { replicas });
    assert!(
        overlapped <= alone,
        "{overlapped} answers in time, {alone} without the overlap"
    );
}

#[test]
fn replicas_stay_hung() {
    let replicas = vec![0, 1];
    let (alone, overlapped) = with_and_without_overlap(FaultKind::Hang { replicas });
    assert!(
        overlapped <= alone,
        "{overlapped} answers in time, {alone} without the overlap"
    );
}

#[test]
fn searches_stay_expensive() {
    let (alone, overlapped) =
        with_and_without_overlap(FaultKind::ExpensiveSearches { factor: 50.0 });
    assert!(
        overlapped <= alone,
        "{overlapped} answers in time, {alone} without the overlap"
    );
}

#[test]
fn a_zone_stays_partitioned() {
    // The co-ordinator and replica 0 are in the first of two zones, replica 1 in the second.
    let world = WORLD.replace("zones = 1", "zones = 2");
    let gone = FaultKind::Crash {
        replicas: vec![0],
        listed_after_s: 0.1,
    };
    let partition = |both| FaultKind::Partition {
        from: 1,
        to: 0,
        both,
    };
    let long = fault(2.0, 8.0, partition(false));
    let short = fault(1.0, 2.0, partition(true));
    let answered_in_time = |partitions: &[Fault]| {
        let mut faults = vec![fault(0.5, 11.0, gone.clone())];
        faults.extend_from_slice(partitions);
        let script = Script {
            faults,
            ..read_world("overlapping partitions", &world)
        };
        play_without_breach(&script).answered_in_time
    };
    let alone = answered_in_time(std::slice::from_ref(&long));
    let overlapped = answered_in_time(&[short, long]);
    assert!(
        overlapped <= alone,
        "{overlapped} answers in time, {alone} without the overlap"
    );
}
