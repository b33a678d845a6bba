//! Encoding of a member's records in its journal, and of orders and answers between core machines, compared with
//! recorded bytes. Guards against accidental changes of a format that other versions of the program read.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;
mod support;

use axum::body::Body as HttpBody;
use axum::http::{Request as HttpRequest, StatusCode};
use bytes::Bytes;
use recorded::{RecordedBytes, outcome, outcomes_when_cut};
use speedy::{Endianness, Readable, Writable};
use support::start_core;
use tower::ServiceExt;
use woadreach_chain::{
    Blob, Command, Durable, PutConfiguration, PutStorageView, Record, Rejection, Undecided, View,
    WritePosition,
};
use woadreach_control::durable_log::{RecoveredMember, encode_record, encode_snapshot, recover};
use woadreach_control::operator;
use woadreach_control::order::execution::submit_storage_view;
use woadreach_control::order::message::{Answer, Order};
use woadreach_control::order::service::OrderService;
use woadreach_storage::{StorageMember, StorageView};

const BODY: &[u8] = br#"{"generation":7,"routes":[],"services":[]}"#;
/// Time-out in milliseconds of the recorded forwarded orders.
const TIMEOUT_MS: u32 = 10_000;

fn put(base: u64, generation: u64) -> PutConfiguration {
    PutConfiguration {
        base,
        generation,
        digest: [generation as u8; 16],
        body: Blob::from(BODY.to_vec()),
    }
}

fn write(number: u64) -> Record {
    let command = Command::PutConfiguration(put(number - 1, number));
    Record::Write {
        position: WritePosition { epoch: 1, number },
        command,
    }
}

fn empty() -> Durable {
    Durable::new(7, true, View::default())
}

#[test]
fn numbered_records_and_snapshots_are_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("durable_log");
    let mut durable = empty();
    durable.apply(&write(1));
    recorded.check(
        "snapshot",
        &RecoveredMember {
            durable: durable.clone(),
            number: 258,
        },
        |found| encode_snapshot(found.number, &found.durable),
        |bytes| recover(bytes, &[]),
    );
    let before = encode_snapshot(258, &durable);
    durable.apply(&write(2));
    recorded.check(
        "record",
        &RecoveredMember {
            durable,
            number: 259,
        },
        |found| encode_record(found.number, &write(2)),
        |bytes| recover(&before, &[bytes.to_vec()]),
    );
    recorded.finish();
}

#[test]
fn bytes_that_are_not_a_numbered_record_are_rejected_with_the_reason() {
    let (snapshot, record) = (encode_snapshot(0, &empty()), encode_record(1, &write(1)));
    let truncated = outcomes_when_cut(&record, |bytes| recover(&snapshot, &[bytes.to_vec()]));
    let expected = [(0, "the record is empty"), (9, "malformed record")];
    assert_eq!(
        truncated,
        expected.map(|(length, text)| (length, text.to_owned()))
    );
    for bytes in [&b"WOADSLOT\x57"[..], &[0, 0, 0, 0, 0, 0, 0, 0, 0x57]] {
        assert_eq!(
            outcome(recover(bytes, &[])),
            "format version 87, expected 1"
        );
    }
    let mut other = record;
    other[8] = 2;
    assert_eq!(
        outcome(recover(&snapshot, &[other.clone()])),
        "format version 2, expected 1"
    );
    // Records after a gap are not decoded.
    other[0] = 2;
    assert_eq!(
        recover(&snapshot, &[other])
            .expect("a gap is no error")
            .number,
        0
    );
}

fn encode<T: Writable<Endianness>>(value: &T) -> Vec<u8> {
    let body = value
        .write_to_vec_with_ctx(Endianness::LittleEndian)
        .expect("a short message");
    [vec![1], body].concat()
}

fn decode<'a, T: Readable<'a, Endianness>>(bytes: &'a [u8]) -> Result<T, String> {
    let body = bytes.strip_prefix(&[1]).ok_or("another version")?;
    T::read_from_buffer_with_ctx(Endianness::LittleEndian, body).map_err(|error| error.to_string())
}

