//! Streams through a data plane on loopback: forwarded at once, resumed elsewhere, or truncated.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::replica::{Received, Replica, Step, chunk, head, stream_end, stream_head, success};
use support::tier::Tier;
use support::{Client, Seen, on_one_thread, send_request};

const EVENTS: [&str; 4] = [
    "id: 1\ndata: one\n\n",
    "versions: 3\nid: 2\ndata: two\n\n",
    "id: 3\ndata: 3\n\n",
    "id: 4\ndata: four\n\n",
];

fn post(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nToken-Usage: 5,12\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// The events after the one that the request names.
fn events_after(request: &Received) -> Vec<u8> {
    let last: usize = request
        .header("last-event-id")
        .map_or(0, |text| text.parse().expect("a number"));
    EVENTS[last..].concat().into_bytes()
}

/// Lengths of the stream's body after which it ends between two events.
fn event_ends() -> Vec<usize> {
    (0..=EVENTS.len())
        .map(|count| EVENTS[..count].concat().len())
        .collect()
}

/// A complete stream from its start.
fn complete_stream(request: &Received) -> Vec<Step> {
    vec![
        stream_head(request),
        chunk(EVENTS.concat().as_bytes()),
        stream_end(),
    ]
}

/// A stream that stalls after its first event.
fn stalled_stream(request: &Received) -> Vec<Step> {
    vec![
        stream_head(request),
        chunk(EVENTS[0].as_bytes()),
        Step::Hang,
    ]
}

/// Two replicas: whichever gets the first request breaks off after `length` bytes of its body, the other resumes.
async fn truncated_after(path: &str, length: usize) -> (Seen, Vec<Received>) {
    assert!(length > 0, "a chunk without bytes is the end of a body");
    let requests_received = Arc::new(AtomicUsize::new(0));
    let script = move |_: usize, request: &Received| {
        let body = events_after(request);
        if requests_received.fetch_add(1, Ordering::Relaxed) == 0 {
            vec![
                stream_head(request),
                chunk(&body[..length.min(body.len())]),
                Step::Close,
            ]
        } else {
            vec![stream_head(request), chunk(&body), stream_end()]
        }
    };
    let first = Replica::start(script.clone()).await;
    let second = Replica::start(script).await;
    let tier = Tier::start(&[("i-1", &first), ("i-2", &second)]).await;
    let seen = send_request(tier.front, &post(path)).await;
    let mut received = first.received();
    received.extend(second.received());
    received.sort_by_key(|request| request.header("last-event-id").map(str::to_owned));
    (seen, received)
}

#[test]
fn a_resumable_stream_truncated_at_any_byte_resumes_elsewhere() {
    let complete = EVENTS.concat();
    for length in 1..complete.len() {
        on_one_thread(async {
            let (seen, received) = truncated_after("/resumable/", length).await;
            assert_eq!(
                (seen.status(), seen.text(), seen.complete),
                (200, complete.clone(), true),
                "cut at {length}"
            );
            assert_eq!(seen.header("response-signature"), Some("stamp"));
            assert_eq!(received.len(), 2, "cut at {length}");
            let passed = (1..=EVENTS.len())
                .filter(|count| EVENTS[..*count].concat().len() <= length)
                .count();
            let expected = (passed > 0).then(|| passed.to_string());
            assert_eq!(
                received[1].header("last-event-id"),
                expected.as_deref(),
                "cut at {length}"
            );
            assert_eq!(received[1].body, b"hi");
        });
    }
}

#[test]
fn a_stream_that_may_not_be_repeated_is_truncated_and_never_looks_complete() {
    let complete = EVENTS.concat();
    for length in 1..=complete.len() {
        on_one_thread(async {
            let (seen, received) = truncated_after("/once/", length).await;
            assert_eq!(received.len(), 1);
            assert!(!seen.complete || seen.status() == 502, "cut at {length}");
            let text = if seen.status() == 200 {
                seen.text()
            } else {
                String::new()
            };
            assert!(
                complete.starts_with(&text) && event_ends().contains(&text.len()),
                "cut at {length}: {text:?}"
            );
        });
    }
}

#[test]
fn events_are_forwarded_before_the_stream_is_complete() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| stalled_stream(request)).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        client.send(post("/once/").as_bytes()).await;
        client.until("data: one\n\n").await;
        drop(client);
        replica.wait_for_closed(1).await;
    });
}

#[test]
fn the_clients_own_stream_position_is_forwarded_and_the_response_is_unchanged() {
    on_one_thread(async {
        // This replica begins at the start whatever it is asked for: that is its complete response.
        let replica = Replica::start(|_, request| complete_stream(request)).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        for place in ["2", "999999"] {
            let request =
                post("/resumable/").replace("r1", &format!("r1\r\nLast-Event-Id: {place}"));
            let seen = send_request(tier.front, &request).await;
            assert_eq!((seen.text(), seen.complete), (EVENTS.concat(), true));
        }
        assert_eq!(replica.received()[0].header("last-event-id"), Some("2"));
        assert_eq!(
            replica.received()[1].header("last-event-id"),
            Some("999999")
        );
    });
}

