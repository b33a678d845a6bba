//! Carries out the plans of the routing decisions: sends and cancels attempts, sets timers, gives answers.
//!
//! The decisions themselves have no I/O. [`Executor`] implements [`PlanExecutor`] for them, and is where a
//! search's request is kept from its arrival to its answer.

use super::config::CoreConfig;
use super::timers::{Timer, TimerQueue};
use crate::events::{Answer, Arrival, Row};
use crate::replicas::{LastWrite, QueuedAttempt, Replicas};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::{debug, info};
use woadreach_routing::api::{
    AttemptId, Part, PartId, Placement, Reply, Search, SearchId, ShardId,
};
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::Net;
use woadreach_search_driver::PlanExecutor;

/// Seconds within which a machine that runs has read what was written to it.
///
/// Ten times what was measured: on sockets both sides read what is ready within 0.1 ms in the 99th
/// percentile, and answers overtook hedges that were written up to 0.2 ms before them. One client in a
/// thousand waits for it.
const MAX_READ_DELAY: f64 = 0.002;

/// A shard's first value of a part, with the score that orders a second step.
pub(super) struct PartAnswer {
    pub(super) score: u64,
    pub(super) value: String,
}

/// A client's request in flight.
pub(super) struct Request {
    /// The client's trace id, with which the wire ids of its parts begin.
    trace: String,
    /// What each part carries to its replica.
    text: Rc<str>,
    /// What it counts for in [`Executor::request_bytes`].
    bytes: usize,
    reply: oneshot::Sender<Answer>,
    last_write: LastWrite,
    /// What the parts of a second step carry beside their time.
    second_step_fields: String,
    /// First answers of the step in flight.
    pub(super) answers: BTreeMap<PartId, PartAnswer>,
}

impl Request {
    pub(super) fn new(arrival: Arrival) -> Self {
        Request {
            trace: arrival.trace,
            text: arrival.text,
            bytes: arrival.bytes,
            reply: arrival.reply,
            last_write: LastWrite::default(),
            second_step_fields: String::new(),
            answers: BTreeMap::new(),
        }
    }
}

/// A trace id that stays reserved for a time after its search's answer.
pub(super) struct ReservedTrace {
    /// In Unix seconds.
    until: f64,
    trace: String,
}

/// A final answer that waits for [`MAX_READ_DELAY`] after the search's last attempt.
struct DelayedAnswer {
    reply: oneshot::Sender<Answer>,
    answer: Answer,
}

/// A search whose second step begins in the next pass, with the shards that it goes to.
pub(super) struct SecondStep {
    pub(super) search: SearchId,
    pub(super) shards: Vec<ShardId>,
}

/// All that plans are carried out on: connections, requests and timers.
pub(super) struct Executor<N: Net> {
    pub(super) net: N,
    /// Time of the pass in progress, in Unix seconds.
    pub(super) now: f64,
    pub(super) config: CoreConfig,
    pub(super) replicas: Replicas<N>,
    /// Requests whose final answer has not been decided, by their searches.
    pub(super) requests: BTreeMap<SearchId, Request>,
    /// Trace ids in flight, and those that are still reserved after their answer.
    pub(super) traces: BTreeSet<String>,
    /// Trace ids of answered searches, in the order in which they are released.
    reserved_traces: VecDeque<ReservedTrace>,
    /// Bytes of the requests in flight.
    pub(super) request_bytes: usize,
    pub(super) timers: TimerQueue,
    /// Number of the latest part; parts are numbered from 1.
    last_part: u64,
    /// Attempts sent since the start.
    pub(super) attempts_sent: u64,
    /// Searches to be placed in this pass.
    pub(super) unplaced: Vec<SearchId>,
    /// Second steps that the next pass begins.
    pub(super) second_steps: Vec<SecondStep>,
    /// Final answers that have been decided and wait for [`Timer::Answer`].
    delayed_answers: BTreeMap<SearchId, DelayedAnswer>,
}

impl<N: Net> PlanExecutor for Executor<N> {
    fn log(&mut self, line: &str) {
        info!("{line}");
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.replicas.cancel(self.now, attempt);
    }

