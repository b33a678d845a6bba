//! Effects of a new configuration: changed latency targets and removed routes.

use super::*;

const NAME: &str = "r";

fn name() -> Arc<str> {
    Arc::from(NAME)
}

#[test]
fn a_changed_target_changes_the_thresholds_of_a_route_without_samples() {
    let mut routes = LatenciesByRoute::default();
    let key = routes.key(&name(), 0.2);
    assert_eq!(
        (routes.late_threshold(key), routes.lost_threshold(key)),
        (0.2, 0.2 * 1.5)
    );
    assert_eq!(routes.key(&name(), 2.0), key);
    assert_eq!(
        (routes.late_threshold(key), routes.lost_threshold(key)),
        (2.0, 3.0)
    );
    assert_eq!(routes.get(key).unwrap().recent_median(), 0.2);
    assert_eq!(routes.unloaded_median(0.0, key), 0.2);
}

#[test]
fn a_changed_target_changes_the_lower_bound_of_the_late_threshold() {
    let mut routes = LatenciesByRoute::default();
    let key = routes.key(&name(), 0.8);
    for _ in 0..MIN_SAMPLES {
        routes.get_mut(key).unwrap().record(0.001);
    }
    assert_eq!(routes.late_threshold(key), 0.8 * MIN_LATE_SHARE_OF_TARGET);
    routes.key(&name(), 1.6);
    assert_eq!(routes.late_threshold(key), 1.6 * MIN_LATE_SHARE_OF_TARGET);
}

#[test]
fn a_removed_route_is_kept_until_its_calls_have_ended() {
    let mut routes = LatenciesByRoute::default();
    let key = routes.key(&name(), 0.2);
    routes.get_mut(key).unwrap().record(5.0);
    routes.retain(&BTreeSet::from(["other"]), &BTreeSet::from([key]));
    assert!(routes.get(key).is_some(), "a call is in flight");
    routes.retain(&BTreeSet::from([NAME]), &BTreeSet::new());
    assert!(routes.get(key).is_some(), "the route is configured");
    routes.retain(&BTreeSet::from(["other"]), &BTreeSet::new());
    assert!(routes.get(key).is_none());
    assert!(routes.keys.is_empty() && routes.routes.is_empty());
    assert_ne!(routes.key(&name(), 0.2), key, "keys are never reused");
}
