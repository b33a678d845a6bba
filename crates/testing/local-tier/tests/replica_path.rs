//! The links between the edges and replicas are partitioned and reset in the middle of answers to requests that may
//! not be repeated: none runs twice, and no answer reaches the caller of another request.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use support::{TIMEOUT, bring_up, logs, start, wait_for};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};
use woadreach_local_tier::{
    Client, FakeReplica, Operator, ReplicaKind, ReplicaSocket, Tier, TierError, TurnAnswer,
    chunks_of, example,
};
use woadreach_process_tests::{Relay, ZonePair};

/// Zone of the edges. The relay is between it and the zone of the replicas.
const EDGES: usize = 0;
/// Zone of the replicas.
const REPLICAS: usize = 1;
/// The link that requests take.
const REQUESTS: ZonePair = ZonePair {
    from: EDGES,
    to: REPLICAS,
};
/// The link that answers take.
const ANSWERS: ZonePair = ZonePair {
    from: REPLICAS,
    to: EDGES,
};
const CHUNKS: usize = 6;
const KIND: ReplicaKind = ReplicaKind::Chunks {
    chunks: CHUNKS,
    pause_ms: 60,
};
/// Requests that are sent before the link fails, and as many after.
const AT_ONCE: usize = 20;
/// Number of them that have begun to run when the link fails.
const BEGUN: usize = 10;

/// The fault of the link while answers are in flight.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Answers stop, and come once all requests have been given up.
    AnswersStall,
    /// Requests stop, and come once all have been given up; answers go on.
    RequestsStall,
    /// All connections are reset at both ends.
    Reset,
    /// Answers stop, and the connections on which they wait are reset.
    StallThenReset,
}

impl Failure {
    fn begin(self, relay: &Relay) {
        match self {
            Failure::AnswersStall | Failure::StallThenReset => {
                set_partitioned(relay, ANSWERS, true);
            }
            Failure::RequestsStall => set_partitioned(relay, REQUESTS, true),
            Failure::Reset => relay.reset(EDGES, REPLICAS),
        }
    }

    fn end(self, relay: &Relay) {
        if matches!(self, Failure::StallThenReset) {
            relay.reset(EDGES, REPLICAS);
        }
        set_partitioned(relay, ANSWERS, false);
        set_partitioned(relay, REQUESTS, false);
    }
}

fn set_partitioned(relay: &Relay, link: ZonePair, is_partitioned: bool) {
    relay.change(link.from, link.to, |condition| {
        condition.is_partitioned = is_partitioned;
    });
}

/// A request in flight.
struct Call {
    request_id: String,
    answer: JoinHandle<Result<TurnAnswer, TierError>>,
}

/// A request that has been answered or has failed.
struct EndedCall {
    request_id: String,
    answer: Result<TurnAnswer, TierError>,
}

/// Sends requests that may not be repeated, each under an id of its own, to all edges in turn.
fn send(fronts: &[SocketAddr], round: usize, part: &str) -> Vec<Call> {
    let send_one = |number: usize| {
        let request_id = format!("order-{round}-{part}-{number}");
        let front = fronts[number % fronts.len()];
        let id = request_id.clone();
        let answer = tokio::spawn(async move {
            Client::new(front)
                .post(example::HOST, "/order/x", &id)
                .await
        });
        Call { request_id, answer }
    };
    (0..AT_ONCE).map(send_one).collect()
}

/// How often each request has run, over all replicas.
fn runs(replicas: &[FakeReplica]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for request in replicas.iter().flat_map(FakeReplica::received) {
        *runs.entry(request.request_id).or_default() += 1;
    }
    runs
}

/// A caller may get its own answer and nothing of another's, and a rejection only if its request has not run.
fn check(id: &str, answer: &TurnAnswer, runs: usize) {
    let complete = chunks_of(id, CHUNKS);
    let body = answer.body.as_deref();
    if answer.status == 200 {
        assert!(
            answer
                .signature
                .as_deref()
                .is_some_and(|signature| signature.ends_with(&format!(".{id}")))
        );
        assert!(body.is_none_or(|body| body == complete), "{id}: {body:?}");
    } else {
        assert_eq!(answer.signature, None, "{id}: a status of the edge's own");
        assert!(
            !body.unwrap_or_default().contains("order-"),
            "{id}: {body:?}"
        );
    }
    if [408, 421, 429, 503].contains(&answer.status) {
        assert_eq!(runs, 0, "{id} was rejected and has run");
    }
}

