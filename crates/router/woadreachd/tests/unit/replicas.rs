//! Tests of what `src/replicas.rs` keeps to itself; that file takes them in as its own module.

use super::*;
use rstest::rstest;
use std::time::Duration;
use woadreach_routing::api::PartId;
use woadreach_runtime::Tokio;

/// A part given up in the round that sent it never leaves, and its outcome is told once.
#[rstest]
#[case::called_off(false, Ending::Cancelled)]
#[case::out_of_time(true, Ending::NeverSent)]
fn given_up_before_it_leaves(#[case] timed_out: bool, #[case] ending: Ending) {
    let figures = ConnectionConfig {
        streams_per_conn: 1,
        parts_per_call: 1,
        idle_close: 30.0,
        connect_timeout: 0.25,
        cancelling: true,
    };
    let (events, _queue) = tokio::sync::mpsc::unbounded_channel();
    let mut replicas = Replicas::new(figures, Tokio::new(), Sockets::new(64), events);
    let entry = Entry {
        id: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: String::new(),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        started_at: 0.0,
    };
    replicas.list(
        0.0,
        &List {
            generation: 1,
            full: true,
            entries: vec![entry],
        },
    );
    let sub = (PartId(1), 0);
    let (id, extras, text) = ("t.0".to_string(), String::new(), "q".into());
    let letter = QueuedAttempt {
        sub,
        id,
        shard: 0,
        extras,
        text,
        until: 1.0,
        begin_by: 1.0,
        written: Written::default(),
    };
    replicas.send(0.0, &ReplicaId("a".into()), letter);
    replicas.give_up(0.0, sub, timed_out);
    replicas.flush(0.0);
    assert_eq!(replicas.held(), (0, 0));
    let told: Vec<Ending> = replicas.ended.iter().map(|o| o.ending).collect();
    assert_eq!(told, [ending]);
}

/// An answer came when the kernel had it, however much later it is read.
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
    let reading = read(&net, ConnId(0), stream.split().0, 1.0, &events);
    let event = tokio::select! { event = queue.recv() => event, _ = reading => None };
    let Some(Event::Connection(_, ConnectionEvent::Answer { at, .. })) = event else {
        panic!("no answer")
    };
    assert!(at < net.now() - 0.1);
}
