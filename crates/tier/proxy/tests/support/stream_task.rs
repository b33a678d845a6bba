//! Tasks of requests of the route of resumable streams, without a client's connection, and streams whose events name the
//! run that they belong to.

use super::replica::{Received, Replica, Step, chunk};
use super::tier::{CONFIGURATION, Tier, configured};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::ops::RangeInclusive;
use tokio::time::Instant;
use woadreach_proxy::client::headers::RequestMetadata;
use woadreach_proxy::client::request::ClientRequest;
use woadreach_proxy::proxy::Proxy;

const LOW_TARGET_LATENCY: &str = "\"target_latency_ms\":30";

/// A data plane whose scheduler gives streams up that have not started after some tens of milliseconds.
pub(crate) async fn start_tier(replicas: &[(&str, &Replica)]) -> Tier {
    let configuration = CONFIGURATION.replace("\"target_latency_ms\":250", LOW_TARGET_LATENCY);
    Tier::start_knowing(&configured(replicas, &configuration)).await
}

/// A request of the route of resumable streams.
pub(crate) fn resumable_request(proxy: &Proxy, id: &str) -> ClientRequest {
    let mut headers = HeaderMap::new();
    headers.insert("request-id", id.parse().expect("a header"));
    let routing_state = proxy.routing_state();
    let route = routing_state
        .routes
        .find("tier.example", "/resumable/")
        .expect("a configured route");
    let arrived_at = Instant::now();
    ClientRequest {
        metadata: RequestMetadata::read(&headers).expect("valid headers"),
        route: route.clone(),
        tokens_per_event: 1,
        method: Method::POST,
        target: Uri::from_static("/resumable/"),
        headers,
        body: Bytes::from_static(b"hi"),
        arrived_at,
        deadline: arrived_at + route.timeout,
    }
}

/// Number of the event that a request asks a replica to resume after.
pub(crate) fn resume_after(request: &Received) -> usize {
    request
        .header("last-event-id")
        .map_or(0, |text| text.parse().expect("a number"))
}

/// Events of a run that was asked to resume after event `after`. Each names the run, `after` and its own number.
pub(crate) fn events(run: &str, after: usize, numbers: RangeInclusive<usize>) -> Step {
    let event = |number: usize| format!("id: {number}\ndata: {run} {after} {number}\n\n");
    chunk(numbers.map(event).collect::<String>().as_bytes())
}

/// An event as a client got it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReceivedEvent {
    pub run: String,
    /// The event that the run was asked to resume after.
    pub run_after: usize,
    pub number: usize,
}

/// The events of a body.
pub(crate) fn received_events(body: &[u8]) -> Vec<ReceivedEvent> {
    let text = String::from_utf8_lossy(body);
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(|data| {
        let fields: Vec<&str> = data.split(' ').collect();
        ReceivedEvent {
            run: fields[0].to_owned(),
            run_after: fields[1].parse().expect("a number"),
            number: fields[2].parse().expect("a number"),
        }
    })
    .collect()
}

/// Whether these are the first events of a stream, each once and in order.
pub(crate) fn are_in_order(events: &[ReceivedEvent]) -> bool {
    (1..)
        .zip(events)
        .all(|(number, event)| event.number == number)
}

/// Whether events of a run follow those of another run that it was not asked to resume after.
pub(crate) fn are_joined(events: &[ReceivedEvent]) -> bool {
    events
        .windows(2)
        .any(|pair| pair[0].run != pair[1].run && pair[1].run_after != pair[0].number)
}