fn configuration() -> String {
    let mut configuration: Value = serde_json::from_str(&example::configuration(2)).unwrap();
    configuration["routes"].as_array_mut().unwrap().push(json!({
        "name": "order", "domain": example::HOST, "path_prefix": "/order/", "route_type": "unsafe",
        "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1, "service": "orders", "max_retries": 2,
    }));
    configuration["services"].as_array_mut().unwrap().push(json!({
        "name": "orders", "health_check": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false,
    }));
    configuration.to_string()
}

/// Replicas that can be reached through the relay alone.
async fn replicas_behind(relay: &Relay, tier: &Tier) -> Vec<FakeReplica> {
    let mut replicas = Vec::new();
    for index in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let own = listener.local_addr().unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let announced = relay.relay_connections(any, own, REQUESTS).await.unwrap();
        let id = format!("i-orders-{index}");
        replicas.push(FakeReplica::start_at(
            &id,
            "orders",
            KIND,
            tier.control(),
            ReplicaSocket {
                listener,
                announced,
            },
        ));
    }
    replicas
}

/// Waits until every edge serves the route again.
async fn wait_until_served(tier: &Tier, round: usize) {
    let end = tokio::time::Instant::now() + TIMEOUT;
    for (number, front) in tier.fronts().into_iter().enumerate() {
        for attempt in 0.. {
            let id = format!("order-ready-{round}-{number}-{attempt}");
            let answer = Client::new(front)
                .post(example::HOST, "/order/x", &id)
                .await;
            if answer.is_ok_and(|answer| {
                answer.status == 200 && answer.body == Some(chunks_of(&id, CHUNKS))
            }) {
                break;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "{front} does not serve orders\n{}",
                logs(tier)
            );
        }
    }
}

#[tokio::test]
async fn a_path_that_fails_within_answers_repeats_nothing_and_crosses_nothing() {
    LocalSet::new().run_until(play()).await;
}

async fn play() {
    let tier = start(24);
    let _replicas = bring_up(&tier).await;
    let relay = Relay::new(2, 1);
    let replicas = replicas_behind(&relay, &tier).await;
    let status = Operator::new(tier.control())
        .put(1, &configuration(), TIMEOUT)
        .await;
    assert_eq!(
        status.map(|status| status.as_u16()).ok(),
        Some(200),
        "{}",
        logs(&tier)
    );

    let failures = [
        Failure::AnswersStall,
        Failure::Reset,
        Failure::RequestsStall,
        Failure::StallThenReset,
        Failure::Reset,
    ];
    let mut all_calls = Vec::new();
    for (round, failure) in failures.into_iter().enumerate() {
        wait_until_served(&tier, round).await;
        let before = runs(&replicas).len();
        let mut calls = send(&tier.fronts(), round, "before");
        wait_for(&tier, "requests that run", || {
            (runs(&replicas).len() >= before + BEGUN).then_some(())
        })
        .await;
        failure.begin(&relay);
        calls.extend(send(&tier.fronts(), round, "after"));
        let mut ended = Vec::new();
        for Call { request_id, answer } in calls {
            ended.push(EndedCall {
                request_id,
                answer: answer.await.unwrap(),
            });
        }
        failure.end(&relay);
        // What the links held back arrives now, on connections that later requests may use.
        wait_until_served(&tier, round + failures.len()).await;
        let broken = check_all(&ended, &runs(&replicas));
        println!(
            "{failure:?}: {broken} of {} had run and got no complete answer",
            2 * AT_ONCE
        );
        assert!(broken > 0, "{failure:?} broke no answer off");
        all_calls.extend(ended);
    }
    check_all(&all_calls, &runs(&replicas));
}

/// Checks all answers. Returns how many requests have run without a complete answer to their caller.
fn check_all(calls: &[EndedCall], runs: &BTreeMap<String, usize>) -> usize {
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    let is_incomplete = |call: &&EndedCall| {
        let id = &call.request_id;
        let ran = runs.get(id).copied().unwrap_or(0);
        let Ok(answer) = &call.answer else {
            return ran > 0;
        };
        check(id, answer, ran);
        ran > 0 && answer.body != Some(chunks_of(id, CHUNKS))
    };
    calls.iter().filter(is_incomplete).count()
}
