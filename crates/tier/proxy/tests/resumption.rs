//! Responses whose end is that of their connection, and the head of a stream that resumes elsewhere.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::replica::{Received, Replica, Step, chunk, head, stream_end};
use support::tier::Tier;
use support::{Client, Seen, on_one_thread, send_request};

const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

fn post(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n{headers}Content-Length: 2\r\n\r\nhi"
    )
}

/// Head of a stream with its stamp and version.
fn stream_head(request: &Received, stamp: &str, lines: &[&str]) -> Step {
    let stamp = format!("Response-Signature: {stamp}");
    let mut all = vec![stamp.as_str(), "Content-Type: text/event-stream"];
    all.extend_from_slice(lines);
    Step::Write(head(request, "200 OK", &all))
}

/// Two replicas: whichever gets the first request responds with `first`, the other one with `second`.
async fn one_after_the_other(
    request: &str,
    first: fn(&Received) -> Vec<Step>,
    second: fn(&Received) -> Vec<Step>,
) -> (Seen, Vec<Received>) {
    let requests_received = Arc::new(AtomicUsize::new(0));
    let script = move |_: usize, request: &Received| match requests_received
        .fetch_add(1, Ordering::Relaxed)
    {
        0 => first(request),
        _ => second(request),
    };
    let (one, two) = (
        Replica::start(script.clone()).await,
        Replica::start(script).await,
    );
    let tier = Tier::start(&[("i-1", &one), ("i-2", &two)]).await;
    let seen = send_request(tier.front, request).await;
    let mut received = one.received();
    received.extend(two.received());
    received.sort_by_key(|request| request.header("last-event-id").map(str::to_owned));
    (seen, received)
}

fn second_complete(request: &Received) -> Vec<Step> {
    let last: usize = request
        .header("last-event-id")
        .map_or(0, |text| text.parse().expect("a number"));
    let lines = ["Versions: 4", "Transfer-Encoding: chunked"];
    vec![
        stream_head(request, "second", &lines),
        chunk(EVENTS[last..].concat().as_bytes()),
        stream_end(),
    ]
}

#[test]
fn a_stream_that_resumes_elsewhere_keeps_its_first_head() {
    on_one_thread(async {
        let first = |request: &Received| {
            let lines = ["Versions: 3", "Transfer-Encoding: chunked"];
            let body = EVENTS[0].to_owned() + "id: 2\nda";
            vec![
                stream_head(request, "first", &lines),
                chunk(body.as_bytes()),
                Step::Reset,
            ]
        };
        let (seen, received) =
            one_after_the_other(&post("/resumable/", ""), first, second_complete).await;
        assert_eq!(
            (seen.status(), seen.text(), seen.complete),
            (200, EVENTS.concat(), true)
        );
        assert_eq!(seen.header("response-signature"), Some("first"));
        assert_eq!(seen.header("versions"), Some("3"));
        assert_eq!(received[1].header("last-event-id"), Some("1"));
        assert_eq!(received[1].header("expect-version"), None);
    });
}

#[test]
fn a_stream_of_which_nothing_was_forwarded_has_the_head_of_the_replica_that_ran_it() {
    on_one_thread(async {
        let first = |request: &Received| {
            let lines = ["Versions: 3", "Transfer-Encoding: chunked"];
            vec![
                stream_head(request, "first", &lines),
                chunk(b"id: 1\nda"),
                Step::Close,
            ]
        };
        let (seen, received) =
            one_after_the_other(&post("/resumable/", ""), first, second_complete).await;
        assert_eq!((seen.text(), seen.complete), (EVENTS.concat(), true));
        assert_eq!(seen.header("response-signature"), Some("second"));
        assert_eq!(seen.header("versions"), Some("4"));
        assert_eq!(received[1].header("last-event-id"), None);
    });
}

#[test]
fn the_clients_own_position_holds_where_nothing_was_forwarded() {
    on_one_thread(async {
        let first = |request: &Received| {
            vec![
                stream_head(request, "first", &["Transfer-Encoding: chunked"]),
                chunk(b": x\n"),
                Step::Reset,
            ]
        };
        let request = post("/resumable/", "Last-Event-Id: 1\r\n");
        let (seen, received) = one_after_the_other(&request, first, second_complete).await;
        assert_eq!((seen.text(), seen.complete), (EVENTS[1..].concat(), true));
        assert!(
            received
                .iter()
                .all(|request| request.header("last-event-id") == Some("1"))
        );
    });
}

/// An answer of one replica without any length, and how its connection ends.
async fn without_length(path: &str, body: &'static str, end: Step) -> Seen {
    let replica = Replica::start(move |_, request| {
        let body = Step::Write(body.as_bytes().to_vec());
        vec![stream_head(request, "stamp", &[]), body, end.clone()]
    })
    .await;
    let tier = Tier::start(&[("i-1", &replica)]).await;
    let seen = send_request(tier.front, &post(path, "")).await;
    assert_eq!(replica.received().len(), 1, "{path}");
    seen
}

#[test]
fn a_response_without_length_is_complete_when_its_connection_closes() {
    on_one_thread(async {
        for path in ["/unsafe/", "/once/", "/kept/"] {
            let seen = without_length(path, EVENTS[0], Step::Close).await;
            assert_eq!(
                (seen.status(), seen.text().as_str()),
                (200, EVENTS[0]),
                "{path}"
            );
            // A kept turn is never whole here, as there is no storage machine.
            assert_eq!(seen.complete, path != "/kept/", "{path}");
        }
    });
}

#[test]
fn a_response_without_length_that_is_reset_never_looks_complete() {
    on_one_thread(async {
        let seen = without_length("/unsafe/", "a part", Step::Reset).await;
        assert_eq!(
            (seen.status(), seen.header("response-signature")),
            (502, None)
        );
        let seen = without_length("/once/", EVENTS[0], Step::Reset).await;
        assert!(!seen.complete || seen.status() == 502, "{seen:?}");
    });
}

#[test]
fn a_stream_without_length_that_stops_inside_an_event_is_incomplete() {
    on_one_thread(async {
        let seen = without_length("/once/", "id: 1\ndata: one\n\nid: 2\nda", Step::Close).await;
        assert_eq!(
            (seen.status(), seen.text().as_str(), seen.complete),
            (200, EVENTS[0], false)
        );
    });
}

#[test]
fn a_stream_without_length_that_stops_inside_an_event_resumes_elsewhere() {
    on_one_thread(async {
        let first = |request: &Received| {
            let body = EVENTS[0].to_owned() + "id: 2\ndata: tw";
            vec![
                stream_head(request, "first", &[]),
                Step::Write(body.into_bytes()),
                Step::Close,
            ]
        };
        let (seen, received) =
            one_after_the_other(&post("/resumable/", ""), first, second_complete).await;
        assert_eq!((seen.text(), seen.complete), (EVENTS.concat(), true));
        assert_eq!(received[1].header("last-event-id"), Some("1"));
    });
}

#[test]
fn a_connection_that_ended_with_its_answer_is_not_used_again() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| {
            vec![
                stream_head(request, "stamp", &[]),
                Step::Write(b"all".to_vec()),
                Step::Close,
            ]
        })
        .await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        for number in 1..=4 {
            client.send(post("/unsafe/", "").as_bytes()).await;
            assert_eq!(client.answer().await.text(), "all");
            assert_eq!(
                (replica.received().len(), replica.connections()),
                (number, number)
            );
        }
    });
}
