//! Selection of the replicas in a member's quota reports when there are more than fit into one report.

use std::collections::{BTreeMap, BTreeSet};

use woadreach_lease::{LocalDemand, QuotaConfig, QuotaShare, ReplicaDemand, ReplicaKey};

const REPLICAS: u32 = 80;
/// Limit on the number of replicas in one report.
const REPORT_SIZE: usize = 32;

fn demands(parts_of: impl Fn(u32) -> u32) -> Vec<LocalDemand> {
    (0..REPLICAS)
        .map(|key| LocalDemand {
            replica: ReplicaKey(key),
            parts: parts_of(key),
            sent_recently: false,
        })
        .collect()
}

fn report(share: &mut QuotaShare, now: f64) -> Vec<ReplicaDemand> {
    // All replicas are in the only bucket, and the beacon of its allocator has just been received.
    share.take_report(now, 0, 1, 0.0)
}

/// Guards against reports that always select the same idle replicas, so that the others are never released.
#[test]
fn idle_replicas_are_reported_round_robin() {
    let mut share = QuotaShare::new(4, QuotaConfig::default());
    share.record_demand(0.0, &demands(|_| 0));
    let mut reported = BTreeSet::new();
    for round in 0..3 {
        let now = 1000.0 + f64::from(round);
        share.record_demand(now, &demands(|_| 0));
        let report = report(&mut share, now);
        assert_eq!(report.len(), REPORT_SIZE);
        reported.extend(report.iter().map(|demand| demand.replica));
    }
    assert_eq!(reported.len(), REPLICAS as usize);
}

/// Guards against demand that is never reported, or only in part, because idle replicas fill each report.
#[test]
fn demand_after_many_idle_replicas_is_reported_completely() {
    let mut share = QuotaShare::new(4, QuotaConfig::default());
    share.record_demand(0.0, &demands(|_| 0));
    share.record_demand(
        1000.0,
        &demands(|key| if key == REPLICAS - 1 { 7 } else { 0 }),
    );
    let mut parts: BTreeMap<ReplicaKey, u32> = BTreeMap::new();
    for _ in 0..3 {
        for demand in report(&mut share, 1000.0) {
            *parts.entry(demand.replica).or_default() += u32::from(demand.parts);
        }
    }
    assert_eq!(parts[&ReplicaKey(REPLICAS - 1)], 7);
    assert_eq!(parts.values().sum::<u32>(), 7);
}
