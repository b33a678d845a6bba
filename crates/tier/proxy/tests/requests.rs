//! Requests through a data plane on loopback to scripted replicas.

mod support;

use std::sync::Arc;
use support::replica::{Replica, Step, head, not_executed, success};
use support::tier::Tier;
use support::{Client, on_one_thread, send_request};
use tokio::sync::Notify;
use woadreach_proxy::lifecycle::Phase;
use woadreach_proxy::shutdown::close_connections;

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request to a tier of one replica that answers with these steps.
async fn through(
    request: &str,
    steps: impl Fn(&support::replica::Received) -> Vec<Step> + Send + Sync + 'static,
) -> (support::Seen, Replica) {
    let replica = Replica::start(move |_, request| steps(request)).await;
    let tier = Tier::start(&[("i-1", &replica)]).await;
    (send_request(tier.front, request).await, replica)
}

#[test]
fn a_request_and_its_response_pass_unchanged() {
    on_one_thread(async {
        let request = "POST /unsafe/a%20b/c?x=1&y=%2F HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n\
                       Timeout-Ms: 1000\r\nX-Own: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
                       Content-Length: 5\r\n\r\nhello";
        let (seen, replica) = through(request, |request| vec![success(request, "world")]).await;
        assert_eq!(
            (seen.status(), seen.text().as_str(), seen.complete),
            (200, "world", true)
        );
        assert_eq!(seen.header("response-signature"), Some("stamp"));
        assert_eq!(seen.header("request-id"), Some("r1"));
        let received = &replica.received()[0];
        assert!(
            received
                .head
                .starts_with("POST /unsafe/a%20b/c?x=1&y=%2F HTTP/1.1"),
            "{}",
            received.head
        );
        assert_eq!(received.body, b"hello");
        assert_eq!(received.header("host"), Some("tier.example"));
        assert_eq!(received.header("expect-instance"), Some("i-1"));
        assert_eq!(received.header("x-own"), Some("kept"));
        assert_eq!(
            (received.header("x-hop"), received.header("te")),
            (None, None)
        );
        let left: u64 = received
            .header("timeout-ms")
            .expect("time left")
            .parse()
            .expect("a number");
        assert!((1..=1000).contains(&left), "{left}");
    });
}

#[test]
fn a_chunked_body_arrives_completely_and_closes_the_connection() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        let smuggled = "POST /unsafe/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\
                        Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n\
                        POST /unsafe/smuggled HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r2\r\n\
                        Content-Length: 0\r\n\r\n";
        client.send(smuggled.as_bytes()).await;
        client.answer().await;
        assert!(client.is_closed().await);
        let received = replica.received();
        assert_eq!(received.len(), 1, "what follows a chunked body is not read");
        assert_eq!(received[0].body, b"hello");
    });
}

#[test]
fn two_different_lengths_are_rejected() {
    on_one_thread(async {
        let request = "POST /unsafe/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\
                       Content-Length: 2\r\n\r\nab";
        let (seen, replica) = through(request, |request| vec![success(request, "ok")]).await;
        assert_eq!(seen.status(), 400);
        assert!(replica.received().is_empty());
    });
}

#[test]
fn an_unsafe_request_that_broke_off_is_not_repeated() {
    on_one_thread(async {
        let first = Replica::start(|_, _| vec![Step::Close]).await;
        let second = Replica::start(|_, _| vec![Step::Close]).await;
        let tier = Tier::start(&[("i-1", &first), ("i-2", &second)]).await;
        let seen = send_request(tier.front, &post("/unsafe/", "x")).await;
        assert_eq!(seen.status(), 502);
        assert_eq!(seen.header("response-signature"), None);
        assert_eq!(first.received().len() + second.received().len(), 1);
    });
}

#[test]
fn an_unsafe_request_goes_elsewhere_after_a_promise() {
    on_one_thread(async {
        let script = |_: usize, request: &support::replica::Received| match request
            .header("expect-instance")
        {
            Some("i-1") => vec![not_executed(request)],
            _ => vec![success(request, "ran")],
        };
        let first = Replica::start(script).await;
        let second = Replica::start(script).await;
        let tier = Tier::start(&[("i-1", &first), ("i-2", &second)]).await;
        for _ in 0..8 {
            let seen = send_request(tier.front, &post("/unsafe/", "x")).await;
            assert_eq!((seen.status(), seen.text().as_str()), (200, "ran"));
        }
        assert_eq!(second.received().len(), 8);
    });
}

#[test]
fn a_safe_request_is_repeated_after_any_failure() {
    on_one_thread(async {
        let script = |_: usize, request: &support::replica::Received| match request
            .header("expect-instance")
        {
            Some("i-1") => vec![
                Step::Write(b"HTTP/1.1 200 OK\r\nContent-Le".to_vec()),
                Step::Close,
            ],
            _ => vec![success(request, "ran")],
        };
        let first = Replica::start(script).await;
        let second = Replica::start(script).await;
        let tier = Tier::start(&[("i-1", &first), ("i-2", &second)]).await;
        for _ in 0..8 {
            assert_eq!(send_request(tier.front, &get("/safe/")).await.text(), "ran");
        }
    });
}