    fn send(&mut self, search: &Search, placement: &Placement, attempt_index: usize) {
        let Some(request) = self.requests.get(&search.id) else {
            return;
        };
        let Some(part) = search.parts.iter().find(|p| p.id == placement.part) else {
            return;
        };
        let attempt = AttemptId {
            part: part.id,
            index: attempt_index,
        };
        let deadline = self.now + placement.timeout;
        let queued = queued_attempt(request, part, attempt, deadline, placement.begin_by);
        self.attempts_sent += 1;
        debug!(
            wire_id = %queued.wire_id,
            part = part.id.0,
            attempt_index,
            replica = %placement.replica.0,
            "attempt sent"
        );
        self.replicas.send(self.now, &placement.replica, queued);
        self.timers.insert(deadline, Timer::AttemptTimeout(attempt));
        if placement.begin_by < deadline {
            self.timers
                .insert(placement.begin_by, Timer::AttemptBeginBy(attempt));
        }
    }

    fn reply(&mut self, search: &Search, reply: Reply) {
        if !search.finished {
            return self.prepare_second_step(search);
        }
        let Some(request) = self.release(search.id) else {
            return;
        };
        self.reserve_trace(&request.trace);
        debug!(
            trace = %request.trace,
            ?reply,
            seconds = self.now - search.arrived,
            "search finished"
        );
        let answer = final_answer(search, reply, request.answers);
        // A hedge that leaves just as the first attempt answers could be read by its replica after the client
        // has the final answer, which goes on another connection. Only the few searches that sent an attempt
        // in their last moment wait for it.
        let due = request.last_write.get() + MAX_READ_DELAY;
        if due > self.now && !is_mutated("core-no-wait") {
            let reply = request.reply;
            let delayed = DelayedAnswer { reply, answer };
            self.delayed_answers.insert(search.id, delayed);
            return self.timers.insert(due, Timer::Answer(search.id));
        }
        // Fails if the client has disconnected meanwhile, which is fine.
        let _ = request.reply.send(answer);
    }

    fn set_timer(&mut self, search: SearchId, wait: f64) {
        self.timers.insert(self.now + wait, Timer::Search(search));
    }

    fn search_finished(&mut self, search: &Search) {
        // Where attempts cannot be cancelled, one that waits for a connection would otherwise leave after the
        // answer.
        let unfinished = search
            .parts
            .iter()
            .filter(|p| p.attempts.iter().any(|a| a.ending.is_none()));
        for part in unfinished {
            for index in 0..part.attempts.len() {
                let part = part.id;
                self.replicas.withdraw(self.now, AttemptId { part, index });
            }
        }
        // Still in `requests` if its answer was not owed any more.
        self.release(search.id);
    }
}

impl<N: Net> Executor<N> {
    pub(super) fn new(net: N, config: CoreConfig, replicas: Replicas<N>) -> Self {
        let now = net.now();
        Executor {
            net,
            now,
            config,
            replicas,
            requests: BTreeMap::new(),
            traces: BTreeSet::new(),
            reserved_traces: VecDeque::new(),
            request_bytes: 0,
            timers: TimerQueue::new(now),
            last_part: 0,
            attempts_sent: 0,
            unplaced: Vec::new(),
            second_steps: Vec::new(),
            delayed_answers: BTreeMap::new(),
        }
    }

    /// Keeps a request until its search is released.
    pub(super) fn insert(&mut self, search: SearchId, request: Request) {
        self.traces.insert(request.trace.clone());
        self.request_bytes += request.bytes;
        self.requests.insert(search, request);
        self.unplaced.push(search);
    }

    /// The one place where what a request has reserved is given back.
    fn release(&mut self, search: SearchId) -> Option<Request> {
        let request = self.requests.remove(&search)?;
        self.traces.remove(&request.trace);
        if !is_mutated("core-keeps-bytes") {
            self.request_bytes -= request.bytes;
        }
        Some(request)
    }