/// Returns orders of every kind with the names and time-outs of their records. A new kind of order needs an entry
/// here.
fn orders() -> Vec<(&'static str, (u32, Order))> {
    let name = |order: &Order| match order {
        Order::PutConfiguration(put) if put.base == 0 => "put the first configuration",
        Order::PutConfiguration(_) => "put another configuration",
        Order::ReadConfiguration => "read the configuration",
        Order::Retire { .. } => "retire",
        Order::RetireState { .. } => "retire state",
    };
    let node = || "storage-1".to_owned();
    let orders = [
        Order::PutConfiguration(put(0, 7)),
        Order::PutConfiguration(put(8, 9)),
        Order::ReadConfiguration,
        Order::Retire { node: node() },
        Order::RetireState { node: node() },
    ];
    orders
        .into_iter()
        .map(|order| (name(&order), (TIMEOUT_MS, order)))
        .collect()
}

/// Returns answers of every kind with the names of their records. A new kind of answer needs an entry here.
fn answers() -> Vec<(&'static str, Answer)> {
    let name = |answer: &Answer| match answer {
        Answer::Done => "done",
        Answer::Rejected(Rejection::BaseMismatch { .. }) => "rejected for its base",
        Answer::Rejected(Rejection::StaleGeneration { .. }) => "rejected for its generation",
        Answer::Rejected(Rejection::StorageEpochMismatch { .. }) => {
            "rejected for its storage epoch"
        }
        Answer::Configuration { .. } => "configuration",
        Answer::NoConfiguration => "no configuration",
        Answer::UnknownNode => "unknown node",
        Answer::TooFewNodes => "too few nodes",
        Answer::RetireState { is_finished: true } => "retired",
        Answer::RetireState { is_finished: false } => "retiring",
        Answer::Undecided(Undecided::FutureBase { .. }) => "undecided for a base to come",
        Answer::Undecided(Undecided::Forgotten { .. }) => "undecided as forgotten",
        Answer::UnreadableStorageView => "unreadable storage view",
    };
    let answers = [
        Answer::Done,
        Answer::Rejected(Rejection::BaseMismatch { current: 7 }),
        Answer::Rejected(Rejection::StaleGeneration { current: 7 }),
        Answer::Rejected(Rejection::StorageEpochMismatch { current: 3 }),
        Answer::Configuration {
            generation: 7,
            body: Blob::from(BODY.to_vec()),
        },
        Answer::NoConfiguration,
        Answer::UnknownNode,
        Answer::TooFewNodes,
        Answer::RetireState { is_finished: true },
        Answer::RetireState { is_finished: false },
        Answer::Undecided(Undecided::FutureBase { current: 7 }),
        Answer::Undecided(Undecided::Forgotten { oldest: 2 }),
        Answer::UnreadableStorageView,
    ];
    answers
        .into_iter()
        .map(|answer| (name(&answer), answer))
        .collect()
}

#[test]
fn every_kind_of_order_is_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("orders");
    for (name, order) in orders() {
        recorded.check(name, &order, encode, |bytes| decode(bytes));
    }
    recorded.finish();
}

#[test]
fn every_kind_of_answer_is_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("answers");
    for (name, answer) in answers() {
        recorded.check(name, &answer, encode, |bytes| decode(bytes));
    }
    recorded.finish();
}

/// Sends the recorded order with the name `order` to the head, and retries while the response is empty. Retries are
/// safe because all recorded orders may be executed twice.
async fn answer_of(orders: &OrderService, order: &str) -> Vec<u8> {
    let body = Bytes::from(RecordedBytes::open("orders").bytes(order));
    for _ in 0..10 {
        let answer = orders
            .execute_forwarded(body.clone())
            .await
            .expect("a recorded order");
        if !answer.is_empty() {
            return answer;
        }
    }
    panic!("no answer from the head to the order `{order}` after all attempts");
}

async fn expect_answers(orders: &OrderService, expected: &[(&str, &str)]) {
    for (order, answer) in expected {
        let recorded = RecordedBytes::open("answers").bytes(answer);
        assert_eq!(
            answer_of(orders, order).await,
            recorded,
            "order `{order}`: expected the recorded answer `{answer}`"
        );
    }
}