#[test]
fn a_replica_that_begins_anew_on_resumption_sends_nothing_twice() {
    on_one_thread(async {
        let requests_received = Arc::new(AtomicUsize::new(0));
        let script = move |_: usize, request: &Received| {
            let first = requests_received.fetch_add(1, Ordering::Relaxed) == 0;
            let body = if first {
                EVENTS[..2].concat()
            } else {
                EVENTS.concat()
            };
            let last = if first { Step::Close } else { stream_end() };
            vec![stream_head(request), chunk(body.as_bytes()), last]
        };
        let first = Replica::start(script.clone()).await;
        let second = Replica::start(script).await;
        let tier = Tier::start(&[("i-1", &first), ("i-2", &second)]).await;
        let seen = send_request(tier.front, &post("/resumable/")).await;
        assert_eq!((seen.text(), seen.complete), (EVENTS.concat(), true));
    });
}

#[test]
fn a_stream_without_ids_is_truncated_rather_than_joined() {
    on_one_thread(async {
        let script = |_: usize, request: &Received| {
            vec![
                stream_head(request),
                chunk(b"data: one\n\ndata: tw"),
                Step::Close,
            ]
        };
        let first = Replica::start(script).await;
        let second = Replica::start(script).await;
        let tier = Tier::start(&[("i-1", &first), ("i-2", &second)]).await;
        let seen = send_request(tier.front, &post("/resumable/")).await;
        assert_eq!(
            (seen.text().as_str(), seen.complete),
            ("data: one\n\n", false)
        );
        assert_eq!(first.received().len() + second.received().len(), 1);
    });
}

#[test]
fn a_streams_deadline_truncates_it() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| stalled_stream(request)).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let seen = send_request(
            tier.front,
            &post("/once/").replace("r1", "r1\r\nTimeout-Ms: 100"),
        )
        .await;
        assert_eq!((seen.text().as_str(), seen.complete), (EVENTS[0], false));
    });
}

#[test]
fn a_complete_response_on_a_streaming_route_is_forwarded_in_chunks() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, EVENTS[0])]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let seen = send_request(tier.front, &post("/once/")).await;
        assert_eq!(
            (seen.status(), seen.text().as_str(), seen.complete),
            (200, EVENTS[0], true)
        );
    });
}

#[test]
fn a_stored_turn_without_storage_never_looks_complete() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| complete_stream(request)).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let request = post("/kept/").replace("r1", "r1\r\nProgram: p\r\nSession: s");
        let seen = send_request(tier.front, &request).await;
        assert_eq!((seen.text(), seen.complete), (EVENTS.concat(), false));
    });
}

/// A stream without a length whose connection closes in order after `length` bytes; the second one is complete.
async fn ended_in_order_after(path: &str, length: usize) -> (Seen, usize) {
    let begin = |request: &Received| {
        Step::Write(head(
            request,
            "200 OK",
            &[
                "Response-Signature: stamp",
                "Content-Type: text/event-stream",
            ],
        ))
    };
    let script = move |number: usize, request: &Received| {
        let complete = EVENTS.concat();
        let end = if number == 0 { length } else { complete.len() };
        vec![
            begin(request),
            Step::Write(complete.as_bytes()[..end].to_vec()),
            Step::Close,
        ]
    };
    let replica = Replica::start(script).await;
    let tier = Tier::start(&[("i-1", &replica)]).await;
    (
        send_request(tier.front, &post(path)).await,
        replica.received().len(),
    )
}

#[test]
fn a_stream_without_length_is_incomplete_when_it_stops_inside_an_event() {
    let complete = EVENTS.concat();
    for length in 0..=complete.len() {
        on_one_thread(async {
            let (seen, requests) = ended_in_order_after("/once/", length).await;
            assert_eq!(requests, 1);
            let looks_complete = seen.complete && seen.status() == 200;
            assert_eq!(
                looks_complete,
                event_ends().contains(&length),
                "ended at {length}: {seen:?}"
            );
            assert!(
                seen.status() != 200 || complete.starts_with(&seen.text()),
                "ended at {length}"
            );
        });
    }
}

#[test]
fn a_client_that_could_not_detect_a_truncated_stream_gets_none() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| match request.head.contains("/safe/") {
            true => vec![success(request, "ok")],
            false => vec![
                stream_head(request),
                chunk(EVENTS[0].as_bytes()),
                Step::Close,
            ],
        })
        .await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let seen = send_request(tier.front, &post("/once/").replace("HTTP/1.1", "HTTP/1.0")).await;
        assert_eq!(
            (seen.status(), seen.header("response-signature")),
            (505, None)
        );
        assert!(replica.received().is_empty());
        let seen = send_request(tier.front, &post("/safe/").replace("HTTP/1.1", "HTTP/1.0")).await;
        assert_eq!(
            (seen.status(), seen.text().as_str(), seen.complete),
            (200, "ok", true)
        );
    });
}