#[test]
fn no_success_without_signature_id_and_complete_unencoded_body() {
    on_one_thread(async {
        let answers: [(&str, &str); 5] = [
            ("Request-Id: r1\r\nContent-Length: 2\r\n", "ok"),
            (
                "Request-Id: r2\r\nResponse-Signature: s\r\nContent-Length: 2\r\n",
                "ok",
            ),
            ("Response-Signature: s\r\nContent-Length: 2\r\n", "ok"),
            (
                "Request-Id: r1\r\nResponse-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n",
                "ok",
            ),
            (
                "Request-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 9\r\n",
                "ok",
            ),
        ];
        for (lines, body) in answers {
            let bytes = format!("HTTP/1.1 200 OK\r\n{lines}\r\n{body}").into_bytes();
            let (seen, replica) = through(&post("/unsafe/", "x"), move |_| {
                vec![Step::Write(bytes.clone()), Step::Close]
            })
            .await;
            assert_eq!(seen.status(), 502, "{lines}");
            assert_eq!(seen.header("response-signature"), None);
            assert_eq!(replica.received().len(), 1);
        }
    });
}

#[test]
fn a_replicas_own_failure_is_forwarded_with_its_signature() {
    on_one_thread(async {
        for status in [
            "500 Internal Server Error",
            "404 Not Found",
            "504 Gateway Timeout",
        ] {
            let lines = ["Response-Signature: s", "Content-Length: 3"];
            let (seen, _) = through(&post("/unsafe/", "x"), move |request| {
                let mut bytes = head(request, status, &lines);
                bytes.extend_from_slice(b"bad");
                vec![Step::Write(bytes)]
            })
            .await;
            assert!(status.starts_with(&seen.status().to_string()), "{status}");
            assert_eq!(
                (seen.header("response-signature"), seen.text().as_str()),
                (Some("s"), "bad")
            );
        }
    });
}

#[test]
fn a_status_that_promises_is_not_forwarded_for_what_has_run() {
    on_one_thread(async {
        for status in ["503 Busy", "429 Too Many Requests", "408 Request Timeout"] {
            let lines = ["Response-Signature: s", "Content-Length: 0"];
            let answer = move |request: &support::replica::Received| {
                vec![Step::Write(head(request, status, &lines))]
            };
            let (seen, _) = through(&post("/unsafe/", "x"), answer).await;
            assert_eq!(
                (seen.status(), seen.header("response-signature")),
                (502, None),
                "{status}"
            );
        }
    });
}

#[test]
fn surplus_responses_belong_to_no_request() {
    on_one_thread(async {
        let replica = Replica::start(|number, request| {
            let answer = success(request, &format!("answer {number}"));
            vec![answer.clone(), answer]
        })
        .await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        for number in 0..4 {
            let seen = send_request(tier.front, &get("/safe/")).await;
            assert!(
                seen.status() == 502 || seen.text() == format!("answer {number}"),
                "{seen:?}"
            );
        }
    });
}

#[test]
fn connections_to_replicas_are_used_again() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        for _ in 0..5 {
            client.send(get("/safe/").as_bytes()).await;
            assert_eq!(client.answer().await.status(), 200);
        }
        assert_eq!((replica.received().len(), replica.connections()), (5, 1));
    });
}

#[test]
fn a_connection_that_the_replica_closes_is_not_used_again() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| {
            let lines = [
                "Response-Signature: s",
                "Content-Length: 0",
                "Connection: close",
            ];
            vec![Step::Write(head(request, "200 OK", &lines))]
        })
        .await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        for _ in 0..3 {
            assert_eq!(
                send_request(tier.front, &post("/unsafe/", "x"))
                    .await
                    .status(),
                200
            );
        }
        assert_eq!(replica.connections(), 3);
    });
}

#[test]
fn a_connection_that_closes_without_notice_fails_no_request() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok"), Step::Close]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        for _ in 0..5 {
            assert_eq!(
                send_request(tier.front, &post("/unsafe/", "x"))
                    .await
                    .status(),
                200
            );
        }
        assert_eq!((replica.received().len(), replica.connections()), (5, 5));
    });
}

#[test]
fn a_replica_that_is_not_there_has_run_nothing() {
    on_one_thread(async {
        let there = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let unreachable = Replica::nowhere().await;
        let tier = Tier::start(&[("i-1", &unreachable), ("i-2", &there)]).await;
        for _ in 0..6 {
            assert_eq!(
                send_request(tier.front, &post("/unsafe/", "x"))
                    .await
                    .status(),
                200
            );
        }
    });
}

