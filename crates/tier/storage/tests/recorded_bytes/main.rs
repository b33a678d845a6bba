//! Compatibility of messages and records with recorded bytes: both decoding and encoding must match.

#[path = "../../../../../tests/recorded/mod.rs"]
mod recorded;
mod samples;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use recorded::{RecordedBytes, assert_other_versions_are_named, outcome, outcomes_when_cut};
use samples::{
    announcements, joint_view, member, program_records, records, requests, reservations, responses,
    turn, turns, view,
};
use speedy::{LittleEndian, Readable};
use woadreach_storage::announce::{Announcement, Announcements, handler, is_from_quorum};
use woadreach_storage::message::{MessageError, Request, Response, decode, encode};
use woadreach_storage::node::StorageNode;
use woadreach_storage::placement::group;
use woadreach_storage::record::{Record, SnapshotWriter, snapshot_records};
use woadreach_storage::store::Store;
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{StorageMember, StorageView, Turn};

#[test]
fn every_kind_of_record_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("records");
    for (name, record) in records() {
        recorded.check(name, &record, encode, |bytes| decode(bytes));
    }
    recorded.finish();
}

#[test]
fn a_snapshot_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("snapshot");
    let mut writer = SnapshotWriter::new(0);
    records().iter().for_each(|(_, record)| writer.push(record));
    let written = writer.finish();
    recorded.check_bytes("every kind of record", &written);
    recorded.finish();
    let found = snapshot_records(&written).expect("the snapshot is readable");
    let found: Vec<Record> = found
        .into_iter()
        .map(|record| decode(record).expect("a record"))
        .collect();
    assert_eq!(
        found,
        records()
            .into_iter()
            .map(|(_, record)| record)
            .collect::<Vec<_>>()
    );
}

#[test]
fn every_kind_of_request_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("requests");
    for (name, request) in requests() {
        recorded.check(name, &request, encode, |bytes| decode(bytes));
    }
    recorded.finish();
}

#[test]
fn every_kind_of_answer_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("responses");
    for (name, response) in responses() {
        recorded.check(name, &response, encode, |bytes| decode(bytes));
    }
    recorded.finish();
}

#[test]
fn announcements_are_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("announcements");
    for (name, announcement) in announcements() {
        recorded.check(name, &announcement, encode, |bytes| decode(bytes));
    }
    recorded.finish();
}

/// The core's answer to an announcement is a single byte without a version.
#[test]
fn the_answer_to_an_announcement_reports_whether_the_core_is_in_quorum() {
    let peer = SocketAddr::from(([127, 0, 0, 1], 9));
    for (in_quorum, expected) in [(true, vec![1]), (false, vec![0])] {
        let announcements_received = Arc::new(Mutex::new(Announcements::new(Instant::now())));
        let handle = handler(Arc::clone(&announcements_received), move || in_quorum);
        let body = RecordedBytes::open("announcements").bytes("announcement");
        assert_eq!(handle(peer, body.into()).into_inner(), Ok(expected.clone()));
        assert_eq!(is_from_quorum(&expected), in_quorum);
        let observation = announcements_received
            .lock()
            .observation("storage-1")
            .cloned()
            .expect("the announcement is recorded");
        assert_eq!(
            (observation.member, observation.pulled_epoch),
            (member(1), 0)
        );
    }
    for other in [&[][..], &[2], &[1, 0]] {
        assert!(!is_from_quorum(other), "{other:?}");
    }
}

/// The core's control state contains the view in this encoding.
#[test]
fn views_are_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("views");
    recorded.check("view", &view(), StorageView::encode, StorageView::decode);
    recorded.check(
        "joint view",
        &joint_view(),
        StorageView::encode,
        StorageView::decode,
    );
    recorded.check(
        "no machines",
        &StorageView::default(),
        StorageView::encode,
        StorageView::decode,
    );
    recorded.finish();
}

/// The content of a turn is its input followed by its events, each with a length prefix.
#[test]
fn the_content_of_a_turn_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("turns");
    let read_turn = |content: &[u8]| {
        let record = TurnRecord {
            content: content.to_vec(),
            ..turn("second", Some("first")).to_record("program")
        };
        record.into_turn().ok_or("no turn")
    };
    let write_turn = |turn: &Turn| turn.to_record("program").content;
    recorded.check(
        "input and events",
        &turn("second", Some("first")),
        write_turn,
        read_turn,
    );
    let without_events = Turn {
        events: Vec::new(),
        ..turn("second", Some("first"))
    };
    recorded.check("input alone", &without_events, write_turn, read_turn);
    recorded.finish();
    let runs = outcomes_when_cut(&write_turn(&without_events), read_turn);
    assert_eq!(runs, [(0, "no turn".to_owned())]);
}

/// Decoder of one message type that discards the decoded value.
type Reader = fn(&[u8]) -> Result<(), MessageError>;

/// Name, encoding and decoder of every sample message and record.
fn all_bytes() -> Vec<(&'static str, Vec<u8>, Reader)> {
    fn reader<T: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8]) -> Result<(), MessageError> {
        decode::<T>(bytes).map(|_| ())
    }
    let mut all: Vec<(&'static str, Vec<u8>, Reader)> = Vec::new();
    all.extend(
        records()
            .iter()
            .map(|(name, record)| (*name, encode(record), reader::<Record> as Reader)),
    );
    all.extend(
        requests()
            .iter()
            .map(|(name, request)| (*name, encode(request), reader::<Request> as Reader)),
    );
    all.extend(
        responses()
            .iter()
            .map(|(name, answer)| (*name, encode(answer), reader::<Response> as Reader)),
    );
    all.extend(
        announcements()
            .iter()
            .map(|(name, sent)| (*name, encode(sent), reader::<Announcement> as Reader)),
    );
    all
}

