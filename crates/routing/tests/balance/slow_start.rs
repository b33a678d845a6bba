//! Slow start: the load on a replica that is warming up.

use crate::settings::settings;
use crate::support::{balancer_of, listed, new_search, outcome};
use rstest::rstest;
use woadreach_routing::api::{Ending, Settings, SlowStartConfig};

/// The parts sent to a warming replica within an overload window stay below this co-ordinator's share of the overload
/// threshold, even if there is no other replica.
#[rstest]
#[case::just_started(0.0, Ending::Answered)]
#[case::half_warm(5.0, Ending::Answered)]
#[case::rejecting(0.0, Ending::Full)]
fn a_warming_replica_is_not_overloaded(#[case] age: f64, #[case] ending: Ending) {
    let mut settings = settings();
    settings.slow_start = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 10.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    let mut balancer = balancer_of(settings, &[]);
    balancer.apply_endpoint_list(true, &[listed("a", true, Some(10.0 - age))]);
    let mut sent = 0;
    for n in 0..100 {
        let now = 10.0 + 0.01 * n as f64;
        let mut search = new_search(n + 1, 1, now, 3.0);
        for placement in balancer.place(now, &mut search).send {
            sent += 1;
            balancer.attempt_finished(
                now,
                Some(&mut search),
                &outcome(&placement, 0, ending, 0.005),
            );
        }
    }
    // One part takes 5 ms, or a fifth of the target if there are no answers: 200 or 5 parts per second. Two
    // co-ordinators share this rate.
    let warmth = 0.2 + 0.8 * (age + 1.0) / 10.0;
    let work = if ending == Ending::Answered {
        0.005
    } else {
        0.2
    };
    assert!(
        sent >= 1 && f64::from(sent) <= (2.5 * warmth / work / 2.0_f64).max(1.0),
        "{sent} sent"
    );
}

/// Many co-ordinators that do not communicate, each with one part per window, together stay below the overload
/// threshold from the first window on. The replica is still sent some parts.
#[rstest]
#[case::three(3)]
#[case::many(150)]
fn slow_start_shares_add_up_to_the_limit(#[case] coordinators: usize) {
    let slow_start = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 20.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    let mut sent = [0_usize; 8];
    for n in 0..coordinators as u64 {
        let mut balancer = balancer_of(
            Settings {
                coordinators,
                seed: n,
                slow_start: slow_start.clone(),
                ..settings()
            },
            &[],
        );
        balancer.apply_endpoint_list(true, &[listed("a", true, Some(10.0))]);
        for (window, sent) in sent.iter_mut().enumerate() {
            let now = 10.01 + window as f64;
            let mut search = new_search(window as u64, 1, now, 3.0);
            for placement in balancer.place(now, &mut search).send {
                *sent += 1;
                balancer.attempt_finished(
                    now,
                    Some(&mut search),
                    &outcome(&placement, 0, Ending::Answered, 0.05),
                );
            }
        }
    }
    // Without samples a part is taken to need a fifth of the target, later its 0.05 s. In the first windows this allows
    // 2.5 and 10 parts.
    assert!(
        sent[0] <= 2 && sent[1..].iter().all(|n| *n <= 17),
        "{sent:?}"
    );
    assert!(sent.iter().sum::<usize>() >= 8, "{sent:?}");
}

/// The time slots of thirty co-ordinators add up to their total share of 1.25 parts in each window, and are not
/// random. The share is half of an even share of 2.5 times the work of one core at a fifth of its capacity, with
/// parts of a fifth of a second.
#[test]
fn time_slots_of_a_tier_add_up() {
    let slow_start = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 1e6,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    let sent = |window: u64| -> usize {
        let one = |me: u64| {
            let settings = Settings {
                coordinators: 30,
                coordinator_index: Some(me),
                slow_start: slow_start.clone(),
                ..settings()
            };
            let mut balancer = balancer_of(settings, &[]);
            balancer.apply_endpoint_list(true, &[listed("a", true, Some(10.0))]);
            balancer
                .place(
                    10.01 + window as f64,
                    &mut new_search(1, 1, 10.01 + window as f64, 3.0),
                )
                .send
                .len()
        };
        (0..30).map(one).sum()
    };
    let sent: Vec<usize> = (0..400).map(sent).collect();
    assert!(sent.iter().all(|n| *n <= 2), "{sent:?}");
    assert!(
        (480..=520).contains(&sent.iter().sum::<usize>()),
        "{sent:?}"
    );
}

/// A replica that has just started has at most one attempt in flight; the limit grows with its answers.
#[rstest]
#[case::no_answers(0, 1)]
#[case::four_answers(4, 2)]
fn the_limit_on_attempts_in_flight_grows(#[case] answers: u64, #[case] limit: usize) {
    let mut settings = settings();
    settings.slow_start = Some(SlowStartConfig {
        initial_capacity: 1.0,
        duration: 100.0,
        overload_multiple: 1e6,
        overload_window: 1.0,
    });
    let mut balancer = balancer_of(settings, &[]);
    balancer.apply_endpoint_list(true, &[listed("a", true, Some(1.0))]);
    for n in 0..answers {
        let mut search = new_search(n + 1, 1, 2.0, 3.0);
        let placement = balancer.place(2.0, &mut search).send[0].clone();
        balancer.attempt_finished(
            2.0,
            Some(&mut search),
            &outcome(&placement, 0, Ending::Answered, 0.01),
        );
    }
    let sent: usize = (50..60)
        .map(|n| {
            balancer
                .place(2.1, &mut new_search(n, 1, 2.1, 3.0))
                .send
                .len()
        })
        .sum();
    assert_eq!(sent, limit);
}
