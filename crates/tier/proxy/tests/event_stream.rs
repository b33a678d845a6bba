//! Streams truncated and split at every byte.

use bytes::Bytes;
use quickcheck::{QuickCheck, TestResult};
use woadreach_proxy::replica::event_stream::{Event, EventReader, MAX_EVENT_BYTES};

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nversions: 7\nid: 2\ndata: two\n\n: comment\n\nid: 3\r\ndata: a\r\ndata: b\r\n\r\n";
const EVENT_END_OFFSETS: [usize; 4] = [17, 46, 57, 84];

/// Bytes returned, ids and data of the events, and whether an event is incomplete at the end.
type ReadStream = (Vec<u8>, Vec<(Option<u64>, Bytes)>, bool);

fn read(chunks: &[&[u8]]) -> ReadStream {
    let mut reader = EventReader::default();
    let mut bytes = Vec::new();
    let mut events = Vec::new();
    for chunk in chunks {
        let batch = reader
            .push(Bytes::copy_from_slice(chunk))
            .expect("short events");
        bytes.extend_from_slice(&batch.bytes);
        events.extend(
            batch
                .events
                .into_iter()
                .map(|event: Event| (event.id, event.data)),
        );
    }
    (bytes, events, reader.is_inside_event())
}

#[test]
fn events_are_read_with_their_ids_and_data() {
    let (bytes, events, inside) = read(&[STREAM]);
    assert_eq!(bytes, STREAM);
    assert!(!inside);
    let expected: [(Option<u64>, &'static [u8]); 3] =
        [(Some(1), b"one"), (Some(2), b"two"), (Some(3), b"a\nb")];
    assert_eq!(
        events,
        expected.map(|(id, data)| (id, Bytes::from_static(data)))
    );
}

#[test]
fn a_stream_truncated_at_any_byte_yields_complete_events_only() {
    for cut in 0..=STREAM.len() {
        let (bytes, events, inside) = read(&[&STREAM[..cut]]);
        let complete = EVENT_END_OFFSETS
            .iter()
            .copied()
            .filter(|end| *end <= cut)
            .max()
            .unwrap_or(0);
        assert_eq!(bytes, &STREAM[..complete], "cut at {cut}");
        assert_eq!(inside, cut != complete, "cut at {cut}");
        let with_data = [
            EVENT_END_OFFSETS[0],
            EVENT_END_OFFSETS[1],
            EVENT_END_OFFSETS[3],
        ]
        .iter()
        .filter(|end| **end <= cut)
        .count();
        assert_eq!(events.len(), with_data, "cut at {cut}");
    }
}

#[test]
fn a_split_at_any_two_bytes_changes_nothing() {
    let complete = read(&[STREAM]);
    for first in 0..=STREAM.len() {
        for second in first..=STREAM.len() {
            assert_eq!(
                read(&[&STREAM[..first], &STREAM[first..second], &STREAM[second..]]),
                complete
            );
        }
    }
}

#[test]
fn any_bytes_in_any_chunks_give_the_same_as_in_one() {
    fn property(bytes: Vec<u8>, sizes: Vec<u8>) -> TestResult {
        // Line feeds are frequent, so that there are events.
        let bytes: Vec<u8> = bytes
            .iter()
            .map(|byte| if byte % 3 == 0 { b'\n' } else { *byte })
            .collect();
        let mut chunks = Vec::new();
        let mut rest = &bytes[..];
        for size in sizes {
            let (chunk, later) = rest.split_at(usize::from(size).min(rest.len()));
            chunks.push(chunk);
            rest = later;
        }
        chunks.push(rest);
        TestResult::from_bool(read(&chunks) == read(&[&bytes]))
    }
    QuickCheck::new()
        .tests(2000)
        .quickcheck(property as fn(Vec<u8>, Vec<u8>) -> TestResult);
}

#[test]
fn events_that_the_client_has_are_skipped() {
    for last in 0..=4 {
        let mut reader = EventReader::default();
        let mut batch = reader
            .push(Bytes::from_static(STREAM))
            .expect("short events");
        batch.skip_through(last);
        let ids: Vec<u64> = batch.events.iter().filter_map(|event| event.id).collect();
        assert_eq!(ids, (1..=3).filter(|id| *id > last).collect::<Vec<_>>());
        let mut again = EventReader::default();
        let replayed = again.push(batch.bytes.clone()).expect("short events");
        assert_eq!(
            replayed, batch,
            "ends and bytes agree after skipping through {last}"
        );
    }
}

#[test]
fn an_endless_event_is_refused() {
    let mut reader = EventReader::default();
    let half = Bytes::from(vec![b'x'; MAX_EVENT_BYTES / 2 + 1]);
    assert!(reader.push(half.clone()).is_ok());
    assert!(reader.push(half).is_err());
}

#[test]
fn bytes_behind_the_last_event_are_not_lost() {
    let mut reader = EventReader::default();
    let batch = reader
        .push(Bytes::from_static(b"data: x\n\ndata: y"))
        .expect("short events");
    assert_eq!(&batch.bytes[..], b"data: x\n\n");
    assert_eq!(&reader.into_remainder()[..], b"data: y");
}
