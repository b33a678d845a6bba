//! Records, snapshots and messages of the chain as they were recorded: read and written alike for ever.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use std::net::{Ipv4Addr, SocketAddrV4};

use recorded::{RecordedBytes, outcome, outcomes_when_cut};
use woadreach_chain::{
    Accepted, Ballot, Barrier, Blob, Body, Command, ControlState, Durable, Envelope, FailureDomain,
    Heartbeat, HeartbeatTime, IdleEpoch, MemberId, Promise, PutConfiguration, PutStorageView,
    Record, Report, Stamp, StoredConfiguration, StoredStorageView, TakenConfiguration, View, Write,
};

fn member(number: u8) -> MemberId {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7380);
    MemberId {
        address,
        identity: 0x1122_3344_5566_7700 + u64::from(number),
    }
}

fn members(numbers: &[u8]) -> Vec<MemberId> {
    numbers.iter().copied().map(member).collect()
}

fn view(epoch: u64, voters: &[u8], chain: &[u8], floor: u64) -> View {
    View {
        epoch,
        voters: members(voters),
        chain: members(chain),
        floor,
    }
}

fn ballot(round: u64, proposer: u8) -> Ballot {
    Ballot {
        round,
        proposer: member(proposer),
    }
}

fn vote() -> Accepted {
    Accepted {
        ballot: ballot(9, 2),
        view: view(6, &[1, 2, 3], &[2, 3], 4),
    }
}

