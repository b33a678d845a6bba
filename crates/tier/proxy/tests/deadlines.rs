//! Requests are answered at their route's timeout, and replicas get no more than the remaining time.

mod support;

use std::time::{Duration, Instant};
use support::replica::{Received, Replica, Step, chunk, not_executed, stream_head, success};
use support::tier::{CONFIGURATION, Tier, configured};
use support::{Client, Seen, on_one_thread, send_request};

/// Timeout of every route here.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(400);
/// For a busy machine; under every other limit that could end a request here (a head may take 3 s).
const SLACK: Duration = Duration::from_millis(1500);

/// A tier whose routes have a short timeout.
async fn tier(replicas: &[(&str, &Replica)]) -> Tier {
    let configuration = CONFIGURATION.replace("\"timeout_ms\":5000", "\"timeout_ms\":400");
    Tier::start_knowing(&configured(replicas, &configuration)).await
}

fn head_of(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n{headers}")
}

fn post(path: &str, headers: &str) -> String {
    head_of(path, headers) + "Content-Length: 2\r\n\r\nhi"
}

/// Sends a request whose client would wait for much longer, and returns its response, due at the timeout.
async fn answered_at_the_timeout(tier: &Tier, request: &str) -> Seen {
    let sent = Instant::now();
    let seen = send_request(tier.front, request).await;
    let after = sent.elapsed();
    assert!(after < ROUTE_TIMEOUT + SLACK, "{after:?}");
    seen
}

#[test]
fn an_unresponsive_replica_times_out_at_the_routes_timeout() {
    on_one_thread(async {
        for path in ["/safe/", "/unsafe/", "/resumable/", "/once/"] {
            let replica = Replica::start(|_, _| vec![Step::Hang]).await;
            let tier = tier(&[("i-1", &replica)]).await;
            let seen = answered_at_the_timeout(&tier, &post(path, "Timeout-Ms: 60000\r\n")).await;
            assert_eq!(seen.status(), 504, "{path}");
            replica.wait_for_closed(1).await;
        }
    });
}

#[test]
fn a_stream_in_progress_is_truncated_at_the_routes_timeout() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| {
            vec![
                stream_head(request),
                chunk(b"id: 1\ndata: one\n\n"),
                Step::Hang,
            ]
        })
        .await;
        let tier = tier(&[("i-1", &replica)]).await;
        for path in ["/resumable/", "/once/", "/kept/"] {
            let seen = answered_at_the_timeout(&tier, &post(path, "")).await;
            assert_eq!((seen.status(), seen.complete), (200, false), "{path}");
        }
        replica.wait_for_closed(3).await;
    });
}

#[test]
fn a_slow_body_times_out_at_the_routes_timeout() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = tier(&[("i-1", &replica)]).await;
        let sent = Instant::now();
        let mut client = Client::connect(tier.front).await;
        client
            .send((head_of("/unsafe/", "Content-Length: 5\r\n\r\n") + "he").as_bytes())
            .await;
        let seen = client.answer().await;
        assert_eq!(
            (seen.status(), seen.header("connection")),
            (408, Some("close"))
        );
        assert!(
            sent.elapsed() < ROUTE_TIMEOUT + SLACK,
            "{:?}",
            sent.elapsed()
        );
        assert!(replica.received().is_empty());
    });
}

/// The number in a header of milliseconds.
fn sent_timeout_ms(request: &Received) -> u64 {
    request
        .header("timeout-ms")
        .expect("a time")
        .parse()
        .expect("a number")
}

#[test]
fn every_attempt_gets_the_remaining_time_and_no_more() {
    on_one_thread(async {
        for (path, client, max_timeout_ms) in [
            ("/safe/", 3_000, 3_000),
            ("/unsafe/", 60_000, 5_000),
            ("/once/", 3_000, 3_000),
        ] {
            // Refuses twice, so that the pauses between attempts use time up.
            let replica = Replica::start(|number, request| match number {
                0 | 1 => vec![not_executed(request)],
                _ => vec![success(request, "id: 1\ndata: one\n\n")],
            })
            .await;
            let tier = Tier::start(&[("i-1", &replica)]).await;
            let sent = Instant::now();
            let seen = send_request(
                tier.front,
                &post(path, &format!("Timeout-Ms: {client}\r\n")),
            )
            .await;
            let elapsed = sent.elapsed();
            assert_eq!(seen.status(), 200, "{path}");
            let times: Vec<u64> = replica.received().iter().map(sent_timeout_ms).collect();
            assert_eq!(times.len(), 3, "{path}");
            assert!(times[0] <= max_timeout_ms, "{path}: {times:?}");
            assert!(
                times[1] + 30 <= times[0] + 1,
                "the first pause is not in it, {path}: {times:?}"
            );
            assert!(
                times[2] + 60 <= times[1] + 1,
                "the second pause is not in it, {path}: {times:?}"
            );
            // The header is cut to complete milliseconds.
            let left_at_most = Duration::from_millis(times[2] + 1);
            assert!(
                left_at_most + elapsed > Duration::from_millis(max_timeout_ms),
                "less than is left, {path}: {times:?} after {elapsed:?}"
            );
        }
    });
}

#[test]
fn without_a_client_timeout_attempts_get_the_routes() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = tier(&[("i-1", &replica)]).await;
        assert_eq!(
            send_request(tier.front, &post("/safe/", "")).await.status(),
            200
        );
        let timeout_ms = sent_timeout_ms(&replica.received()[0]);
        assert!((1..=400).contains(&timeout_ms), "{timeout_ms}");
    });
}
