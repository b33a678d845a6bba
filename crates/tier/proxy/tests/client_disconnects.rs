//! Replicas stop working for clients that have disconnected.

mod support;

use std::time::{Duration, Instant};
use support::replica::{Received, Replica, Step, chunk, head, stream_head};
use support::tier::Tier;
use support::{Client, on_one_thread, wait_for};
use woadreach_proxy::lifecycle::Phase;
use woadreach_proxy::request::state::RequestEnd;

/// Far under the routes' timeout, which would end the work too.
const SOON: Duration = Duration::from_secs(2);

fn post(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

fn disconnect(client: Client, how: Disconnect) {
    if let Disconnect::Reset = how {
        socket2::SockRef::from(&client.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
    }
    drop(client);
}

/// The client disconnects; each replica must close its connection soon.
async fn assert_disconnect_stops(
    client: Client,
    how: Disconnect,
    replicas: &[&Replica],
    case: &str,
) {
    let disconnected_at = Instant::now();
    disconnect(client, how);
    for replica in replicas {
        replica.wait_for_closed(1).await;
    }
    let elapsed = disconnected_at.elapsed();
    assert!(elapsed < SOON, "{case}, {how:?}: {elapsed:?}");
}

/// A replica that starts a stream and stalls after its first event.
fn stalled_stream(request: &Received) -> Vec<Step> {
    vec![
        stream_head(request),
        chunk(b"id: 1\ndata: one\n\n"),
        Step::Hang,
    ]
}

/// Waits until a request has ended because its client disconnected.
async fn wait_for_the_end(tier: &Tier) {
    wait_for("the end of the request", async {
        while !tier
            .proxy
            .counters
            .request_ends()
            .contains_key(&RequestEnd::ClientDisconnected)
        {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

#[test]
fn a_client_that_disconnects_before_its_response_stops_the_work() {
    on_one_thread(async {
        for path in ["/safe/", "/unsafe/", "/resumable/", "/once/", "/kept/"] {
            for how in [Disconnect::Close, Disconnect::Reset] {
                let replica = Replica::start(|_, _| vec![Step::Hang]).await;
                let tier = Tier::start(&[("i-1", &replica)]).await;
                let mut client = Client::connect(tier.front).await;
                client.send(post(path).as_bytes()).await;
                replica.wait_for_requests(1).await;
                assert_disconnect_stops(client, how, &[&replica], path).await;
            }
        }
    });
}

#[test]
fn a_client_that_disconnects_from_its_stream_stops_the_work() {
    on_one_thread(async {
        for path in ["/resumable/", "/once/", "/kept/"] {
            for how in [Disconnect::Close, Disconnect::Reset] {
                let replica = Replica::start(|_, request| stalled_stream(request)).await;
                let tier = Tier::start(&[("i-1", &replica)]).await;
                let mut client = Client::connect(tier.front).await;
                client.send(post(path).as_bytes()).await;
                client.until("data: one").await;
                assert_disconnect_stops(client, how, &[&replica], path).await;
            }
        }
    });
}

#[test]
fn a_stream_without_events_stops_when_its_client_disconnects() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![stream_head(request), Step::Hang]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        client.send(post("/once/").as_bytes()).await;
        replica.wait_for_requests(1).await;
        assert_disconnect_stops(client, Disconnect::Close, &[&replica], "no event").await;
    });
}

#[test]
fn both_attempts_of_a_hedged_request_stop_when_its_client_disconnects() {
    on_one_thread(async {
        let (one, two) = (
            Replica::start(|_, _| vec![Step::Hang]).await,
            Replica::start(|_, _| vec![Step::Hang]).await,
        );
        let tier = Tier::start(&[("i-1", &one), ("i-2", &two)]).await;
        let mut client = Client::connect(tier.front).await;
        client.send(post("/safe/").as_bytes()).await;
        one.wait_for_requests(1).await;
        two.wait_for_requests(1).await;
        assert_disconnect_stops(client, Disconnect::Close, &[&one, &two], "hedged").await;
    });
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_between_attempts() {
    on_one_thread(async {
        let full = ["Not-Executed: 1", "Retry-After: 0.2", "Content-Length: 0"];
        let script =
            move |_: usize, request: &Received| vec![Step::Write(head(request, "503 Full", &full))];
        let replica = Replica::start(script).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        client.send(post("/unsafe/").as_bytes()).await;
        replica.wait_for_requests(1).await;
        drop(client);
        wait_for_the_end(&tier).await;
        let sent = replica.received().len();
        // The times at which it would have been sent again pass while another request is refused.
        let mut other = Client::connect(tier.front).await;
        other
            .send(post("/unsafe/").replace("r1", "r2").as_bytes())
            .await;
        assert_eq!(other.answer().await.status(), 503);
        let of_first = replica
            .received()
            .iter()
            .filter(|request| request.header("request-id") == Some("r1"))
            .count();
        assert_eq!(of_first, sent);
    });
}

/// Sends this to a replica that never responds, or starts a stream and stops; then the client disconnects.
async fn stops_when_its_client_disconnects(request: &str, begins: bool, phase: Phase) {
    let script = move |_: usize, request: &Received| match begins {
        true => stalled_stream(request),
        false => vec![Step::Hang],
    };
    let replica = Replica::start(script).await;
    let tier = Tier::start(&[("i-1", &replica)]).await;
    tier.proxy.lifecycle.enter(phase);
    let mut client = Client::connect(tier.front).await;
    client.send(request.as_bytes()).await;
    replica.wait_for_requests(1).await;
    if begins {
        client.until("data: one").await;
    }
    let case = format!("{phase:?}, begun {begins}, after {request:?}");
    assert_disconnect_stops(client, Disconnect::Close, &[&replica], &case).await;
}

#[test]
fn a_connection_that_carries_no_more_requests_is_watched_too() {
    on_one_thread(async {
        let closing = post("/once/").replace("r1", "r1\r\nConnection: close");
        let chunked = "POST /once/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n\
                       Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
        // Streams are not given to clients of HTTP/1.0.
        let old = post("/unsafe/").replace("HTTP/1.1", "HTTP/1.0");
        let without_body = "GET /once/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n\r\n";
        for phase in [Phase::Serving, Phase::Draining] {
            stops_when_its_client_disconnects(&old, false, phase).await;
            for request in [closing.as_str(), chunked, without_body] {
                stops_when_its_client_disconnects(request, false, phase).await;
                stops_when_its_client_disconnects(request, true, phase).await;
            }
        }
    });
}
