//! Records and messages of the storage machines as they were recorded: read and written alike for ever.

#[path = "../../../../tests/recorded/blocks.rs"]
mod recorded;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use recorded::{RecordedBytes, outcome, outcomes_when_cut};
use speedy::{LittleEndian, Readable};
use woadreach_storage::announce::{Announcement, Announcements, handler, is_from_quorum};
use woadreach_storage::budget::Reservation;
use woadreach_storage::member::Member;
use woadreach_storage::message::{
    Answer, Fence, MessageError, Operation, ProgramDigest, ProgramRecords, Request, Response,
    Settlement, encode, read,
};
use woadreach_storage::placement::group;
use woadreach_storage::record::{Record, SnapshotWriter, snapshot_records};
use woadreach_storage::store::Store;
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{StorageMember, StorageView, Turn, TurnKey};

fn member(number: u8) -> StorageMember {
    let address = SocketAddr::from(([10, 1, 0, number], 7380));
    StorageMember {
        node: format!("storage-{number}"),
        disk: 0xd15c_0000 + u64::from(number),
        address,
        zone: "a".into(),
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn view() -> StorageView {
    StorageView {
        epoch: 4,
        current: vec![member(1), member(2)],
        ..StorageView::default()
    }
}

fn joint_view() -> StorageView {
    StorageView {
        epoch: 5,
        current: vec![member(1), member(2)],
        next: Some(vec![member(2), member(3)]),
        retiring: names(&["storage-1"]),
        retired: names(&["storage-8", "storage-9"]),
    }
}

fn turn(request_id: &str, previous: Option<&str>) -> Turn {
    let program = "program".to_owned();
    Turn {
        program: program.clone(),
        session: "session".into(),
        request_id: request_id.into(),
        previous: previous.map(|request_id| TurnKey {
            program,
            request_id: request_id.into(),
        }),
        input: Bytes::from_static(b"what was asked"),
        events: vec![
            Bytes::from_static(b"one"),
            Bytes::new(),
            Bytes::from_static(b"three"),
        ],
        retention: Duration::from_millis(60_500),
    }
}

fn turns() -> Vec<TurnRecord> {
    vec![
        turn("first", None).to_record("program"),
        turn("second", Some("first")).to_record("program"),
    ]
}

fn reservations() -> Vec<Reservation> {
    let reservation = |id, tokens, settled| Reservation {
        id,
        tokens,
        settled,
    };
    vec![reservation(7, 100, false), reservation(u64::MAX, 30, true)]
}

fn program_records() -> ProgramRecords {
    let (reservations, turns) = (reservations(), turns());
    ProgramRecords {
        program: "program".into(),
        reservations,
        turns,
        remaining_ms: 65_500,
    }
}

/// Every kind of record. A kind that is added needs an entry here.
fn records() -> Vec<(&'static str, Record)> {
    let name = |record: &Record| match record {
        Record::Identity { .. } => "identity",
        Record::View(view) if view.next.is_some() => "joint view",
        Record::View(_) => "view",
        Record::Program(_) => "program",
    };
    let records = [
        Record::Identity {
            disk: member(1).disk,
        },
        Record::View(view()),
        Record::View(joint_view()),
        Record::Program(program_records()),
    ];
    records
        .into_iter()
        .map(|record| (name(&record), record))
        .collect()
}

/// Every kind of request. A kind that is added needs an entry here.
fn requests() -> Vec<(&'static str, Request)> {
    let name = |operation: &Operation| match operation {
        Operation::Reserve { .. } => "reserve",
        Operation::Settle { .. } => "settle",
        Operation::PutTurns {
            settlement: Some(_),
            ..
        } => "put turns and settle",
        Operation::PutTurns { .. } => "put turns",
        Operation::ReadChain { .. } => "read chain",
        Operation::Find { .. } => "find",
        Operation::Digests { after: None, .. } => "first digests",
        Operation::Digests { .. } => "more digests",
        Operation::Fetch { .. } => "fetch",
        Operation::NewView { .. } => "new view",
    };
    let program = || "program".to_owned();
    let settlement = Settlement {
        reservation: 7,
        given: 30,
    };
    let operations = [
        Operation::Reserve {
            program: program(),
            reservation: 7,
            most: 100,
        },
        Operation::Settle {
            program: program(),
            settlement,
        },
        Operation::PutTurns {
            program: program(),
            turns: turns(),
            settlement: Some(settlement),
        },
        Operation::PutTurns {
            program: program(),
            turns: Vec::new(),
            settlement: None,
        },
        Operation::ReadChain {
            program: program(),
            request_id: "second".into(),
        },
        Operation::Find {
            request_id: "second".into(),
        },
        Operation::Digests {
            node: "storage-3".into(),
            after: None,
        },
        Operation::Digests {
            node: "storage-3".into(),
            after: Some(program()),
        },
        Operation::Fetch {
            programs: vec![program(), "other".into()],
        },
        Operation::NewView { view: joint_view() },
    ];
    let fence = Fence {
        epoch: 4,
        disk: member(1).disk,
    };
    operations
        .into_iter()
        .map(|operation| (name(&operation), Request { fence, operation }))
        .collect()
}

/// Every kind of answer. A kind that is added needs an entry here.
fn responses() -> Vec<(&'static str, Response)> {
    let name = |answer: &Answer| match answer {
        Answer::Reserved { .. } => "reserved",
        Answer::Stored => "stored",
        Answer::Chain { .. } => "chain",
        Answer::Found { .. } => "found",
        Answer::DigestPage { .. } => "digest page",
        Answer::Records { .. } => "records",
        Answer::Stale { .. } => "stale",
        Answer::Behind => "behind",
        Answer::WrongDisk => "wrong disk",
        Answer::Failed => "failed",
        Answer::Malformed => "malformed",
    };
    let digests = vec![ProgramDigest {
        program: "program".into(),
        digest: 0x0102_0304_0506_0708,
    }];
    let answers = [
        Answer::Reserved {
            reservations: reservations(),
        },
        Answer::Stored,
        Answer::Chain { turns: turns() },
        Answer::Found {
            programs: vec!["program".into(), "other".into()],
        },
        Answer::DigestPage {
            digests,
            more: true,
        },
        Answer::Records {
            programs: vec![program_records()],
        },
        Answer::Stale { view: joint_view() },
        Answer::Behind,
        Answer::WrongDisk,
        Answer::Failed,
        Answer::Malformed,
    ];
    answers
        .into_iter()
        .map(|answer| (name(&answer), Response { epoch: 5, answer }))
        .collect()
}

fn announcements() -> Vec<(&'static str, Announcement)> {
    let calm = Announcement {
        member: member(1),
        pulled_epoch: 0,
        leaving: false,
    };
    let leaving = Announcement {
        member: member(3),
        pulled_epoch: 5,
        leaving: true,
    };
    vec![
        ("announcement", calm),
        ("announcement of one that leaves", leaving),
    ]
}

#[test]
fn every_kind_of_record_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("records");
    for (name, record) in records() {
        recorded.check(name, &record, encode, |bytes| read(bytes));
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
    let found = snapshot_records(&written).expect("a whole snapshot");
    let found: Vec<Record> = found
        .into_iter()
        .map(|record| read(record).expect("a record"))
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
        recorded.check(name, &request, encode, |bytes| read(bytes));
    }
    recorded.finish();
}

#[test]
fn every_kind_of_answer_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("responses");
    for (name, response) in responses() {
        recorded.check(name, &response, encode, |bytes| read(bytes));
    }
    recorded.finish();
}

