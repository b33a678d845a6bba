//! Table-driven tests of the modules of `decide` that do not depend on searches, and that any proxy can use.

mod settings;

use rstest::rstest;
use woadreach_routing::api::{RetryBudgetConfig, Settings};
use woadreach_routing::decide::{
    Backpressure, Candidates, DeadlineQueue, EjectionConfig, HealthChange, LatencyLimits,
    Observation, OutlierDetector, PartBudget, RetryBudget, UnloadedLatency,
};

const EJECTION: EjectionConfig = EjectionConfig {
    window: 8,
    min_failures: 2,
};

/// Latencies of these replicas: for each the given number of samples, 0.1 s, 0.2 s and so on, all recorded at time 0.
fn latencies(replicas: &[(&'static str, usize)]) -> UnloadedLatency<&'static str> {
    let mut all = UnloadedLatency::new(0.05);
    for (replica, count) in replicas {
        (1..=*count).for_each(|n| all.record(0.0, replica, n as f64 / 10.0, false));
    }
    all
}

#[rstest]
#[case::no_samples(&[], 0.0, Some("a"), 0.05)]
#[case::own_samples(&[("a", 10)], 0.0, Some("a"), 0.5)]
#[case::too_few_own_samples(&[("a", 7), ("b", 10)], 0.0, Some("a"), 0.5)]
#[case::no_own_samples(&[("b", 10)], 0.0, Some("a"), 0.5)]
#[case::average_requested(&[("a", 10), ("b", 30)], 0.0, None, 1.0)]
#[case::own_samples_expired(&[("a", 8), ("b", 2)], 20.0, Some("a"), 0.3)]
#[case::own_samples_almost_expired(&[("a", 8), ("b", 2)], 19.9, Some("a"), 0.4)]
fn unloaded_quantile(
    #[case] sample_counts: &[(&'static str, usize)],
    #[case] now: f64,
    #[case] replica: Option<&'static str>,
    #[case] median: f64,
) {
    assert_eq!(
        latencies(sample_counts).quantile(now, replica.as_ref(), 0.5),
        median
    );
}

#[test]
fn own_samples_are_the_latest_and_those_of_ejected_replicas_are_not_the_fleets() {
    let mut all = UnloadedLatency::new(0.05);
    (0..40).for_each(|n| all.record(0.0, &"a", f64::from(n), true));
    assert_eq!(all.own(0.0, &"a"), Some((8..40).map(f64::from).collect()));
    assert_eq!(all.fleet(), Vec::<f64>::new());
    all.forget(&"a");
    assert_eq!(all.own(0.0, &"a"), None);
}

/// Checks the result against its definition: the smallest sample at which the product of the shares of samples up to it
/// reaches `p`.
#[rstest]
#[case::one(&["a"], 0.7, 0.7)]
#[case::two_equal(&["a", "b"], 0.48, 0.7)]
#[case::two_equal_high_probability(&["a", "b"], 0.7, 0.9)]
#[case::slow_and_fast(&["a", "c"], 0.7, 1.4)]
#[case::two_average(&["x", "x"], 0.25, 1.1)]
fn product_of_distributions(#[case] replicas: &[&'static str], #[case] p: f64, #[case] time: f64) {
    let all = latencies(&[("a", 10), ("b", 10), ("c", 20)]);
    let replicas: Vec<_> = replicas.iter().map(Some).collect();
    let found = all.product_quantile(0.0, &replicas, p);
    let share = |replica: &&str, t: f64| {
        let samples = all.samples(0.0, Some(replica));
        samples.iter().filter(|s| **s <= t).count() as f64 / samples.len() as f64
    };
    let product = |t: f64| {
        replicas
            .iter()
            .map(|r| share(r.unwrap(), t))
            .product::<f64>()
    };
    assert!(
        product(found) >= p && product(found - 0.05) < p,
        "{found}: {}",
        product(found)
    );
    assert!(
        (found - time).abs() < 1e-9 || replicas[0] == Some(&"x"),
        "{found}"
    );
}

#[rstest]
#[case::one_part(1, 0.7)]
#[case::two_parts(2, 0.7_f64.sqrt())]
#[case::limited_by_the_number_of_samples(40, 1.0 - 1.0 / 16.0)]
#[case::no_parts_count_as_one(0, 0.7)]
fn part_quantile_is_the_kth_root(#[case] k: usize, #[case] quantile: f64) {
    assert!((PartBudget::default().part_quantile(k) - quantile).abs() < 1e-12);
}

#[test]
fn queuing_deadline_is_the_target_less_the_unloaded_latency() {
    let (budget, all) = (PartBudget::default(), latencies(&[("a", 10)]));
    assert!((budget.queuing_deadline(0.0, 5.0, &all, &[Some(&"a")]) - 4.3).abs() < 1e-9);
    assert_eq!(
        budget.queuing_deadline(0.0, 5.0, &latencies(&[]), &[Some(&"a")]),
        4.95
    );
    let tail = budget.tail(0.0, &all, Some(&"a"), 1);
    assert!(
        PartBudget::cannot_finish_in_time(tail - 0.01, tail)
            && !PartBudget::cannot_finish_in_time(tail, tail)
    );
}

/// Calls are blocked only while more are in flight than when backpressure began, and only until as many answers have
/// been received.
#[rstest]
#[case::none_in_flight(0, 0, 1)]
#[case::two_in_flight(2, 2, 2)]
fn backpressure_begins_and_ends(
    #[case] in_flight: usize,
    #[case] allowed: usize,
    #[case] answers: usize,
) {
    let mut backpressure = Backpressure::default();
    assert!(!backpressure.blocks(100));
    backpressure.begin(in_flight);
    assert!(!backpressure.blocks(allowed) && backpressure.blocks(allowed + 1));
    (1..answers).for_each(|_| backpressure.record_answer());
    assert!(backpressure.blocks(allowed + 1));
    backpressure.record_answer();
    assert!(!backpressure.blocks(100));
}

#[test]
fn the_earliest_deadline_is_first_even_if_it_has_passed() {
    let mut queue = DeadlineQueue::default();
    for (deadline, call) in [(3.0, 1), (-1.0, 2), (2.0, 3)] {
        queue.insert(&"a", deadline, call);
    }
    assert!(
        queue.is_behind(&"a", 0.0, 4)
            && !queue.is_behind(&"a", -2.0, 4)
            && !queue.is_behind(&"b", 9.0, 4)
    );
    let mut order = Vec::new();
    for (call, deadline) in [(2, -1.0), (3, 2.0), (1, 3.0)] {
        order.extend(queue.first(&"a"));
        queue.remove(&"a", deadline, call);
    }
    assert_eq!((order, queue.first(&"a")), (vec![2, 3, 1], None));
    queue.insert(&"a", 1.0, 1);
    queue.forget(&"a");
    assert_eq!(queue.first(&"a"), None);
}

#[test]
fn the_least_load_is_chosen_with_ties_at_random() {
    let mut rng = oorandom::Rand64::new(1);
    let mut counts = [0; 4];
    for _ in 0..300 {
        let mut candidates = Candidates::new(0..4);
        candidates.prefer(|r| *r > 9); // prefers none, so that all are kept
        candidates.require(|r| *r != 3);
        counts[candidates.choose(|r| [1, 0, 0, 0][*r], &mut rng).unwrap()] += 1;
    }
    assert_eq!((counts[0], counts[3]), (0, 0));
    assert!(counts[1] > 100 && counts[2] > 100, "{counts:?}");
    let mut none = Candidates::new(0..0);
    assert!(none.is_empty() && none.choose(|_| 0, &mut rng).is_none());
}

fn call(at: f64, class: u8, failed: bool) -> Observation<u8> {
    Observation {
        at,
        sent_at: at,
        class,
        failed,
    }
}

#[rstest]
#[case::two_failures(&[true, true], true)]
#[case::one_failure(&[true], false)]
#[case::half(&[false, false, true, true], true)]
#[case::below_half(&[false, false, false, true, true], false)]
fn ejected_if_half_of_the_calls_fail(#[case] calls: &[bool], #[case] ejected: bool) {
    let mut detector = OutlierDetector::default();
    let change = calls.iter().fold(None, |_, failed| {
        detector.observe(EJECTION, call(0.0, 0, *failed))
    });
    assert_eq!(
        (detector.is_ejected(), change),
        (ejected, ejected.then_some(HealthChange::Ejected))
    );
}

#[test]
fn old_failures_do_not_count() {
    let mut detector = OutlierDetector::default();
    detector.observe(EJECTION, call(0.0, 0, true));
    assert_eq!(detector.observe(EJECTION, call(10.0, 0, true)), None);
}

#[test]
fn four_successful_probes_restore_and_failed_probes_double_the_interval() {
    let mut detector = OutlierDetector::default();
    detector.eject(0.0, None);
    assert!(!detector.probe_due(0.9, 0) && detector.probe_due(1.0, 0));
    detector.probe_sent(1.0);
    assert!(!detector.probe_due(1.9, 0) && detector.probe_due(2.0, 0));
    for at in [2.0, 4.0, 8.0, 12.0] {
        detector.observe(EJECTION, call(at, 0, true));
        detector.probe_sent(at);
    }
    assert!(!detector.probe_due(15.9, 0) && detector.probe_due(16.0, 0));
    for at in [16.0, 17.0, 18.0] {
        assert_eq!(detector.observe(EJECTION, call(at, 0, false)), None);
        assert!(detector.probe_due(at, 0));
    }
    assert_eq!(
        detector.observe(EJECTION, call(19.0, 0, false)),
        Some(HealthChange::Restored)
    );
    assert!(!detector.is_ejected());
}

/// If the calls of other classes succeed, only the failing class is ejected. The ejection is extended to all classes
/// when another class fails.
#[test]
fn a_single_class_is_ejected() {
    let mut detector = OutlierDetector::default();
    (0..3).for_each(|_| assert_eq!(detector.observe(EJECTION, call(0.0, 0, false)), None));
    (0..2).for_each(|_| assert_eq!(detector.observe(EJECTION, call(0.0, 1, true)), None));
    assert_eq!(
        detector.observe(EJECTION, call(0.0, 1, true)),
        Some(HealthChange::Ejected)
    );
    assert!(detector.is_ejected_for(1) && !detector.is_ejected_for(0));
    (0..3).for_each(|_| assert_eq!(detector.observe(EJECTION, call(0.5, 0, true)), None));
    assert!(detector.is_ejected_for(0));
}

#[test]
fn recent_failures_in_sparse_traffic_and_failures_of_all_calls() {
    let mut detector = OutlierDetector::default();
    detector.observe(EJECTION, call(1.0, 0, true));
    assert!(
        detector.failed_last_in_sparse_traffic(10.9)
            && !detector.failed_last_in_sparse_traffic(11.0)
    );
    detector.observe(EJECTION, call(2.0, 0, true));
    assert!(!detector.all_failed(0.0));
    detector.observe(EJECTION, call(3.0, 0, true));
    assert!(detector.all_failed(0.0) && !detector.all_failed(1.0));
    detector.observe(EJECTION, call(4.0, 0, false));
    assert!(!detector.all_failed(0.0) && !detector.failed_last_in_sparse_traffic(4.0));
}

#[test]
fn latency_limits_are_derived_from_answers() {
    let (unloaded, budget) = (latencies(&[("a", 10)]), PartBudget::default());
    let mut limits = LatencyLimits::new(3.0);
    assert_eq!(
        (limits.late_after, limits.hedge_after, limits.overloaded),
        (1.0, 1.0, false)
    );
    (0..19).for_each(|_| limits.record_answer(1.0, 0.4));
    limits.update(&unloaded, &budget);
    assert_eq!(limits.late_after, 1.0, "initial limit: too few answers");
    limits.record_answer(1.0, 0.4);
    limits.update(&unloaded, &budget);
    assert_eq!(limits.late_after, 1.0, "2.5 medians");
    assert_eq!(limits.hedge_after, 1.25, "2.5 unloaded medians");
    assert_eq!(
        (
            limits.answers_per_second(1.5),
            limits.answers_per_second(3.0)
        ),
        (10.0, 0.0)
    );
}

/// Overload begins when the lower quartile of latencies exceeds 1.5 times the unloaded one. The change is reported
/// once.
#[rstest]
#[case::equal_to_unloaded(0.3, false)]
#[case::below_the_threshold(0.449, false)]
#[case::above_the_threshold(0.46, true)]
fn overload_begins_and_ends(#[case] latency: f64, #[case] overloaded: bool) {
    let unloaded = latencies(&[("a", 10)]);
    let mut limits = LatencyLimits::new(3.0);
    (0..4).for_each(|_| limits.record_answer(1.0, latency));
    assert_eq!(limits.update_overload(1.0, &unloaded), overloaded);
    assert_eq!(
        (limits.overloaded, limits.update_overload(1.0, &unloaded)),
        (overloaded, false)
    );
    assert_eq!(
        limits.update_overload(5.1, &unloaded),
        overloaded,
        "overload ends when its answers are too old"
    );
}

#[rstest]
#[case::no_limit(None, 100)]
#[case::min_retries_only(Some((2.0, 0.0)), 2)]
#[case::min_retries_and_ratio(Some((1.0, 0.25)), 3)]
fn retry_budget(#[case] limit: Option<(f64, f64)>, #[case] sent: usize) {
    let budget = limit.map(|(min_retries, ratio)| RetryBudgetConfig {
        min_retries,
        ratio,
        window: 10.0,
    });
    let mut retries = RetryBudget::new(&Settings {
        retry_budget: budget,
        ..settings::settings()
    });
    retries.record_work(0.0, 8);
    let allowed = (0..100)
        .take_while(|_| {
            retries
                .allows_retry(1.0)
                .then(|| retries.record_retry_sent(1.0))
                .is_some()
        })
        .count();
    assert_eq!(allowed, sent);
    let again = retries.allows_retry(10.9);
    assert_eq!(
        again,
        limit.is_none(),
        "the retries are still in the window, the work is not"
    );
    assert!(retries.allows_retry(11.1));
}