#[test]
fn a_message_truncated_at_any_byte_is_malformed() {
    let expected = [
        (0, "the message is empty".to_owned()),
        (1, "malformed message".to_owned()),
    ];
    for (name, bytes, read) in all_bytes() {
        assert_eq!(outcomes_when_cut(&bytes, read), expected, "{name}");
    }
}

#[test]
fn a_message_with_a_trailing_byte_is_malformed() {
    for (name, bytes, read) in all_bytes() {
        assert_eq!(outcome(read(&bytes)), "read", "{name}");
        assert_eq!(
            outcome(read(&[bytes, vec![0]].concat())),
            "malformed message",
            "{name}"
        );
    }
}

#[test]
fn errors_for_other_versions_contain_the_version_found() {
    for (name, bytes, read) in all_bytes() {
        assert_other_versions_are_named(name, &bytes, read, |version| {
            format!("message version {version}, expected 1")
        });
    }
}

#[test]
fn unknown_kinds_are_malformed() {
    let with = |mut bytes: Vec<u8>, place: usize, kind: u8| {
        bytes[place] = kind;
        bytes
    };
    let (record, request, response) = (
        encode(&records()[0].1),
        encode(&requests()[0].1),
        encode(&responses()[1].1),
    );
    assert_eq!(
        outcome(decode::<Record>(&with(record, 1, 3))),
        "malformed message"
    );
    assert_eq!(
        outcome(decode::<Request>(&with(request, 17, 8))),
        "malformed message"
    );
    assert_eq!(
        outcome(decode::<Response>(&with(response, 9, 11))),
        "malformed message"
    );
}

/// A snapshot truncated within a record is rejected as a whole, even if its first records are readable.
#[test]
fn a_truncated_snapshot_is_none_unless_it_ends_with_a_record() {
    let bytes = RecordedBytes::open("snapshot").bytes("every kind of record");
    let mut ends = vec![0];
    for (_, record) in records() {
        ends.push(ends[ends.len() - 1] + 4 + encode(&record).len());
    }
    for length in 0..=bytes.len() {
        let count = snapshot_records(&bytes[..length]).map(|records| records.len());
        assert_eq!(
            count,
            ends.iter().position(|end| *end == length),
            "{length}"
        );
    }
}

/// A journal that does not begin with the disk's identity, or has a record that cannot be decoded, is rejected.
#[test]
fn a_machine_is_rebuilt_from_recorded_records_alone() {
    let recorded = RecordedBytes::open("records");
    let log = |names: &[&str]| -> Vec<Vec<u8>> {
        names.iter().map(|name| recorded.bytes(name)).collect()
    };
    let recover = |records: &[Vec<u8>]| {
        StorageNode::recover(Duration::ZERO, "storage-1".into(), 1, None, records)
    };
    let recovered = recover(&log(&["identity", "view", "joint view", "program"]))
        .expect("the records are readable");
    assert_eq!(
        (recovered.disk(), recovered.view()),
        (member(1).disk, &joint_view())
    );
    assert_eq!(recovered.store().reservations("program"), reservations());
    let chain = recovered.store().chain("program", "second", usize::MAX);
    assert_eq!(
        chain
            .into_iter()
            .map(|turn| TurnRecord::clone(&turn))
            .collect::<Vec<_>>(),
        [turns()[1].clone(), turns()[0].clone()]
    );
    for refused in [&["view", "program"][..], &["identity", "identity"], &[]] {
        assert!(recover(&log(refused)).is_none(), "{refused:?}");
    }
    let mut truncated = log(&["identity", "program"]);
    truncated[1].pop();
    assert!(recover(&truncated).is_none());
}

/// Machines and proxies of different versions must agree on where a program's records are.
#[test]
fn groups_of_programs_are_as_recorded() {
    let zones = ["a", "b", "c"];
    let members: Vec<StorageMember> = (1..=6)
        .map(|number| StorageMember {
            zone: zones[usize::from(number % 3)].into(),
            ..member(number)
        })
        .collect();
    let recorded = RecordedBytes::open("groups");
    for program in ["program", "other", "p-1", "p-2", ""] {
        let group = group(&members, program, 1);
        let names: Vec<&str> = group.iter().map(|member| member.node.as_str()).collect();
        recorded.check_bytes(&format!("group of {program:?}"), names.join(" ").as_bytes());
    }
    recorded.finish();
}

/// Machines compare these digests to find records that they lack.
#[test]
fn digests_of_programs_are_as_recorded() {
    let recorded = RecordedBytes::open("digests");
    let mut store = Store::default();
    assert!(store.merge(Duration::ZERO, program_records()));
    let digest = store.digest("program").expect("a program");
    recorded.check_bytes("program", &digest.to_le_bytes());
    assert!(store.merge(
        Duration::ZERO,
        Store::records("other".into(), reservations(), Vec::new())
    ));
    let digest = store.digest("other").expect("a program");
    recorded.check_bytes("program without turns", &digest.to_le_bytes());
    recorded.finish();
}