#[tokio::test]
async fn the_head_answers_recorded_orders_with_recorded_answers() {
    let folder = tempfile::tempdir().expect("a folder");
    let (driver, orders) = start_core(folder.path()).await;
    let first = [
        ("read the configuration", "no configuration"),
        ("put the first configuration", "done"),
        ("read the configuration", "configuration"),
        ("put another configuration", "undecided for a base to come"),
        ("retire", "unknown node"),
        ("retire state", "unknown node"),
    ];
    expect_answers(&orders, &first).await;
    let member = |number: u8| StorageMember {
        node: format!("storage-{number}"),
        disk: u64::from(number),
        address: ([10, 1, 0, number], 7380).into(),
        zone: "a".into(),
    };
    let alone = StorageView {
        epoch: 1,
        current: vec![member(1)],
        ..StorageView::default()
    };
    assert!(submit_storage_view(&driver, 0, &alone).await);
    expect_answers(&orders, &[("retire", "too few nodes")]).await;
    let several = StorageView {
        epoch: 2,
        current: vec![member(1), member(2)],
        ..StorageView::default()
    };
    assert!(submit_storage_view(&driver, 1, &several).await);
    expect_answers(&orders, &[("retire", "done"), ("retire state", "retiring")]).await;
    let retired = ["storage-1".to_owned()].into();
    let without = StorageView {
        epoch: 4,
        current: vec![member(2)],
        retired,
        ..StorageView::default()
    };
    assert!(submit_storage_view(&driver, 3, &without).await);
    expect_answers(&orders, &[("retire", "done"), ("retire state", "retired")]).await;
    let foreign = PutStorageView {
        expected_epoch: 4,
        epoch: 5,
        bytes: Blob::from(vec![9, 9]),
    };
    let reply = driver
        .request(woadreach_chain::Request::Submit(Command::PutStorageView(
            foreign,
        )))
        .await;
    assert_eq!(reply, woadreach_chain::Reply::Committed);
    let unreadable = "unreadable storage view";
    expect_answers(
        &orders,
        &[("retire", unreadable), ("retire state", unreadable)],
    )
    .await;
}

#[tokio::test]
async fn orders_that_cannot_be_decoded_are_rejected_with_the_reason() {
    let folder = tempfile::tempdir().expect("a folder");
    let (_driver, service) = start_core(folder.path()).await;
    for (name, _) in orders() {
        let complete = RecordedBytes::open("orders").bytes(name);
        for length in 0..complete.len() {
            let text = outcome(
                service
                    .execute_forwarded(Bytes::copy_from_slice(&complete[..length]))
                    .await,
            );
            let expected = if length == 0 {
                "the order is empty"
            } else {
                "malformed order"
            };
            assert_eq!(text, expected, "{name}, {length} bytes");
        }
        for version in [0, 2, 255] {
            let other = [&[version], &complete[1..]].concat();
            let text = outcome(service.execute_forwarded(Bytes::from(other)).await);
            assert_eq!(
                text,
                format!("order version {version}, expected 1"),
                "{name}"
            );
        }
    }
    let unknown = [&[1][..], &TIMEOUT_MS.to_le_bytes(), &4_u32.to_le_bytes()].concat();
    assert_eq!(
        outcome(service.execute_forwarded(Bytes::from(unknown)).await),
        "malformed order"
    );
}

/// Guards against a change of the digest: a program of another version must recognize a retried configuration by it.
#[tokio::test]
async fn the_digest_of_a_configuration_is_as_recorded() {
    let folder = tempfile::tempdir().expect("a folder");
    let (driver, orders) = start_core(folder.path()).await;
    let request = HttpRequest::put("/config")
        .header("If-Match", "0")
        .body(HttpBody::from(BODY));
    let answer = operator::router(orders)
        .oneshot(request.expect("a request"))
        .await
        .expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let stored = driver
        .published()
        .configuration
        .clone()
        .expect("a configuration");
    assert_eq!((stored.generation, &stored.body.0[..]), (7, BODY));
    let recorded = RecordedBytes::open("digests");
    recorded.check_bytes("configuration", &stored.digest);
    recorded.finish();
}
