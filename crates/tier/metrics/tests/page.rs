//! Rendering of a page in the text format, and serving it over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use woadreach_metrics::{CONTENT_TYPE, MetricsError, Page, Samples, bind, router};

fn example_page() -> Page {
    let mut page = Page::default();
    page.gauge("woadreach_clients", "Open connections of clients", 3.0);
    page.flag("woadreach_ready", "Whether requests are served", true);
    page.counters(
        "woadreach_requests_ended",
        "Requests by how they ended",
        Samples::by("end", [("Answered", 7.0), ("say \"no\"\nor \\", 1.0)]),
    );
    page.counter("woadreach_connections", "Accepted connections", 9);
    page
}

#[test]
fn the_text_contains_each_sample_with_its_help_and_type() {
    let text = example_page().render().unwrap();
    let expected = [
        "# HELP woadreach_clients Open connections of clients",
        "# TYPE woadreach_clients gauge",
        "woadreach_clients 3.0",
        "woadreach_ready 1.0",
        "# TYPE woadreach_requests_ended counter",
        "woadreach_requests_ended_total{end=\"Answered\"} 7.0",
        "woadreach_requests_ended_total{end=\"say \\\"no\\\"\\nor \\\\\"} 1.0",
        "woadreach_connections_total 9.0",
    ];
    for line in expected {
        assert!(
            text.lines().any(|found| found == line),
            "line {line:?} is missing in:\n{text}"
        );
    }
    assert!(text.ends_with("# EOF\n"));
}

#[test]
fn a_metric_without_samples_is_rendered_as_its_description() {
    let mut page = Page::default();
    let no_samples: [(&str, f64); 0] = [];
    page.gauges(
        "woadreach_replicas",
        "Replicas",
        Samples::by("state", no_samples),
    );
    let text = page.render().unwrap();
    assert!(text.contains("# TYPE woadreach_replicas gauge"), "{text}");
    assert!(!text.contains("woadreach_replicas{"), "{text}");
}

#[tokio::test]
async fn each_request_is_served_a_new_page() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = std::sync::atomic::AtomicU64::new(0);
    let source = move || {
        let mut page = Page::default();
        let request = 1 + requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        page.counter("woadreach_reads", "Reads of this page", request);
        page
    };
    tokio::spawn(async move { axum::serve(listener, router(Arc::new(source))).await });
    for request in 1..=2 {
        let url = format!("http://{address}/metrics");
        let response = reqwest::get(&url).await.unwrap();
        assert_eq!(response.headers()["content-type"], CONTENT_TYPE);
        let text = response.text().await.unwrap();
        assert!(
            text.contains(&format!("woadreach_reads_total {request}")),
            "{text}"
        );
    }
    let other_path = reqwest::get(format!("http://{address}/")).await.unwrap();
    assert_eq!(other_path.status(), 404);
}

#[tokio::test]
async fn the_error_for_an_address_in_use_contains_the_address() {
    let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let error = bind(address).await.unwrap_err();
    let MetricsError::Listen {
        address: reported, ..
    } = &error;
    assert_eq!(*reported, address);
    assert!(error.to_string().contains(&address.to_string()));
}
