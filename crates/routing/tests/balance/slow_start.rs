//! What a replica that is warming up is sent.

use crate::settings::settings;
use crate::support::{balancer_of, listed, new_search, outcome};
use rstest::rstest;
use woadreach_routing::api::{Ending, Settings, SlowStartConfig};

/// A replica that is warming up, alone: what leaves in any window stays under this co-ordinator's share of the limit.
#[rstest]
#[case::just_started(0.0, Ending::Answered)]
#[case::half_warm(5.0, Ending::Answered)]
#[case::refusing(0.0, Ending::Full)]
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
    // Unloaded answers of 5 ms or, without any, a fifth of the target: 200 parts or 5 a second, by half.
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

/// Many co-ordinators, each of them alone, one part each in every window: together under the limit from the
/// first window on, and not so tight that the replica gets nothing.
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
    // Without samples a part counts as a fifth of the target, later as its 0.05 s: 2.5 and 10 parts at first.
    assert!(
        sent[0] <= 2 && sent[1..].iter().all(|n| *n <= 17),
        "{sent:?}"
    );
    assert!(sent.iter().sum::<usize>() >= 8, "{sent:?}");
}

/// Thirty co-ordinators whose shares add up to 1.25 parts a window: their turns do, in each window, and are
/// not left to chance. It is half an even share of 2.5 times what one core does at a fifth of its capacity,
/// in parts of a fifth of a second.
#[test]
fn turns_of_a_tier_add_up() {
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

/// Fresh replicas start with one in flight, more as they answer.
#[rstest]
#[case::none_yet(0, 1)]
#[case::four_answers(4, 2)]
fn in_flight_cap_grows(#[case] answers: u64, #[case] cap: usize) {
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
    assert_eq!(sent, cap);
}
