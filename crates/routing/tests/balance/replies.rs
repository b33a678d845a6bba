//! The reply to a search: its time and its content.

use crate::settings::settings;
use crate::support::{add_parts, balancer_of, new_search, outcome, replica_id};
use rstest::rstest;
use woadreach_routing::api::{Ending, Outcome, PartId, Reply, Settings};

/// Every search gets exactly one final reply, and gets it before the client's deadline.
#[rstest]
#[case::no_holder(&[], 3.0)]
#[case::deadline_close(&["a"], 0.001)]
#[case::deadline_passed(&["a"], 0.0)]
#[case::unresponsive_replicas(&["a", "b"], 2.0)]
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
        "a second final reply"
    );
}

/// The answered weight decides whether a search is answered, and whether the answer is marked as complete.
#[rstest]
#[case::all_parts(1.0, 0.5, 4, Some(Reply::Answered { complete: true }))]
#[case::complete_weight_reached(0.75, 0.75, 3, Some(Reply::Answered { complete: true }))]
#[case::minimum_weight_reached(1.0, 0.5, 2, Some(Reply::Answered { complete: false }))]
#[case::below_minimum_weight(1.0, 0.5, 1, Some(Reply::Shed { retry_after: 0.5 }))]
#[case::no_partial_answers(1.0, 1.0, 3, Some(Reply::Shed { retry_after: 0.5 }))]
fn incomplete_answers_are_marked(
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
        // A second answer to the same part has no effect.
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

/// The answer of the second step is complete only if the first step was complete and all parts of the second are
/// answered.
#[rstest]
#[case::both_complete(4, 2, true)]
#[case::first_partial(3, 2, false)]
#[case::second_partial(4, 1, false)]
fn both_steps_have_to_be_complete(
    #[case] first: usize,
    #[case] second: usize,
    #[case] complete: bool,
) {
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

/// Invalid input has no effect: outcomes of unknown replicas and parts, weights of zero, no cells.
#[rstest]
fn invalid_input_is_ignored() {
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
        "parts without weight cannot reach the minimum weight"
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
