//! The reply to a search: when it is due, and what it has.

use crate::settings::settings;
use crate::support::{add_parts, balancer_of, new_search, outcome, replica_id};
use rstest::rstest;
use woadreach_routing::api::{Ending, Outcome, PartId, Reply, Settings};

/// The final answer comes before the client's time is up, whatever stands in the way.
#[rstest]
#[case::no_holder(&[], 3.0)]
#[case::nearly_over(&["a"], 0.001)]
#[case::already_over(&["a"], 0.0)]
#[case::silence(&["a", "b"], 2.0)]
fn no_search_is_lost(#[case] names: &[&str], #[case] time_remaining: f64) {
    let mut balancer = balancer_of(settings(), names);
    let mut search = new_search(1, 2, 5.0, time_remaining);
    let (mut now, mut replies) = (5.0, 0);
    for _ in 0..200 {
        let plan = balancer.place(now, &mut search);
        replies += usize::from(plan.reply.is_some());
        assert!(plan.reply.is_none() || plan.send.is_empty());
        if search.finished {
            break;
        }
        now += balancer.wait(now, &search);
    }
    assert!(
        search.finished && replies == 1 && now <= 5.0 + time_remaining,
        "ended at {now}"
    );
    assert!(
        balancer.place(now, &mut search).reply.is_none(),
        "one final answer only"
    );
}

/// What is answered, from how much, and marked how.
#[rstest]
#[case::all(1.0, 0.5, 4, Some(Reply::Answered { complete: true }))]
#[case::need_under_one(0.75, 0.75, 3, Some(Reply::Answered { complete: true }))]
#[case::over_floor(1.0, 0.5, 2, Some(Reply::Answered { complete: false }))]
#[case::under_floor(1.0, 0.5, 1, Some(Reply::Shed { retry_after: 0.5 }))]
#[case::no_floor(1.0, 1.0, 3, Some(Reply::Shed { retry_after: 0.5 }))]
fn answers_are_honest(
    #[case] complete_weight: f64,
    #[case] minimum_weight: f64,
    #[case] answered: usize,
    #[case] reply: Option<Reply>,
) {
    let mut settings = settings();
    (
        settings.query_types[0].complete_weight,
        settings.query_types[0].minimum_weight,
    ) = (complete_weight, minimum_weight);
    let mut balancer = balancer_of(settings, &["a", "b", "c", "d"]);
    let mut search = new_search(1, 4, 0.0, 3.0);
    let sent = balancer.place(0.0, &mut search).send;
    let mut last = None;
    for placement in &sent[..answered] {
        last = balancer
            .attempt_finished(
                0.1,
                Some(&mut search),
                &outcome(placement, 0, Ending::Answered, 0.1),
            )
            .reply;
        // A part counts once.
        balancer.attempt_finished(
            0.1,
            Some(&mut search),
            &outcome(placement, 0, Ending::Answered, 0.1),
        );
    }
    assert_eq!(
        last.or_else(|| balancer.place(0.99, &mut search).reply),
        reply
    );
}

/// The second step is complete only if the first was and all its parts are answered.
#[rstest]
#[case::both_whole(4, 2, true)]
#[case::first_partial(3, 2, false)]
#[case::second_partial(4, 1, false)]
fn two_steps(#[case] first: usize, #[case] second: usize, #[case] complete: bool) {
    let mut settings = settings();
    (
        settings.query_types[0].minimum_weight,
        settings.query_types[0].second_step,
    ) = (0.5, 2);
    let mut balancer = balancer_of(settings, &["a", "b"]);
    let mut search = new_search(1, 4, 0.0, 3.0);
    for placement in &balancer.place(0.0, &mut search).send[..first] {
        balancer.attempt_finished(
            0.1,
            Some(&mut search),
            &outcome(placement, 0, Ending::Answered, 0.1),
        );
    }
    balancer.place(0.79, &mut search);
    assert!(search.step == 2 && !search.finished);
    add_parts(&mut search, 900, 2);
    let mut reply = None;
    for placement in &balancer.place(0.795, &mut search).send[..second] {
        reply = balancer
            .attempt_finished(
                0.9,
                Some(&mut search),
                &outcome(placement, 0, Ending::Answered, 0.1),
            )
            .reply;
    }
    assert_eq!(
        reply.or_else(|| balancer.place(0.99, &mut search).reply),
        Some(Reply::Answered { complete })
    );
    assert!(search.finished);
}

/// Odd input does no harm: outcomes of unknown replicas and parts, zero weights, unknown cells.
#[rstest]
fn odd_input_is_harmless() {
    let mut balancer = balancer_of(
        Settings {
            cells: 0,
            ..settings()
        },
        &["a"],
    );
    let stray = Outcome {
        part: PartId(1),
        attempt_index: 3,
        replica: replica_id("z"),
        ending: Ending::Answered,
        latency: f64::NAN,
    };
    assert!(balancer.attempt_finished(0.0, None, &stray).send.is_empty());
    let mut search = new_search(1, 2, 0.0, 3.0);
    search.parts.iter_mut().for_each(|part| part.weight = 0.0);
    assert!(
        balancer.place(0.0, &mut search).reply.is_some(),
        "no weight can meet a floor"
    );
    let mut search = new_search(2, 1, 0.0, 3.0);
    let sent = balancer.place(0.0, &mut search).send;
    balancer.attempt_finished(
        0.1,
        Some(&mut search),
        &outcome(&sent[0], 9, Ending::Answered, 0.1),
    );
    assert!(balancer.wait(0.1, &search).is_finite());
    assert!(balancer.place(2.999, &mut search).reply.is_some());
}
