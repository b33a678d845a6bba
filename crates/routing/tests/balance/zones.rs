//! Routing by the zone failover state that the tier has agreed on, and reports on zones.

use crate::settings::settings;
use crate::support::{listed, new_search, outcome, search_in_flight_at};
use rstest::rstest;
use std::collections::BTreeSet;
use woadreach_routing::api::{Ending, ListedReplica, NearZones, ZoneFailoverState, ZoneId};
use woadreach_routing::balancer::Balancer;

/// Two replicas in each of two zones, named by their zone's number: a0, b0, a1, b1.
fn two_zones() -> Balancer {
    let mut balancer = Balancer::new(settings());
    let lines = ["a0", "b0", "a1", "b1"].map(|n| {
        let zone = ZoneId(u64::from(n.ends_with('1')));
        ListedReplica {
            zone,
            ..listed(n, true, None)
        }
    });
    balancer.apply_endpoint_list(true, &lines);
    balancer
}

fn zone_failover(shares: [f64; 2], near: Option<f64>) -> Option<ZoneFailoverState> {
    let shares = shares
        .into_iter()
        .enumerate()
        .map(|(zone, share)| (ZoneId(zone as u64), share))
        .collect();
    let near = near.map(|cumulative_share| NearZones {
        zones: BTreeSet::from([ZoneId(0)]),
        cumulative_share,
    });
    Some(ZoneFailoverState {
        shares,
        near: near.into_iter().collect(),
    })
}

/// Sends 200 one-part searches, a millisecond apart and each answered at once. Returns the number sent to zone 0.
fn searches_to_zone_0(balancer: &mut Balancer, from: f64) -> usize {
    let mut searches = 0;
    for i in 0..200 {
        let now = from + 0.001 * f64::from(i);
        let mut search = new_search(5000 + u64::from(i as u32), 1, now, 3.0);
        let sent = balancer.place(now, &mut search).send;
        searches += usize::from(sent[0].replica.0.ends_with('0'));
        for (attempt_index, placement) in sent.iter().enumerate() {
            balancer.attempt_finished(
                now,
                Some(&mut search),
                &outcome(placement, attempt_index, Ending::Answered, 0.01),
            );
        }
    }
    searches
}

#[rstest]
#[case::not_connected(None, 70..130)]
#[case::both_zones_serve(zone_failover([1.0, 1.0], None), 70..130)]
#[case::one_zone_ejected(zone_failover([0.0, 1.0], None), 0..1)]
#[case::one_zone_being_restored(zone_failover([0.2, 1.0], None), 10..40)]
#[case::near_zone(zone_failover([1.0, 1.0], Some(1.0)), 200..201)]
#[case::near_zone_for_a_share(zone_failover([1.0, 1.0], Some(0.6)), 140..185)]
#[case::near_zone_ejected(zone_failover([0.0, 1.0], Some(0.0)), 0..1)]
#[case::both_zones_ejected(zone_failover([0.0, 0.0], None), 70..130)]
fn parts_follow_the_zone_failover_state(
    #[case] agreed: Option<ZoneFailoverState>,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut balancer = two_zones();
    balancer.set_zone_failover(0.0, agreed);
    let searches = searches_to_zone_0(&mut balancer, 1.0);
    assert!(expected.contains(&searches), "{searches} of 200");
}

/// The tier's agreement that a zone serves does not override this co-ordinator's own observations of a replica in it,
/// nor the endpoint list.
#[test]
fn zone_failover_does_not_override_the_health_of_a_replica() {
    let mut balancer = two_zones();
    let (mut search, placement) = search_in_flight_at(&mut balancer, "a0", 1.0);
    balancer.attempt_finished(
        1.0,
        Some(&mut search),
        &outcome(&placement, 0, Ending::Errored, 0.01),
    );
    balancer.set_zone_failover(1.1, zone_failover([0.0, 1.0], Some(1.0)));
    balancer.set_zone_failover(1.2, zone_failover([1.0, 1.0], Some(1.0)));
    let draining = ListedReplica {
        zone: ZoneId(0),
        ..listed("b0", false, None)
    };
    balancer.apply_endpoint_list(false, &[draining]);
    for i in 0..50 {
        let now = 1.2 + 0.001 * f64::from(i);
        let mut search = new_search(7000 + u64::from(i as u32), 1, now, 3.0);
        let placement = balancer.place(now, &mut search).send[0].clone();
        assert!(placement.replica.0.ends_with('1'), "{placement:?}");
        balancer.attempt_finished(
            now,
            Some(&mut search),
            &outcome(&placement, 0, Ending::Answered, 0.01),
        );
    }
}

/// A zone that the tier restores is restored at this co-ordinator at once. Its own sparse probes would take seconds.
#[test]
fn a_zone_restored_by_the_tier_is_restored_at_once() {
    let mut balancer = two_zones();
    balancer.set_zone_failover(1.0, zone_failover([0.0, 1.0], None));
    assert_eq!(searches_to_zone_0(&mut balancer, 1.1), 0);
    balancer.set_zone_failover(2.0, zone_failover([1.0, 1.0], None));
    assert!(searches_to_zone_0(&mut balancer, 2.1) > 50);
}

/// The report on a zone counts its last six parts within 2 s, or the uninterrupted sequence of failures up to now. An
/// overdue part in flight counts before it ends.
#[test]
fn zone_health_counts_overdue_parts() {
    let mut balancer = two_zones();
    searches_to_zone_0(&mut balancer, 1.0);
    let health = |balancer: &Balancer, now: f64| {
        let zones = balancer.zone_health(now).into_iter();
        let values = zones.map(|zone| (zone.zone.0, zone.seen, zone.failed, zone.capacity));
        values.collect::<Vec<_>>()
    };
    assert_eq!(health(&balancer, 1.2), [(0, 6, 0, 2.0), (1, 6, 0, 2.0)]);
    search_in_flight_at(&mut balancer, "a0", 1.3);
    assert_eq!(health(&balancer, 1.3), [(0, 6, 0, 2.0), (1, 6, 0, 2.0)]);
    assert_eq!(health(&balancer, 2.0)[0], (0, 7, 1, 2.0));
    assert_eq!(health(&balancer, 4.0), [(0, 1, 1, 2.0), (1, 0, 0, 2.0)]);
}