#[test]
fn announcements_are_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("announcements");
    for (name, announcement) in announcements() {
        recorded.check(name, &announcement, encode, |bytes| read(bytes));
    }
    recorded.finish();
}

/// The core's answer to an announcement is one byte without a version.
#[test]
fn the_core_answers_announcements_with_whether_it_is_in_quorum() {
    let peer = SocketAddr::from(([127, 0, 0, 1], 9));
    for (in_quorum, expected) in [(true, vec![1]), (false, vec![0])] {
        let heard = Arc::new(Mutex::new(Announcements::new(Instant::now())));
        let hear = handler(Arc::clone(&heard), move || in_quorum);
        let body = RecordedBytes::open("announcements").bytes("announcement");
        assert_eq!(hear(peer, body.into()).into_inner(), Ok(expected.clone()));
        assert_eq!(is_from_quorum(&expected), in_quorum);
        let sighting = heard
            .lock()
            .sighting("storage-1")
            .cloned()
            .expect("it is heard");
        assert_eq!((sighting.member, sighting.pulled_epoch), (member(1), 0));
    }
    for other in [&[][..], &[2], &[1, 0]] {
        assert!(!is_from_quorum(other), "{other:?}");
    }
}

/// The view stands in the core's control state in these bytes.
#[test]
fn views_are_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("views");
    recorded.check("view", &view(), StorageView::encode, StorageView::read);
    recorded.check(
        "joint view",
        &joint_view(),
        StorageView::encode,
        StorageView::read,
    );
    recorded.check(
        "no machines",
        &StorageView::default(),
        StorageView::encode,
        StorageView::read,
    );
    recorded.finish();
}

