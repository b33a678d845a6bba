//! Tests of what `src/replicas.rs` keeps to itself; that file includes them as its own module.

use super::connection::read;
use super::*;
use crate::events::{ConnectionEvent, Event};
use rstest::rstest;
use std::time::Duration;
use woadreach_routing::api::PartId;
use woadreach_runtime::{Stream, Tokio};

fn config() -> ConnectionConfig {
    ConnectionConfig {
        max_attempts_in_flight: 1,
        max_parts_per_call: 1,
        idle_timeout_s: 30.0,
        connect_timeout_s: 0.25,
        cancellation_allowed: true,
    }
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: String::new(),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        started_at: 0.0,
    }
}

fn queued(attempt: AttemptId) -> QueuedAttempt {
    QueuedAttempt {
        attempt,
        wire_id: "t.0".into(),
        shard: 0,
        fields: String::new(),
        text: "q".into(),
        deadline: 1.0,
        begin_by: 1.0,
        last_write: LastWrite::default(),
    }
}

/// An attempt given up in the pass that sent it never leaves, and its outcome is reported once.
#[rstest]
#[case::cancelled(false, Ending::Cancelled)]
#[case::timed_out(true, Ending::NeverSent)]
fn abandoned_before_it_leaves(#[case] timed_out: bool, #[case] ending: Ending) {
    let (events, _queue) = tokio::sync::mpsc::unbounded_channel();
    let mut replicas = Replicas::new(config(), Tokio::new(), Sockets::new(64), events);
    let list = EndpointList {
        generation: 1,
        full: true,
        entries: vec![endpoint()],
    };
    replicas.apply_endpoint_list(0.0, &list);
    let attempt = AttemptId {
        part: PartId(1),
        index: 0,
    };
    replicas.send(0.0, &ReplicaId("a".into()), queued(attempt));
    if timed_out {
        replicas.time_out(0.0, attempt);
    } else {
        replicas.cancel(0.0, attempt);
    }
    replicas.flush(0.0);
    assert_eq!(
        (replicas.attempts_in_flight(), replicas.connections()),
        (0, 0)
    );
    let endings: Vec<Ending> = replicas.outcomes.iter().map(|o| o.ending).collect();
    assert_eq!(endings, [ending]);
}

/// An answer counts from when the kernel had it, however much later it is read.
#[tokio::test]
async fn answers_count_from_the_kernel() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let net = Tokio::new();
    let mut stream = net.connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut replica, _) = listener.accept().unwrap();
    std::io::Write::write_all(&mut replica, b"\x0d\0\0\0Ot.0 200 0 -\n").unwrap();
    // This process is held up.
    std::thread::sleep(Duration::from_millis(200));
    let (events, mut queue) = tokio::sync::mpsc::unbounded_channel();
    let reading = read(&net, ConnectionId(0), stream.split().0, 1.0, &events);
    let event = tokio::select! { event = queue.recv() => event, _ = reading => None };
    let Some(Event::Connection(_, ConnectionEvent::AnswerReceived { at, .. })) = event else {
        panic!("no answer")
    };
    assert!(at < net.now() - 0.1);
}
