//! The text form of a page, and the page as it is served.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use woadreach_metrics::{CONTENT_TYPE, MetricsError, Page, Samples, bind, router};

fn page() -> Page {
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
fn the_text_has_each_sample_with_its_help_and_kind() {
    let text = page().render().unwrap();
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
            "{line} in:\n{text}"
        );
    }
    assert!(text.ends_with("# EOF\n"));
}

#[test]
fn a_family_without_samples_is_only_described() {
    let mut page = Page::default();
    let none: [(&str, f64); 0] = [];
    page.gauges("woadreach_replicas", "Replicas", Samples::by("state", none));
    let text = page.render().unwrap();
    assert!(text.contains("# TYPE woadreach_replicas gauge"), "{text}");
    assert!(!text.contains("woadreach_replicas{"), "{text}");
}

#[tokio::test]
async fn the_page_is_served_anew_at_each_read() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let reads = std::sync::atomic::AtomicU64::new(0);
    let source = move || {
        let mut page = Page::default();
        let read = 1 + reads.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        page.counter("woadreach_reads", "Reads of this page", read);
        page
    };
    tokio::spawn(async move { axum::serve(listener, router(Arc::new(source))).await });
    for read in 1..=2 {
        let url = format!("http://{address}/metrics");
        let response = reqwest::get(&url).await.unwrap();
        assert_eq!(response.headers()["content-type"], CONTENT_TYPE);
        let text = response.text().await.unwrap();
        assert!(
            text.contains(&format!("woadreach_reads_total {read}")),
            "{text}"
        );
    }
    let elsewhere = reqwest::get(format!("http://{address}/")).await.unwrap();
    assert_eq!(elsewhere.status(), 404);
}

#[tokio::test]
async fn an_address_that_is_taken_is_named() {
    let taken = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .unwrap();
    let address = taken.local_addr().unwrap();
    let error = bind(address).await.unwrap_err();
    let MetricsError::Listen { address: named, .. } = &error;
    assert_eq!(*named, address);
    assert!(error.to_string().contains(&address.to_string()));
}
