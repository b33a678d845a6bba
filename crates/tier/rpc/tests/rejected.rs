//! Rejected requests: the caller receives an error, and the server counts and logs them with their sender and the
//! reason.

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

/// Service whose handler rejects requests of odd length.
const EVEN_LENGTH: ServiceId = ServiceId(42);
/// Time-out of calls that are expected to finish before it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Snafu)]
#[snafu(display("{length} bytes; expected an even length"))]
struct OddLength {
    length: usize,
}

/// Subscriber that records the fields of each event as text, one entry per event.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

/// Fields of one event as `name=value`.
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
    let router = Router::new().route_checked(EVEN_LENGTH, |_, body: Bytes| async move {
        let length = body.len();
        if length.is_multiple_of(2) {
            Ok(body.to_vec())
        } else {
            Err(OddLength { length })
        }
    });
    let rejected = router.rejected();
    tokio::spawn(serve(listener, router));
    (address, rejected)
}

#[tokio::test]
async fn a_rejected_request_is_refused_and_counted_and_the_connection_stays_usable() {
    let (address, rejected) = start().await;
    let client = Client::new(ClientOptions::default());
    assert_eq!(
        client
            .call(address, EVEN_LENGTH, vec![1], TEST_TIMEOUT)
            .await,
        Err(CallError::Refused)
    );
    assert_eq!(
        client
            .call(address, EVEN_LENGTH, vec![1, 2], TEST_TIMEOUT)
            .await,
        Ok(Bytes::from_static(&[1, 2]))
    );
    client.notify(address, EVEN_LENGTH, vec![1, 2, 3]);
    assert_eq!(
        client
            .call(address, EVEN_LENGTH, vec![1], TEST_TIMEOUT)
            .await,
        Err(CallError::Refused)
    );
    assert_eq!(
        (
            rejected.count(EVEN_LENGTH),
            rejected.count(ServiceId::CHAIN)
        ),
        (3, 0)
    );
}

#[tokio::test]
async fn rejections_are_logged_with_sender_and_reason_at_powers_of_two() {
    let log = Log::default();
    // Must be the global subscriber: the interest of a callsite is cached for the whole process by the first thread
    // that reaches it, which may be the thread of another test.
    tracing::subscriber::set_global_default(log.clone()).unwrap();
    let (address, rejected) = start().await;
    let client = Client::new(ClientOptions::default());
    for _ in 0..100 {
        assert_eq!(
            client
                .call(address, EVEN_LENGTH, vec![0; 5], TEST_TIMEOUT)
                .await,
            Err(CallError::Refused)
        );
    }
    assert_eq!(rejected.count(EVEN_LENGTH), 100);
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
        "expected a line for each power of two up to the sixty-fourth request: {lines:?}"
    );
    for expected in [
        "service=42",
        "peer=127.0.0.1:",
        "reason=5 bytes; expected an even length",
        "count=64",
    ] {
        assert!(lines[6].contains(expected), "{expected}: {}", lines[6]);
    }
}
