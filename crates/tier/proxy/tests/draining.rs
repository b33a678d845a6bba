//! Changes of configuration and of replicas, and readiness: requests in flight are served to their end.

mod support;

use std::sync::Arc;
use support::replica::{Received, Replica, Step, chunk, stream_end, stream_head, success};
use support::storage::Storage;
use support::tier::{CONFIGURATION, Tier, configured};
use support::{Client, on_one_thread, send_request};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use woadreach_discovery::ControlSnapshot;
use woadreach_proxy::lifecycle::Phase;
use woadreach_proxy::readiness;

/// A later configuration without any route of the first one.
const OTHER: &str = r#"{"generation":9,"routes":[{"name":"new","domain":"tier.example","path_prefix":"/new/",
 "route_type":"safe","timeout_ms":50,"target_latency_ms":20,"priority":0,"service":"other","max_retries":1}],
 "services":[{"name":"other","health_check":"/healthz","max_conns":1}],
 "limits":{"max_header_bytes":4096,"max_body_bytes":1,"header_timeout_ms":100,"idle_timeout_ms":100}}"#;

fn post(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
    )
}

#[test]
fn an_edge_that_knows_no_configuration_answers_503() {
    on_one_thread(async {
        let tier = Tier::start_knowing(&ControlSnapshot::default()).await;
        for path in ["/safe/", "/never/was/", "/"] {
            let seen = send_request(tier.front, &post(path)).await;
            assert_eq!(seen.status(), 503, "{path}");
            assert!(seen.header("retry-after").is_some());
            assert_eq!(seen.header("request-id"), Some("r1"));
        }
    });
}

#[test]
fn an_edge_that_may_know_an_old_configuration_denies_no_route() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let known = configured(&[("i-1", &replica)], CONFIGURATION);
        let tier = Tier::start_knowing(&ControlSnapshot {
            has_reached_current_state: false,
            ..known.clone()
        })
        .await;
        assert_eq!(
            send_request(tier.front, &post("/added/later/"))
                .await
                .status(),
            503
        );
        assert_eq!(
            send_request(tier.front, &post("/unsafe/")).await.status(),
            200,
            "a route that is known is served"
        );
        tier.proxy.apply_snapshot(&known);
        assert_eq!(
            send_request(tier.front, &post("/added/later/"))
                .await
                .status(),
            404
        );
    });
}

#[test]
fn requests_in_flight_outlive_their_route_and_their_replica() {
    on_one_thread(async {
        for path in ["/safe/", "/unsafe/", "/once/", "/resumable/"] {
            let go_on = Arc::new(Notify::new());
            let gate = go_on.clone();
            let script = move |_: usize, request: &Received| match path {
                "/safe/" | "/unsafe/" => {
                    vec![
                        Step::Await(gate.clone()),
                        success(request, "id: 1\ndata: x\n\n"),
                    ]
                }
                _ => {
                    let rest = [chunk(b"id: 1\ndata: x\n\n"), stream_end()];
                    [
                        vec![stream_head(request), Step::Await(gate.clone())],
                        rest.to_vec(),
                    ]
                    .concat()
                }
            };
            let replica = Replica::start(script).await;
            let tier = Tier::start(&[("i-1", &replica)]).await;
            let mut client = Client::connect(tier.front).await;
            client.send(post(path).as_bytes()).await;
            replica.wait_for_requests(1).await;
            tier.proxy.apply_snapshot(&configured(&[], OTHER));
            assert_eq!(
                send_request(tier.front, &post(path)).await.status(),
                404,
                "the route is gone"
            );
            go_on.notify_one();
            let seen = client.answer().await;
            assert_eq!(
                (seen.status(), seen.text().as_str()),
                (200, "id: 1\ndata: x\n\n"),
                "{path}"
            );
            assert!(seen.complete, "{path}");
            assert_eq!(replica.received().len(), 1, "{path}");
        }
    });
}

#[test]
fn an_older_configuration_that_comes_late_changes_nothing() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start_knowing(&configured(&[("i-1", &replica)], OTHER)).await;
        tier.proxy
            .apply_snapshot(&configured(&[("i-1", &replica)], CONFIGURATION));
        assert_eq!(
            send_request(tier.front, &post("/safe/")).await.status(),
            404
        );
    });
}

/// Starts the readiness address of a tier and gives the status of each call to it.
async fn readiness_of(tier: &Tier) -> impl AsyncFn() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let router = readiness::router(tier.proxy.clone());
    tokio::spawn(axum::serve(listener, router).into_future());
    async move || {
        send_request(
            address,
            "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        )
        .await
        .status()
    }
}

#[test]
fn an_edge_is_ready_once_it_can_serve_and_at_no_time_after_a_sigterm() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start_knowing(&ControlSnapshot::default()).await;
        let ready = readiness_of(&tier).await;
        assert_eq!(ready().await, 503, "nothing is known");
        tier.proxy
            .apply_snapshot(&configured(&[("i-1", &replica)], CONFIGURATION));
        assert_eq!(ready().await, 503, "the storage machines are not known");
        let _storage = Storage::start(&tier, &[("i-1", &replica)]).await;
        assert_eq!(ready().await, 200);
        for phase in [Phase::Draining, Phase::Closing, Phase::Serving] {
            tier.proxy.lifecycle.enter(phase);
            assert_eq!(ready().await, 503, "{phase:?}");
        }
        assert_eq!(
            send_request(tier.front, &post("/unsafe/")).await.status(),
            200,
            "requests are still served"
        );
    });
}
