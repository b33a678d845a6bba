//! The metrics page of an edge, after requests that ended in different ways.

mod support;

use std::sync::Arc;

use support::replica::{Replica, Step, success};
use support::tier::Tier;
use support::{Client, on_one_thread};
use tokio::sync::watch;
use woadreach_discovery::ControlSnapshot;
use woadreach_proxy::metrics::page_source;

fn request(path: &str, id: &str, timeout_ms: u32) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: {id}\r\nTimeout-Ms: {timeout_ms}\r\n\r\n"
    )
}

fn page(tier: &Tier) -> String {
    let (_sender, snapshots) = watch::channel(Arc::new(ControlSnapshot::default()));
    let source = page_source(tier.proxy.clone(), tier.connections.clone(), snapshots);
    source().render().unwrap()
}

#[test]
fn ends_decisions_and_state_are_told() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| match &*request.head {
            head if head.contains("r2") => vec![Step::Hang],
            _ => vec![success(request, "ok")],
        })
        .await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        for (path, id, status) in [
            ("/safe/", "r1", 200),
            ("/unsafe/", "r2", 504),
            ("/no/", "r3", 404),
        ] {
            client.send(request(path, id, 300).as_bytes()).await;
            assert_eq!(client.answer().await.status(), status, "{id}");
        }
        let text = page(&tier);
        for sample in [
            "woadreach_requests_ended_total{end=\"Answered\"} 1.0",
            "woadreach_requests_ended_total{end=\"TimedOut\"} 1.0",
            "woadreach_requests_not_accepted_total{reason=\"no_route\"} 1.0",
            "woadreach_decisions_total{decision=\"sent\"} 2.0",
            "woadreach_decisions_total{decision=\"shed_on_arrival\"} 0.0",
            "woadreach_calls{state=\"queued\"} 0.0",
            "woadreach_client_connections 1.0",
            "woadreach_client_connections_accepted_total 1.0",
            "woadreach_configuration_generation 7.0",
            "woadreach_replicas{state=\"ready\"} 1.0",
            "woadreach_replicas{state=\"draining\"} 0.0",
        ] {
            assert!(
                text.lines().any(|line| line == sample),
                "{sample} in:\n{text}"
            );
        }
    });
}