/// The content of a turn: the input, then the events, each with its length before it.
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

/// Tells of bytes what reading them comes to.
type Reader = fn(&[u8]) -> Result<(), MessageError>;

/// Every encoded message and record, and how it is read.
fn all_bytes() -> Vec<(&'static str, Vec<u8>, Reader)> {
    fn reader<T: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8]) -> Result<(), MessageError> {
        read::<T>(bytes).map(|_| ())
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
fn what_is_cut_at_any_byte_is_malformed() {
    let expected = [
        (0, "the message is empty".to_owned()),
        (1, "malformed message".to_owned()),
    ];
    for (name, bytes, read) in all_bytes() {
        assert_eq!(outcomes_when_cut(&bytes, read), expected, "{name}");
    }
}

#[test]
fn a_byte_behind_a_message_makes_it_malformed() {
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
fn other_versions_and_foreign_bytes_name_the_version_found() {
    for (name, bytes, read) in all_bytes() {
        for version in [0, 2, 255] {
            let other = [&[version], &bytes[1..]].concat();
            let expected = format!("message version {version}, expected 1");
            assert_eq!(outcome(read(&other)), expected, "{name}");
        }
        assert_eq!(
            outcome(read(b"WOADSLOT")),
            "message version 87, expected 1",
            "{name}"
        );
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
        outcome(read::<Record>(&with(record, 1, 3))),
        "malformed message"
    );
    assert_eq!(
        outcome(read::<Request>(&with(request, 17, 8))),
        "malformed message"
    );
    assert_eq!(
        outcome(read::<Response>(&with(response, 9, 11))),
        "malformed message"
    );
}

/// A snapshot that is not whole is none, whatever of it could be read.
#[test]
fn a_cut_snapshot_is_none_unless_it_ends_with_a_record() {
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

/// A journal that does not begin with the disk's identity, or holds what can't be read, is not taken.
#[test]
fn a_machine_is_rebuilt_from_recorded_records_alone() {
    let recorded = RecordedBytes::open("records");
    let log = |names: &[&str]| -> Vec<Vec<u8>> {
        names.iter().map(|name| recorded.bytes(name)).collect()
    };
    let recover =
        |records: &[Vec<u8>]| Member::recover(Duration::ZERO, "storage-1".into(), 1, None, records);
    let whole = recover(&log(&["identity", "view", "joint view", "program"])).expect("own records");
    assert_eq!(
        (whole.disk(), whole.view()),
        (member(1).disk, &joint_view())
    );
    assert_eq!(whole.store().reservations("program"), reservations());
    let chain = whole.store().chain("program", "second", usize::MAX);
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
    let mut cut = log(&["identity", "program"]);
    cut[1].pop();
    assert!(recover(&cut).is_none());
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