    /// Keeps an answered search's trace id reserved for the longest client timeout (`max_client_timeout_s`).
    ///
    /// The parts of a new request under the same trace id could be taken for those of the one just answered.
    /// Clients that keep to the protocol give each request a new id.
    fn reserve_trace(&mut self, trace: &str) {
        self.traces.insert(trace.to_string());
        self.reserved_traces.push_back(ReservedTrace {
            until: self.now + self.config.max_client_timeout_s,
            trace: trace.to_string(),
        });
    }

    /// Releases the trace ids whose time is over.
    pub(super) fn expire_traces(&mut self, now: f64) {
        while let Some(reserved) = self.reserved_traces.pop_front_if(|r| r.until <= now) {
            self.traces.remove(&reserved.trace);
        }
    }

    /// Gives a final answer that has been decided, if it still waits.
    pub(super) fn send_delayed_answer(&mut self, search: SearchId) {
        if let Some(delayed) = self.delayed_answers.remove(&search) {
            let _ = delayed.reply.send(delayed.answer);
        }
    }

    /// PROTOCOL: the parts of a second step go to the shards with the highest scores among those that have
    /// answered the first.
    fn prepare_second_step(&mut self, search: &Search) {
        let Some(request) = self.requests.get_mut(&search.id) else {
            return;
        };
        request.second_step_fields = second_step_fields(search);
        let mut by_score: Vec<(Reverse<u64>, ShardId)> = search
            .parts
            .iter()
            .filter(|p| p.step == 1 && p.answered)
            .map(|p| {
                let score = request.answers.get(&p.id).map_or(0, |a| a.score);
                (Reverse(score), p.shard)
            })
            .collect();
        by_score.sort();
        request.answers.clear();
        let parts = self.config.second_step_parts.get(search.query_type.0);
        let parts = parts.copied().unwrap_or(0);
        self.second_steps.push(SecondStep {
            search: search.id,
            shards: by_score
                .iter()
                .take(parts)
                .map(|(_, shard)| *shard)
                .collect(),
        });
    }

    /// An identifier for a new part.
    pub(super) fn new_part(&mut self) -> PartId {
        self.last_part += 1;
        PartId(self.last_part)
    }
}

fn queued_attempt(
    request: &Request,
    part: &Part,
    attempt: AttemptId,
    deadline: f64,
    begin_by: f64,
) -> QueuedAttempt {
    let (suffix, fields) = if part.step == 2 {
        (".fetch", request.second_step_fields.clone())
    } else {
        ("", String::new())
    };
    QueuedAttempt {
        attempt,
        wire_id: format!("{}.{}{suffix}", request.trace, part.shard.0),
        shard: part.shard.0,
        fields,
        text: request.text.clone(),
        deadline,
        begin_by,
        last_write: request.last_write.clone(),
    }
}

/// The final answer of a search, with the values of its last step where it was answered.
fn final_answer(
    search: &Search,
    reply: Reply,
    mut answers: BTreeMap<PartId, PartAnswer>,
) -> Answer {
    match reply {
        Reply::Answered { complete } => {
            let rows = search
                .parts
                .iter()
                .filter(|p| p.step == search.step && p.answered)
                .filter_map(|p| {
                    let value = answers.remove(&p.id)?.value;
                    Some(Row {
                        shard: p.shard,
                        value,
                    })
                })
                .collect();
            Answer::Answered { complete, rows }
        }
        Reply::Shed { retry_after } => Answer::Shed {
            retry_after_s: retry_after,
        },
        Reply::Errored => Answer::Errored,
    }
}

/// What the parts of a second step say of the first: the shards that answered, and whether it was complete.
fn second_step_fields(search: &Search) -> String {
    let named = |p: &&Part| p.step == 1 && (p.answered || is_mutated("core-names-all"));
    let shards: BTreeSet<u64> = search
        .parts
        .iter()
        .filter(named)
        .map(|p| p.shard.0)
        .collect();
    let shards: Vec<String> = shards.iter().map(u64::to_string).collect();
    let complete = u8::from(search.first_step_complete);
    format!(",from={},whole={complete}", shards.join("+"))
}
