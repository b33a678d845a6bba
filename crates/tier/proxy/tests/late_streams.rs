//! Streams whose heads arrive when the scheduler gives their attempts up. Guards against a response that joins events of
//! two runs: the task of the request found the started stream and the commands to abort its attempt and to send another
//! one at the same time, took the stream first, and forwarded it until the other attempt's stream took its place.
//! `STREAM_SEEDS` plays more seeds.

mod stalled_tasks;
mod support;

use http::Response;
use http_body_util::BodyExt;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::replica::{Received, Replica, Step, stream_end, stream_head};
use support::stream_task::{
    ReceivedEvent, are_in_order, are_joined, events, received_events, resumable_request,
    resume_after, start_tier,
};
use support::tier::Tier;
use support::{on_one_thread, wait_for};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadreach_proxy::client::response_body::ResponseBody;
use woadreach_proxy::request::task::RequestTask;
use woadreach_scheduler::Decision;

/// Requests that are played at once.
const REQUESTS_AT_ONCE: usize = 16;
/// Rounds of such requests. The task takes a report before commands in about one request of five, at random.
const ROUNDS: usize = 8;
const EVENTS: usize = 4;
/// Events of a run that pauses.
const EVENTS_BEFORE_PAUSE: usize = 2;
/// Much longer than the scheduler takes to give an attempt up.
const PAUSE: Duration = Duration::from_millis(300);
/// Seeds of runs with stalled tasks.
const SEEDS: u64 = 30;

/// Two replicas. The one that gets the first request starts its stream at once and pauses after some events, until
/// `resume` is notified; any further run is complete at once.
async fn replicas(resume: &Arc<Notify>) -> (Replica, Replica) {
    let runs = Arc::new(AtomicUsize::new(0));
    let script = |name: &'static str| {
        let (runs, resume) = (runs.clone(), resume.clone());
        move |_: usize, request: &Received| {
            let after = resume_after(request);
            if runs.fetch_add(1, Ordering::Relaxed) > 0 {
                let all = events(name, after, after + 1..=EVENTS);
                return vec![stream_head(request), all, stream_end()];
            }
            vec![
                stream_head(request),
                events(name, after, 1..=EVENTS_BEFORE_PAUSE),
                Step::Await(resume.clone()),
                events(name, after, EVENTS_BEFORE_PAUSE + 1..=EVENTS),
                stream_end(),
            ]
        }
    };
    (
        Replica::start(script("one")).await,
        Replica::start(script("two")).await,
    )
}

async fn read_events(response: oneshot::Receiver<Response<ResponseBody>>) -> Vec<ReceivedEvent> {
    let response = wait_for("a response", response).await;
    let body = response.expect("a head").into_body().collect().await;
    received_events(&body.expect("a complete body").to_bytes())
}

fn assert_complete_and_not_joined(events: &[ReceivedEvent]) {
    assert!(are_in_order(events) && events.len() == EVENTS, "{events:?}");
    assert!(!are_joined(events), "two runs are joined: {events:?}");
}

fn count(tier: &Tier, decision: Decision) -> u64 {
    tier.proxy.dispatcher.scheduler_report().counts.of(decision)
}

/// Lets the task of a request stand still from when its first attempt has reached a replica until the scheduler has
/// given that attempt up, so that the task finds the started stream and the scheduler's commands at once. Returns the
/// number of responses that were discarded; `None` if the attempt was given up before it had reached a replica.
async fn play_stream_aborted_as_it_starts() -> Option<u64> {
    let (one, two) = replicas(&Arc::default()).await;
    let tier = start_tier(&[("i-1", &one), ("i-2", &two)]).await;
    let (sender, response) = oneshot::channel();
    let request = resumable_request(&tier.proxy, "r1");
    let mut task = pin!(RequestTask::new(tier.proxy.clone(), request, sender).run());
    tokio::select! {
        () = &mut task => panic!("the request ended before it was sent"),
        () = one.wait_for_requests(1) => {}
        () = two.wait_for_requests(1) => {}
    }
    if count(&tier, Decision::SentAgain) > 0 {
        return None;
    }
    wait_for("a second attempt", async {
        while count(&tier, Decision::SentAgain) == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let (events, ()) = tokio::join!(read_events(response), task);
    assert_complete_and_not_joined(&events);
    Some(count(&tier, Decision::DiscardedResponse))
}

#[test]
fn a_stream_that_starts_as_it_is_aborted_is_not_joined_with_the_next() {
    on_one_thread(async {
        let mut discarded = Vec::new();
        for _ in 0..ROUNDS {
            let requests = (0..REQUESTS_AT_ONCE).map(|_| play_stream_aborted_as_it_starts());
            let played = requests.collect::<JoinSet<Option<u64>>>().join_all().await;
            discarded.extend(played.into_iter().flatten());
        }
        assert!(
            discarded.contains(&0) && discarded.contains(&1),
            "both orders are met: {discarded:?}"
        );
    });
}

/// Guards against the opposite: a stream that has started in time must not be given up when it pauses.
#[test]
fn a_stream_that_has_started_is_not_aborted_when_it_pauses() {
    on_one_thread(async {
        let resume = Arc::new(Notify::new());
        let (one, two) = replicas(&resume).await;
        let tier = start_tier(&[("i-1", &one), ("i-2", &two)]).await;
        let (sender, response) = oneshot::channel();
        let request = resumable_request(&tier.proxy, "r1");
        let task = RequestTask::new(tier.proxy.clone(), request, sender).run();
        let pause = async {
            sleep(PAUSE).await;
            resume.notify_one();
        };
        let (events, (), ()) = tokio::join!(read_events(response), task, pause);
        assert_complete_and_not_joined(&events);
        assert!(events.iter().all(|event| event.run_after == 0));
        assert_eq!(one.received().len() + two.received().len(), 1);
    });
}

fn seeds() -> u64 {
    std::env::var("STREAM_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

/// Guards against any order of heads, breaks, commands and stalls that joins two runs.
#[test]
fn stalled_tasks_join_no_runs() {
    let mut complete = 0;
    let mut sent_again = 0;
    let mut discarded = 0;
    for seed in 0..seeds() {
        let outcome = stalled_tasks::play(seed);
        assert!(
            outcome.violations.is_empty(),
            "seed {seed}: {:#?}",
            outcome.violations
        );
        complete += outcome.complete_streams;
        sent_again += outcome.sent_again;
        discarded += outcome.discarded_responses;
    }
    println!("{complete} complete streams, {sent_again} sent again, {discarded} discarded");
    assert!(complete > 0 && sent_again > 0 && discarded > 0);
}
