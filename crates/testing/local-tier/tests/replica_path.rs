//! Partitions and resets the links between edges and replicas while responses to `unsafe` requests (which must not be
//! repeated) are in flight. Guards against executing a request twice and against sending a response, or a part of
//! it, to the caller of another request.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use support::{TIMEOUT, bring_up, logs, start, wait_for};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};
use woadreach_local_tier::{
    Client, FakeReplica, Operator, ReplicaKind, ReplicaSocket, Tier, TierError, TurnAnswer,
    example, expected_chunks,
};
use woadreach_process_tests::{Relay, ZonePair};

/// Relay zone of the edges. The relay forwards between this zone and that of the replicas.
const EDGES: usize = 0;
/// Relay zone of the replicas.
const REPLICAS: usize = 1;
/// Direction from edges to replicas, which carries requests.
const REQUESTS: ZonePair = ZonePair {
    from: EDGES,
    to: REPLICAS,
};
/// Direction from replicas to edges, which carries responses.
const ANSWERS: ZonePair = ZonePair {
    from: REPLICAS,
    to: EDGES,
};
const CHUNKS: usize = 6;
const KIND: ReplicaKind = ReplicaKind::Chunks {
    chunks: CHUNKS,
    pause_ms: 60,
};
/// Number of requests sent before the link fails, and again after it has failed.
const REQUESTS_PER_BATCH: usize = 20;
/// Minimum number of requests of the first batch that replicas have begun to execute when the link fails.
const MIN_STARTED: usize = 10;

/// Link failure that is injected while responses are in flight.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Responses are held back until all requests have finished, then delivered.
    AnswersStall,
    /// Requests are held back until all have finished, then delivered. Responses are not delayed.
    RequestsStall,
    /// All connections are reset at both ends.
    Reset,
    /// Responses are held back, and their connections are reset instead of delivering them.
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

/// Request in flight.
struct Call {
    request_id: String,
    answer: JoinHandle<Result<TurnAnswer, TierError>>,
}

/// Request that was answered or has failed.
struct FinishedCall {
    request_id: String,
    answer: Result<TurnAnswer, TierError>,
}

/// Sends a batch of `unsafe` requests with distinct ids to the edges in rotation.
fn send(edges: &[SocketAddr], round: usize, part: &str) -> Vec<Call> {
    let send_request = |number: usize| {
        let request_id = format!("order-{round}-{part}-{number}");
        let edge = edges[number % edges.len()];
        let id = request_id.clone();
        let answer =
            tokio::spawn(
                async move { Client::new(edge).post(example::HOST, "/order/x", &id).await },
            );
        Call { request_id, answer }
    };
    (0..REQUESTS_PER_BATCH).map(send_request).collect()
}

/// Number of executions of each request id, over all replicas.
fn count_executions(replicas: &[FakeReplica]) -> BTreeMap<String, usize> {
    let mut executions = BTreeMap::new();
    for request in replicas.iter().flat_map(FakeReplica::received) {
        *executions.entry(request.request_id).or_default() += 1;
    }
    executions
}

/// Checks that a response contains no part of another request's response, and that a rejected request was not
/// executed.
fn check_response(id: &str, answer: &TurnAnswer, executions: usize) {
    let complete = expected_chunks(id, CHUNKS);
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
        assert_eq!(
            answer.signature, None,
            "{id}: signature in a response with error status {}",
            answer.status
        );
        assert!(
            !body.unwrap_or_default().contains("order-"),
            "{id}: {body:?}"
        );
    }
    if [408, 421, 429, 503].contains(&answer.status) {
        assert_eq!(
            executions, 0,
            "{id} was rejected with status {} but executed",
            answer.status
        );
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

/// Starts replicas whose announced addresses are those of the relay, so that edges reach them only through it.
async fn start_replicas_behind(relay: &Relay, tier: &Tier) -> Vec<FakeReplica> {
    let mut replicas = Vec::new();
    for index in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let announced = relay
            .relay_connections(any_port, address, REQUESTS)
            .await
            .unwrap();
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

/// Waits until every edge returns a complete response on the `order` route.
async fn wait_until_served(tier: &Tier, round: usize) {
    let end = tokio::time::Instant::now() + TIMEOUT;
    for (number, edge) in tier.edge_addresses().into_iter().enumerate() {
        for attempt in 0.. {
            let id = format!("order-ready-{round}-{number}-{attempt}");
            let answer = Client::new(edge).post(example::HOST, "/order/x", &id).await;
            if answer.is_ok_and(|answer| {
                answer.status == 200 && answer.body == Some(expected_chunks(&id, CHUNKS))
            }) {
                break;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "edge {edge} did not serve the route `order` within {TIMEOUT:?}\n{}",
                logs(tier)
            );
        }
    }
}

#[tokio::test]
async fn link_failure_during_responses_neither_repeats_requests_nor_mixes_up_responses() {
    LocalSet::new().run_until(run_scenario()).await;
}

async fn run_scenario() {
    let tier = start(24);
    let _replicas = bring_up(&tier).await;
    let relay = Relay::new(2, 1);
    let replicas = start_replicas_behind(&relay, &tier).await;
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
        let earlier = count_executions(&replicas).len();
        let mut calls = send(&tier.edge_addresses(), round, "before");
        wait_for(&tier, "executed requests", || {
            (count_executions(&replicas).len() >= earlier + MIN_STARTED).then_some(())
        })
        .await;
        failure.begin(&relay);
        calls.extend(send(&tier.edge_addresses(), round, "after"));
        let mut finished = Vec::new();
        for Call { request_id, answer } in calls {
            finished.push(FinishedCall {
                request_id,
                answer: answer.await.unwrap(),
            });
        }
        failure.end(&relay);
        // Held-back data is delivered now, on connections that later requests may reuse.
        wait_until_served(&tier, round + failures.len()).await;
        let incomplete = check_responses(&finished, &count_executions(&replicas));
        println!(
            "{failure:?}: {incomplete} of {} requests were executed without a complete response",
            2 * REQUESTS_PER_BATCH
        );
        assert!(incomplete > 0, "{failure:?} interrupted no response");
        all_calls.extend(finished);
    }
    check_responses(&all_calls, &count_executions(&replicas));
}

/// Checks all responses. Returns the number of requests that were executed without a complete response to their
/// caller.
fn check_responses(calls: &[FinishedCall], executions: &BTreeMap<String, usize>) -> usize {
    let repeated: Vec<_> = executions.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "executed more than once: {repeated:?}");
    let is_incomplete = |call: &&FinishedCall| {
        let id = &call.request_id;
        let executed = executions.get(id).copied().unwrap_or(0);
        let Ok(answer) = &call.answer else {
            return executed > 0;
        };
        check_response(id, answer, executed);
        executed > 0 && answer.body != Some(expected_chunks(id, CHUNKS))
    };
    calls.iter().filter(is_incomplete).count()
}
