//! Sample values of every kind of message and record.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use woadreach_storage::announce::Announcement;
use woadreach_storage::budget::Reservation;
use woadreach_storage::message::{
    Answer, FencingToken, Operation, ProgramDigest, ProgramRecords, Request, Response, Settlement,
};
use woadreach_storage::record::Record;
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{StorageMember, StorageView, Turn, TurnKey};

pub(super) fn member(number: u8) -> StorageMember {
    let address = SocketAddr::from(([10, 1, 0, number], 7380));
    StorageMember {
        node: format!("storage-{number}"),
        disk: 0xd15c_0000 + u64::from(number),
        address,
        zone: "a".into(),
    }
}

pub(super) fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

pub(super) fn view() -> StorageView {
    StorageView {
        epoch: 4,
        current: vec![member(1), member(2)],
        ..StorageView::default()
    }
}

pub(super) fn joint_view() -> StorageView {
    StorageView {
        epoch: 5,
        current: vec![member(1), member(2)],
        next: Some(vec![member(2), member(3)]),
        retiring: names(&["storage-1"]),
        retired: names(&["storage-8", "storage-9"]),
    }
}

pub(super) fn turn(request_id: &str, previous: Option<&str>) -> Turn {
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

pub(super) fn turns() -> Vec<TurnRecord> {
    vec![
        turn("first", None).to_record("program"),
        turn("second", Some("first")).to_record("program"),
    ]
}

pub(super) fn reservations() -> Vec<Reservation> {
    let reservation = |id, tokens, settled| Reservation {
        id,
        tokens,
        settled,
    };
    vec![reservation(7, 100, false), reservation(u64::MAX, 30, true)]
}

pub(super) fn program_records() -> ProgramRecords {
    let (reservations, turns) = (reservations(), turns());
    ProgramRecords {
        program: "program".into(),
        reservations,
        turns,
        remaining_ms: 65_500,
    }
}

/// Named samples of every kind of record; a new kind needs an entry here.
pub(super) fn records() -> Vec<(&'static str, Record)> {
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

/// Named samples of every kind of request; a new kind needs an entry here.
pub(super) fn requests() -> Vec<(&'static str, Request)> {
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
        delivered_tokens: 30,
    };
    let operations = [
        Operation::Reserve {
            program: program(),
            reservation: 7,
            max_tokens: 100,
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
    let fencing_token = FencingToken {
        epoch: 4,
        disk: member(1).disk,
    };
    operations
        .into_iter()
        .map(|operation| {
            (
                name(&operation),
                Request {
                    fencing_token,
                    operation,
                },
            )
        })
        .collect()
}

/// Named samples of every kind of answer; a new kind needs an entry here.
pub(super) fn responses() -> Vec<(&'static str, Response)> {
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

pub(super) fn announcements() -> Vec<(&'static str, Announcement)> {
    let running = Announcement {
        member: member(1),
        pulled_epoch: 0,
        shutting_down: false,
    };
    let shutting_down = Announcement {
        member: member(3),
        pulled_epoch: 5,
        shutting_down: true,
    };
    vec![
        ("announcement", running),
        ("announcement of one that leaves", shutting_down),
    ]
}
