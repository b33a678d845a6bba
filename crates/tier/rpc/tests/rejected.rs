//! Requests that a handler rejects: the caller gets an error, and they are counted and logged with their
//! sender and the reason.

use std::fmt::{Debug, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::net::TcpListener;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};
use woadreach_rpc::{CallError, Client, ClientOptions, RejectedRequests, Router, ServiceId, serve};

const PICKY: ServiceId = ServiceId(42);
const LONG: Duration = Duration::from_secs(10);

#[derive(Debug, Snafu)]
#[snafu(display("{length} bytes are odd"))]
struct Odd {
    length: usize,
}

/// The fields of every event, as text.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

struct Fields(String);

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        write!(self.0, "{}={value:?} ", field.name()).unwrap();
    }
}

impl Subscriber for Log {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn event(&self, event: &Event<'_>) {
        let mut fields = Fields(String::new());
        event.record(&mut fields);
        self.0.lock().push(fields.0);
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

/// Starts a server that accepts requests of even length.
async fn start() -> (SocketAddr, RejectedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().route_checked(PICKY, |_, body: Bytes| async move {
        let length = body.len();
        if length.is_multiple_of(2) {
            Ok(body.to_vec())
        } else {
            Err(Odd { length })
        }
    });
    let rejected = router.rejected();
    tokio::spawn(serve(listener, router));
    (address, rejected)
}

#[tokio::test]
async fn a_rejected_request_is_refused_and_counted_and_the_connection_goes_on() {
    let (address, rejected) = start().await;
    let client = Client::new(ClientOptions::default());
    assert_eq!(
        client.call(address, PICKY, vec![1], LONG).await,
        Err(CallError::Refused)
    );
    assert_eq!(
        client.call(address, PICKY, vec![1, 2], LONG).await,
        Ok(Bytes::from_static(&[1, 2]))
    );
    client.notify(address, PICKY, vec![1, 2, 3]);
    assert_eq!(
        client.call(address, PICKY, vec![1], LONG).await,
        Err(CallError::Refused)
    );
    assert_eq!(
        (rejected.count(PICKY), rejected.count(ServiceId::CHAIN)),
        (3, 0)
    );
}

#[tokio::test]
async fn the_log_names_the_sender_and_the_reason_and_is_not_flooded() {
    let log = Log::default();
    // For the whole process: a callsite that another thread meets first is looked up for all.
    tracing::subscriber::set_global_default(log.clone()).unwrap();
    let (address, rejected) = start().await;
    let client = Client::new(ClientOptions::default());
    for _ in 0..100 {
        assert_eq!(
            client.call(address, PICKY, vec![0; 5], LONG).await,
            Err(CallError::Refused)
        );
    }
    assert_eq!(rejected.count(PICKY), 100);
    let lines: Vec<String> = log
        .0
        .lock()
        .iter()
        .filter(|line| line.contains("5 bytes"))
        .cloned()
        .collect();
    assert_eq!(
        lines.len(),
        7,
        "the first, second, fourth to sixty-fourth: {lines:?}"
    );
    for expected in [
        "service=42",
        "peer=127.0.0.1:",
        "reason=5 bytes are odd",
        "count=64",
    ] {
        assert!(lines[6].contains(expected), "{expected}: {}", lines[6]);
    }
}