#[test]
fn a_client_that_disconnects_stops_the_replicas_work() {
    on_one_thread(async {
        let replica = Replica::start(|_, _| vec![Step::Hang]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        client.send(post("/unsafe/", "x").as_bytes()).await;
        replica.wait_for_requests(1).await;
        drop(client);
        replica.wait_for_closed(1).await;
    });
}

#[test]
fn a_request_stops_at_its_clients_deadline() {
    on_one_thread(async {
        let request = "POST /unsafe/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nTimeout-Ms: 50\r\n\
                       Content-Length: 0\r\n\r\n";
        let (seen, replica) = through(request, |_| vec![Step::Hang]).await;
        assert_eq!(seen.status(), 504);
        replica.wait_for_closed(1).await;
    });
}

#[test]
fn a_request_that_no_replica_can_take_is_refused_with_advice() {
    on_one_thread(async {
        let tier = Tier::start(&[]).await;
        let seen = send_request(tier.front, &post("/unsafe/", "x")).await;
        assert_eq!(seen.status(), 503);
        let advice: f64 = seen
            .header("retry-after")
            .expect("advice")
            .parse()
            .expect("seconds");
        assert!(advice > 0.0);
    });
}

#[test]
fn unreadable_requests_are_rejected_by_name() {
    on_one_thread(async {
        let (big_body, big_header) = ("x".repeat(65537), "x".repeat(9000));
        let cases = [
            (get("/elsewhere/"), 404, ""),
            (
                "GET /safe/ HTTP/1.1\r\nRequest-Id: r1\r\n\r\n".to_owned(),
                400,
                "Host",
            ),
            (
                "GET /safe/ HTTP/1.1\r\nHost: tier.example\r\n\r\n".to_owned(),
                400,
                "Request-Id",
            ),
            (
                get("/safe/").replace("r1", "r1\r\nTimeout-Ms: soon"),
                400,
                "Timeout-Ms",
            ),
            (post("/unsafe/", &big_body), 413, ""),
            (
                get("/safe/").replace("r1", &format!("r1\r\nX-Big: {big_header}")),
                431,
                "",
            ),
            ("GET /safe/\r\n\r\n".to_owned(), 400, ""),
            (
                post("/unsafe/", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    + "zz\r\n",
                400,
                "",
            ),
        ];
        for (request, status, named) in cases {
            let (seen, replica) = through(&request, |request| vec![success(request, "ok")]).await;
            assert_eq!(
                seen.status(),
                status,
                "{}",
                &request[..request.len().min(120)]
            );
            assert!(seen.text().contains(named), "{}", seen.text());
            assert!(replica.received().is_empty());
        }
    });
}

#[test]
fn a_draining_process_serves_on_and_closes_connections() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut idle = Client::connect(tier.front).await;
        idle.send(get("/safe/").as_bytes()).await;
        assert_eq!(idle.answer().await.header("connection"), None);
        tier.proxy.lifecycle.enter(Phase::Draining);
        let mut client = Client::connect(tier.front).await;
        client.send(get("/safe/").as_bytes()).await;
        let seen = client.answer().await;
        assert_eq!(
            (seen.status(), seen.header("connection")),
            (200, Some("close"))
        );
        assert!(client.is_closed().await);
        support::wait_for("the end", close_connections(&tier.proxy, &tier.connections)).await;
        assert!(idle.is_closed().await);
    });
}

#[test]
fn a_closing_process_answers_every_request_that_still_comes() {
    on_one_thread(async {
        let go_on = Arc::new(Notify::new());
        let gate = go_on.clone();
        let replica = Replica::start(move |number, request| match number {
            0 => vec![Step::Await(gate.clone()), success(request, "first")],
            _ => vec![success(request, "later")],
        })
        .await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut first = Client::connect(tier.front).await;
        first.send(post("/unsafe/", "x").as_bytes()).await;
        replica.wait_for_requests(1).await;
        let (proxy, connections) = (tier.proxy.clone(), tier.connections.clone());
        let closing = tokio::spawn(async move { close_connections(&proxy, &connections).await });
        for _ in 0..3 {
            assert_eq!(
                send_request(tier.front, &post("/unsafe/", "x"))
                    .await
                    .text(),
                "later"
            );
            assert!(!closing.is_finished(), "a request is in hand");
        }
        go_on.notify_one();
        assert_eq!(first.answer().await.text(), "first");
        support::wait_for("the end", closing)
            .await
            .expect("no panic");
    });
}

#[test]
fn a_closing_process_waits_for_a_connection_that_is_being_opened() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        // The head has begun to arrive: the connection is not idle any more.
        client
            .send(b"GET /safe/ HTTP/1.1\r\nHost: tier.example\r\n")
            .await;
        while tier.connections.open_connections() == 0 || !tier.connections.is_reading() {
            tokio::task::yield_now().await;
        }
        let (proxy, connections) = (tier.proxy.clone(), tier.connections.clone());
        let closing = tokio::spawn(async move { close_connections(&proxy, &connections).await });
        tokio::task::yield_now().await;
        client.send(b"Request-Id: r1\r\n\r\n").await;
        assert_eq!(client.answer().await.status(), 200);
        support::wait_for("the end", closing)
            .await
            .expect("no panic");
    });
}