fn put_configuration() -> Command {
    Command::PutConfiguration(PutConfiguration {
        base: 3,
        generation: 7,
        digest: *b"sixteen bytes...",
        body: Blob::from(br#"{"generation":7}"#.to_vec()),
    })
}

fn put_storage_view() -> Command {
    Command::PutStorageView(PutStorageView {
        expected_epoch: 2,
        epoch: 3,
        bytes: Blob::from(vec![1, 0, 255]),
    })
}

fn state() -> ControlState {
    ControlState {
        stamp: Stamp {
            epoch: 5,
            number: 12,
        },
        configuration: Some(StoredConfiguration {
            generation: 7,
            digest: *b"sixteen bytes...",
            body: Blob::from(br#"{"generation":7}"#.to_vec()),
        }),
        storage_view: Some(StoredStorageView {
            epoch: 3,
            bytes: Blob::from(vec![1, 0, 255]),
        }),
        taken: vec![
            TakenConfiguration {
                generation: 3,
                digest: [3; 16],
            },
            TakenConfiguration {
                generation: 7,
                digest: *b"sixteen bytes...",
            },
        ],
    }
}

/// Every kind of record, in several epochs. A kind that is added needs an entry here.
fn records() -> Vec<(&'static str, Record)> {
    let name = |record: &Record| match record {
        Record::Promise(_) => "promise",
        Record::Accept(_) => "accept",
        Record::View(_) => "view",
        Record::Activate(_) => "activate",
        Record::State { .. } => "state",
        Record::Write {
            command: Command::PutConfiguration(_),
            ..
        } => "write of a configuration",
        Record::Write {
            command: Command::PutStorageView(_),
            ..
        } => "write of a storage view",
    };
    let records = [
        Record::Promise(Promise {
            epoch: 5,
            ballot: ballot(9, 2),
        }),
        Record::Accept(vote()),
        Record::View(view(6, &[1, 2, 3], &[2, 3], 4)),
        Record::Activate(6),
        Record::State {
            epoch: 6,
            state: state(),
        },
        Record::Write {
            stamp: Stamp {
                epoch: 6,
                number: 1,
            },
            command: put_configuration(),
        },
        Record::Write {
            stamp: Stamp {
                epoch: 6,
                number: 2,
            },
            command: put_storage_view(),
        },
    ];
    records
        .into_iter()
        .map(|record| (name(&record), record))
        .collect()
}

/// A member that has gone through epochs 5 to 8, and one that has just begun.
fn snapshots() -> Vec<(&'static str, Durable)> {
    let mut whole = Durable::new(member(1).identity, true, view(5, &[1, 2, 3], &[1, 2], 3));
    whole.active_epoch = 5;
    for (_, record) in records() {
        whole.apply(&record);
    }
    whole.apply(&Record::View(view(7, &[1, 2, 3], &[1, 2, 3], 6)));
    whole.apply(&Record::View(view(8, &[1, 2, 3], &[1, 3], 6)));
    whole.apply(&Record::Promise(Promise {
        epoch: 8,
        ballot: ballot(11, 3),
    }));
    whole.apply(&Record::Accept(Accepted {
        ballot: ballot(11, 3),
        view: view(9, &[1, 2], &[1], 8),
    }));
    let seeds = [member(1).address, member(2).address];
    let first = Durable::new(member(2).identity, false, View::bootstrap(&seeds));
    vec![("several epochs", whole), ("first start", first)]
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        sent: HeartbeatTime {
            incarnation: 1,
            micros: 2_000_000,
        },
        echo: HeartbeatTime {
            incarnation: 3,
            micros: 4_000_000,
        },
        can_replicate: true,
        leaving: false,
        bootstrap: true,
        failure_domain: FailureDomain { zone: 5, region: 6 },
        committed: Stamp {
            epoch: 5,
            number: 12,
        },
        hears: members(&[2, 3]),
    }
}

fn report(accepted: Option<Accepted>, idle_epochs: Vec<IdleEpoch>) -> Report {
    Report {
        accepted,
        active_epoch: 5,
        stamp: Stamp {
            epoch: 5,
            number: 12,
        },
        can_replicate: true,
        hears: members(&[1, 3]),
        idle_epochs,
    }
}

fn barrier() -> Barrier {
    Barrier {
        session: 77,
        number: 8,
    }
}

/// Every kind of message. A kind that is added needs an entry here.
fn messages() -> Vec<(&'static str, Envelope)> {
    let name = |body: &Body| match body {
        Body::Heartbeat(_) => "ping",
        Body::Prepare { .. } => "prepare",
        Body::Promise { report, .. } if report.accepted.is_none() => "promise without a vote",
        Body::Promise { .. } => "promise with a vote",
        Body::Accept(_) => "accept",
        Body::Accepted { .. } => "accepted",
        Body::Superseded { .. } => "superseded",
        Body::Decided(_) => "decided",
        Body::RequestView => "request view",
        Body::Replicate { .. } => "replicate",
        Body::Transfer { .. } => "transfer",
        Body::Replicated {
            committed: None, ..
        } => "replicated by the tail",
        Body::Replicated { .. } => "replicated",
        Body::RequestState => "request state",
        Body::Committed(_) => "committed",
        Body::RequestActive => "request active",
        Body::Active => "active",
    };
    let persisted = Stamp {
        epoch: 5,
        number: 12,
    };
    let committed = Some(Stamp {
        epoch: 5,
        number: 11,
    });
    let writes = vec![
        Write {
            stamp: Stamp {
                epoch: 5,
                number: 11,
            },
            command: put_configuration(),
        },
        Write {
            stamp: persisted,
            command: put_storage_view(),
        },
    ];
    let idle = vec![
        IdleEpoch { epoch: 4, floor: 2 },
        IdleEpoch { epoch: 5, floor: 2 },
    ];
    let bodies = [
        Body::Heartbeat(heartbeat()),
        Body::Prepare {
            ballot: ballot(9, 2),
        },
        Body::Promise {
            ballot: ballot(9, 2),
            report: report(None, Vec::new()),
        },
        Body::Promise {
            ballot: ballot(9, 2),
            report: report(Some(vote()), idle),
        },
        Body::Accept(vote()),
        Body::Accepted {
            ballot: ballot(9, 2),
        },
        Body::Superseded {
            promised: ballot(10, 3),
        },
        Body::Decided(view(6, &[1, 2, 3], &[2, 3], 4)),
        Body::RequestView,
        Body::Replicate {
            after: Stamp {
                epoch: 5,
                number: 10,
            },
            writes,
            barrier: barrier(),
        },
        Body::Transfer {
            state: state(),
            barrier: barrier(),
        },
        Body::Replicated {
            active: true,
            persisted,
            committed,
            barrier: barrier(),
        },
        Body::Replicated {
            active: false,
            persisted,
            committed: None,
            barrier: Barrier::default(),
        },
        Body::RequestState,
        Body::Committed(state()),
        Body::RequestActive,
        Body::Active,
    ];
    let envelope = |body| Envelope {
        from: member(1),
        epoch: 5,
        body,
    };
    bodies
        .into_iter()
        .map(|body| (name(&body), envelope(body)))
        .collect()
}

#[test]
fn every_kind_of_record_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("records");
    for (name, record) in records() {
        recorded.check(name, &record, Record::encode, Record::decode);
    }
    recorded.finish();
}

#[test]
fn snapshots_are_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("snapshots");
    for (name, snapshot) in snapshots() {
        recorded.check(name, &snapshot, Durable::encode, Durable::decode);
    }
    recorded.finish();
}

#[test]
fn every_kind_of_message_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("messages");
    for (name, message) in messages() {
        recorded.check(name, &message, Envelope::encode, Envelope::decode);
    }
    recorded.finish();
}

/// Snapshots of earlier programs end before the idle epochs, and promises of earlier ones before theirs.
#[test]
fn records_cut_at_any_byte_are_refused_but_for_the_list_that_earlier_programs_lack() {
    let recorded = RecordedBytes::open("records");
    for (name, _) in records() {
        let runs = outcomes_when_cut(&recorded.bytes(name), Record::decode);
        assert_eq!(
            runs,
            [
                (0, "the record is empty".to_owned()),
                (1, "malformed record".to_owned())
            ],
            "{name}"
        );
    }
    let recorded = RecordedBytes::open("snapshots");
    for (name, snapshot) in snapshots() {
        let bytes = recorded.bytes(name);
        let list = bytes.len() - 4 - 16 * snapshot.idle_epochs.len();
        let runs = outcomes_when_cut(&bytes, Durable::decode);
        let expected = [
            (0, "the record is empty"),
            (1, "malformed record"),
            (list, "read"),
        ];
        assert_eq!(
            runs,
            expected.map(|(length, text)| (length, text.to_owned())),
            "{name}"
        );
        let earlier = Durable {
            idle_epochs: Vec::new(),
            ..snapshot
        };
        assert_eq!(
            Durable::decode(&bytes[..list]).ok(),
            Some(earlier),
            "{name}"
        );
    }
}

