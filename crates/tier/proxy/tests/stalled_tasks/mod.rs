//! Resumable streams whose tasks stall, as they do in a process that gets no processor time for a while: after a stall a
//! task finds heads of streams, their events and ends, and commands of the scheduler at the same time, and handles them in
//! any order. Replicas start late, break off and resume as drawn from a seed.

use crate::support::replica::{Received, Replica, Step, stream_end, stream_head};
use crate::support::stream_task::{
    are_in_order, are_joined, events, received_events, resumable_request, resume_after, start_tier,
};
use crate::support::tier::Tier;
use crate::support::{on_one_thread, wait_for};
use http::Response;
use http_body_util::BodyExt;
use oorandom::Rand64;
use parking_lot::Mutex;
use std::ops::Range;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{Instant, Sleep, sleep};
use woadreach_proxy::client::response_body::ResponseBody;
use woadreach_proxy::request::task::RequestTask;
use woadreach_scheduler::Decision;

const REPLICAS: [&str; 4] = ["i-0", "i-1", "i-2", "i-3"];
const REQUESTS: usize = 24;
const EVENTS: usize = 5;
/// Range of the time between two requests, in milliseconds.
const INTERVAL_MS: Range<u64> = 5..40;
/// One stream in this many starts late.
const LATE_ONE_IN: u64 = 2;
/// Range of the time to the head of a stream that starts late, in milliseconds; around the time at which the scheduler
/// gives it up.
const LATE_START_MS: Range<u64> = 20..100;
/// Range of the time between two events, in milliseconds.
const EVENT_INTERVAL_MS: Range<u64> = 0..15;
/// One stream in this many breaks off after any of its events.
const BREAKING_ONE_IN: u64 = 6;
/// One time in this many a task that waits stalls.
const STALL_ONE_IN: u64 = 3;
/// Range of the duration of a stall, in milliseconds.
const STALL_MS: Range<u64> = 10..80;

/// Result of a run.
pub(crate) struct Outcome {
    /// Responses that break a rule.
    pub violations: Vec<String>,
    pub complete_streams: usize,
    /// Attempts sent after another one had broken off or was given up.
    pub sent_again: u64,
    /// Streams that started after they had been given up.
    pub discarded_responses: u64,
}

/// Chance, shared by all parts of a run.
#[derive(Clone)]
struct Chance(Arc<Mutex<Rand64>>);

impl Chance {
    fn one_in(&self, many: u64) -> bool {
        self.0.lock().rand_range(0..many) == 0
    }

    fn millis(&self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.0.lock().rand_range(range))
    }

    fn number(&self, range: Range<u64>) -> usize {
        self.0.lock().rand_range(range) as usize
    }
}

/// A task that stalls from time to time, while all others run.
struct StallingTask<F> {
    task: Pin<Box<F>>,
    stall: Pin<Box<Sleep>>,
    chance: Chance,
}

impl<F: Future<Output = ()>> StallingTask<F> {
    fn new(task: F, chance: Chance) -> Self {
        StallingTask {
            task: Box::pin(task),
            stall: Box::pin(sleep(Duration::ZERO)),
            chance,
        }
    }
}

impl<F: Future<Output = ()>> Future for StallingTask<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        ready!(this.stall.as_mut().poll(context));
        if this.task.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        if this.chance.one_in(STALL_ONE_IN) {
            let end = Instant::now() + this.chance.millis(STALL_MS);
            this.stall.as_mut().reset(end);
            // Registers the task to be woken at the end of the stall.
            let _ = this.stall.as_mut().poll(context);
        }
        Poll::Pending
    }
}

/// Plays the run of one seed, and returns what broke or how often each order was met.
pub(crate) fn play(seed: u64) -> Outcome {
    on_one_thread(wait_for("the end of a run", run(seed)))
}

async fn run(seed: u64) -> Outcome {
    let chance = Chance(Arc::new(Mutex::new(Rand64::new(u128::from(seed)))));
    let runs = Arc::new(AtomicUsize::new(0));
    let mut replicas = Vec::new();
    for _ in REPLICAS {
        let (chance, runs) = (chance.clone(), runs.clone());
        let script = move |_: usize, request: &Received| draw_stream(&chance, &runs, request);
        replicas.push(Replica::start(script).await);
    }
    let named: Vec<(&str, &Replica)> = REPLICAS.into_iter().zip(&replicas).collect();
    let tier = start_tier(&named).await;
    let mut responses = JoinSet::new();
    for number in 0..REQUESTS {
        responses.spawn(stream(&tier, &format!("r{number}"), &chance));
        sleep(chance.millis(INTERVAL_MS)).await;
    }
    let mut outcome = Outcome {
        violations: Vec::new(),
        complete_streams: 0,
        sent_again: 0,
        discarded_responses: 0,
    };
    for seen in responses.join_all().await {
        outcome.judge(&seen);
    }
    let decisions = tier.proxy.dispatcher.scheduler_report().counts;
    outcome.sent_again = decisions.of(Decision::SentAgain);
    outcome.discarded_responses = decisions.of(Decision::DiscardedResponse);
    outcome
}

/// A stream from the event that the request names on, which may start late and break off.
fn draw_stream(chance: &Chance, runs: &AtomicUsize, request: &Received) -> Vec<Step> {
    let run = format!("run{}", runs.fetch_add(1, Ordering::Relaxed));
    let after = resume_after(request);
    let mut steps = Vec::new();
    if chance.one_in(LATE_ONE_IN) {
        steps.push(Step::Delay(chance.millis(LATE_START_MS)));
    }
    steps.push(stream_head(request));
    let breaks_after = if chance.one_in(BREAKING_ONE_IN) {
        chance.number(0..EVENTS as u64)
    } else {
        EVENTS
    };
    for number in after + 1..=EVENTS {
        if number > breaks_after {
            steps.push(Step::Reset);
            return steps;
        }
        steps.push(events(&run, after, number..=number));
        steps.push(Step::Delay(chance.millis(EVENT_INTERVAL_MS)));
    }
    steps.push(stream_end());
    steps
}

/// What a client got.
struct Seen {
    status: u16,
    body: Vec<u8>,
    complete: bool,
}

/// Starts a request and returns the future that ends with its response.
fn stream(tier: &Tier, id: &str, chance: &Chance) -> impl Future<Output = Seen> + use<> {
    let (sender, response) = oneshot::channel();
    let request = resumable_request(&tier.proxy, id);
    let task = RequestTask::new(tier.proxy.clone(), request, sender).run();
    let task = StallingTask::new(task, chance.clone());
    async move { tokio::join!(read(response), task).0 }
}

async fn read(response: oneshot::Receiver<Response<ResponseBody>>) -> Seen {
    let (head, mut frames) = response.await.expect("a response").into_parts();
    let mut body = Vec::new();
    let mut complete = true;
    while let Some(frame) = frames.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => body.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    Seen {
        status: head.status.as_u16(),
        body,
        complete,
    }
}

impl Outcome {
    fn judge(&mut self, seen: &Seen) {
        if seen.status != 200 {
            return;
        }
        let events = received_events(&seen.body);
        let is_complete = events.len() == EVENTS;
        if !are_in_order(&events) || are_joined(&events) || (seen.complete && !is_complete) {
            let complete = seen.complete;
            self.violations
                .push(format!("ORDER: {events:?}, complete {complete}"));
        }
        self.complete_streams += usize::from(seen.complete);
    }
}
