//! Recorded bytes of records, snapshots and messages. Every later version must read them and write the same bytes.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;
mod samples;

use recorded::{RecordedBytes, outcome, outcomes_when_cut};
use samples::messages::messages;
use samples::records::{records, snapshots};
use woadreach_chain::{Body, Durable, Envelope, FailureDomain, Record};

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

/// Snapshots and promises of earlier versions end before the list of idle epochs.
#[test]
fn records_and_snapshots_truncated_at_any_byte_are_rejected_except_before_the_idle_epochs() {
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
fn messages_truncated_at_any_byte_are_rejected_except_before_the_idle_epochs() {
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

/// The variant is encoded in four bytes, after the version in a record and after sender and epoch in a message.
#[test]
fn unknown_variants_and_lengths_beyond_the_end_are_malformed() {
    let with = |mut bytes: Vec<u8>, offset: usize, number: u32| {
        bytes[offset..offset + 4].copy_from_slice(&number.to_le_bytes());
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

/// Later versions may add fields at the end.
#[test]
fn bytes_after_a_record_or_a_message_are_ignored() {
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
fn bytes_of_other_formats_are_rejected() {
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

/// Members know the failure domains of other members only as digests, which all versions must compute equally.
#[test]
fn digests_of_failure_domains_are_as_recorded() {
    let recorded = RecordedBytes::open("places");
    let domains = [("a", "north"), ("zone-2", "region-3"), ("", "")];
    for (zone, region) in domains {
        let domain = FailureDomain::named(zone, region);
        let bytes = [domain.zone.to_le_bytes(), domain.region.to_le_bytes()].concat();
        recorded.check_bytes(&format!("zone {zone:?} of region {region:?}"), &bytes);
    }
    recorded.finish();
}