#[test]
fn messages_cut_at_any_byte_are_refused_but_for_the_list_that_earlier_programs_lack() {
    let recorded = RecordedBytes::open("messages");
    for (name, message) in messages() {
        let bytes = recorded.bytes(name);
        let mut expected = vec![
            (0, "the message is empty".to_owned()),
            (1, "malformed message".to_owned()),
        ];
        if let Body::Promise { report, .. } = &message.body {
            let list = bytes.len() - 4 - 16 * report.idle_epochs.len();
            expected.push((list, "read".to_owned()));
        }
        assert_eq!(
            outcomes_when_cut(&bytes, Envelope::decode),
            expected,
            "{name}"
        );
    }
}

#[test]
fn records_and_messages_of_other_versions_name_the_version_found() {
    let other = |bytes: Vec<u8>, version: u8| [&[version], &bytes[1..]].concat();
    for version in [0, 2, 255] {
        for bytes in [records()[0].1.encode(), records()[6].1.encode()] {
            let text = outcome(Record::decode(&other(bytes, version)));
            assert_eq!(text, format!("format version {version}, expected 1"));
        }
        let text = outcome(Durable::decode(&other(snapshots()[0].1.encode(), version)));
        assert_eq!(text, format!("format version {version}, expected 1"));
    }
    for version in [0, 1, 3, 255] {
        let text = outcome(Envelope::decode(&other(messages()[0].1.encode(), version)));
        assert_eq!(text, format!("message version {version}, expected 2"));
    }
}

/// The kind stands in four bytes behind the version, or behind the sender and the epoch.
#[test]
fn unknown_kinds_and_lengths_beyond_the_end_are_malformed() {
    let with = |mut bytes: Vec<u8>, place: usize, number: u32| {
        bytes[place..place + 4].copy_from_slice(&number.to_le_bytes());
        bytes
    };
    for kind in [6, 255, u32::MAX] {
        let text = outcome(Record::decode(&with(records()[0].1.encode(), 1, kind)));
        assert_eq!(text, "malformed record", "kind {kind}");
    }
    for kind in [15, 255, u32::MAX] {
        let text = outcome(Envelope::decode(&with(messages()[0].1.encode(), 23, kind)));
        assert_eq!(text, "malformed message", "kind {kind}");
    }
    let (_, view) = &records()[2];
    assert_eq!(
        outcome(Record::decode(&with(view.encode(), 13, u32::MAX))),
        "malformed record"
    );
    let (_, decided) = &messages()[7];
    assert_eq!(
        outcome(Envelope::decode(&with(decided.encode(), 35, u32::MAX))),
        "malformed message"
    );
}

/// Later programs may add fields at the end.
#[test]
fn bytes_behind_a_record_or_a_message_are_passed_over() {
    let longer = |bytes: Vec<u8>| [bytes, vec![0, 1, 2]].concat();
    for (name, record) in records() {
        assert_eq!(
            Record::decode(&longer(record.encode())).ok(),
            Some(record),
            "{name}"
        );
    }
    for (name, message) in messages() {
        assert_eq!(
            Envelope::decode(&longer(message.encode())).ok(),
            Some(message),
            "{name}"
        );
    }
}

#[test]
fn foreign_bytes_are_refused() {
    let foreign: [&[u8]; 3] = [b"WOADSLOT", b"{\"generation\":7}", &[0xff; 64]];
    let record_errors = foreign.map(|bytes| outcome(Record::decode(bytes)));
    let versions = ["87", "123", "255"];
    assert_eq!(
        record_errors,
        versions.map(|version| format!("format version {version}, expected 1"))
    );
    let message_errors = foreign.map(|bytes| outcome(Envelope::decode(bytes)));
    assert_eq!(
        message_errors,
        versions.map(|version| format!("message version {version}, expected 2"))
    );
}

/// Members compare the places of others with their own, and know them as digests only.
#[test]
fn digests_of_places_are_as_recorded() {
    let recorded = RecordedBytes::open("places");
    let places = [("a", "north"), ("zone-2", "region-3"), ("", "")];
    for (zone, region) in places {
        let place = FailureDomain::named(zone, region);
        let bytes = [place.zone.to_le_bytes(), place.region.to_le_bytes()].concat();
        recorded.check_bytes(&format!("zone {zone:?} of region {region:?}"), &bytes);
    }
    recorded.finish();
}
