//! Compatibility of messages about singleton roles with recorded bytes: they must be decoded to the same messages, and
//! the messages encoded to the same bytes.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::{Records, inverted, unhex};
use rstest::rstest;
use woadreach_lease::{
    ClockStamp, Departure, EndpointUpdate, FencingToken, Incarnation, MAX_MESSAGES, Message,
    QuotaGrant, ReplicaDemand, ReplicaKey, Role, decode_messages, encode_messages,
};
use woadreach_membership::MemberId;

const ROSTER: usize = 300;

fn datagrams() -> Records {
    Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/messages.hex"
    ))
}

fn token() -> FencingToken {
    FencingToken {
        epoch: 70_000,
        holder: MemberId(299),
        incarnation: Incarnation(40_000),
    }
}

/// One message of each kind, with numbers whose encoding has one byte and several bytes.
fn messages() -> Vec<Message> {
    let (watch, allocator, token) = (Role::EndpointWatch(2), Role::QuotaAllocator(200), token());
    let (small, large) = (ReplicaKey(1), ReplicaKey(u32::MAX));
    vec![
        Message::Request {
            role: watch,
            epoch: 1,
            incarnation: Incarnation(2),
            request_id: 3,
            is_holder: false,
        },
        Message::Granted {
            role: allocator,
            epoch: u32::MAX,
            incarnation: Incarnation(u16::MAX),
            request_id: u16::MAX,
        },
        Message::Denied {
            role: watch,
            epoch: 128,
            incarnation: Incarnation(127),
            request_id: 300,
            wait_centis: 65_000,
        },
        Message::Release {
            role: allocator,
            epoch: 0,
            incarnation: Incarnation(0),
        },
        Message::EndpointUpdates {
            role: watch,
            token,
            updates: vec![
                EndpointUpdate {
                    replica: small,
                    departure: Departure::Draining,
                },
                EndpointUpdate {
                    replica: large,
                    departure: Departure::Departed,
                },
            ],
        },
        Message::Beacon {
            role: allocator,
            token,
            sent_at: ClockStamp(65_535),
        },
        Message::Demands {
            role: allocator,
            token,
            beacon_sent_at: ClockStamp(1),
            sent_at: ClockStamp(500),
            demands: vec![
                ReplicaDemand {
                    replica: small,
                    parts: 0,
                },
                ReplicaDemand {
                    replica: large,
                    parts: 255,
                },
            ],
        },
        Message::QuotaGrants {
            role: allocator,
            token,
            demands_sent_at: ClockStamp(500),
            valid_for_centis: 270,
            grants: vec![
                QuotaGrant {
                    replica: small,
                    fraction: 0,
                },
                QuotaGrant {
                    replica: large,
                    fraction: 65_535,
                },
            ],
        },
    ]
}

/// The name of the record for this kind of message.
fn name(message: &Message) -> &'static str {
    match message {
        Message::Request { .. } => "ask",
        Message::Granted { .. } => "grant",
        Message::Denied { .. } => "deny",
        Message::Release { .. } => "release",
        Message::EndpointUpdates { .. } => "facts",
        Message::Beacon { .. } => "beacon",
        Message::Demands { .. } => "offers",
        Message::QuotaGrants { .. } => "shares",
    }
}

/// Each message by itself, and other combinations that a datagram may contain.
fn samples() -> Vec<(&'static str, Vec<Message>)> {
    let holder = Message::Request {
        role: Role::QuotaAllocator(3),
        epoch: 9,
        incarnation: Incarnation(8),
        request_id: 7,
        is_holder: true,
    };
    let no_updates = Message::EndpointUpdates {
        role: Role::EndpointWatch(0),
        token: token(),
        updates: Vec::new(),
    };
    let mut samples: Vec<_> = messages()
        .into_iter()
        .map(|m| (name(&m), vec![m]))
        .collect();
    samples.push(("ask-of-a-holder", vec![holder.clone()]));
    samples.push(("facts-of-nothing", vec![no_updates]));
    samples.push(("one-of-each", messages()));
    samples.push(("as-many-as-may-be", vec![holder; MAX_MESSAGES]));
    samples
}

#[test]
fn recorded_messages_are_decoded_and_encoded_the_same() {
    for (name, messages) in samples() {
        let actual = encode_messages(&messages);
        let recorded_bytes = datagrams().bytes(name, &actual);
        assert_eq!(
            decode_messages(&recorded_bytes, ROSTER),
            Some(messages),
            "{name}"
        );
        assert_eq!(actual, recorded_bytes, "{name}");
    }
}

#[test]
fn every_record_is_used() {
    let mut names: Vec<&str> = samples().into_iter().map(|sample| sample.0).collect();
    names.sort_unstable();
    assert_eq!(datagrams().names(), names);
}

#[test]
fn messages_that_are_truncated_or_too_long_are_rejected() {
    for (name, messages) in samples() {
        let mut bytes = datagrams().bytes(name, &encode_messages(&messages));
        for end in 1..bytes.len() {
            assert_eq!(
                decode_messages(&bytes[..end], ROSTER),
                None,
                "{name}, truncated to {end} bytes"
            );
        }
        bytes.push(0);
        assert_eq!(
            decode_messages(&bytes, ROSTER),
            None,
            "{name}, with a trailing byte"
        );
    }
}

/// For each byte, the record has whether a message with that byte inverted is accepted (`t`) or rejected (`r`). A
/// changed number can't be detected, but a malformed message must be rejected.
#[test]
fn inverted_bytes_have_their_recorded_outcome() {
    let outcomes = Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/inverted.txt"
    ));
    for message in messages() {
        let name = name(&message);
        let bytes = datagrams().bytes(name, &encode_messages(&[message]));
        let actual = inverted(&bytes, |bytes| decode_messages(bytes, ROSTER).is_some());
        assert_eq!(outcomes.text(name, &actual), actual, "{name}");
    }
}

#[rstest]
#[case::empty("", Some(0))]
#[case::no_messages("00", Some(0))]
#[case::count_exceeds_messages("02 0300010203", None)]
#[case::unknown_kind("01 0800010203", None)]
#[case::unknown_role("01 0302010203", None)]
#[case::release("01 0300010203", Some(1))]
#[case::epoch_overflow("01 030001ffffffff1f03", None)]
#[case::incarnation_overflow("01 03000102ffff07", None)]
#[case::unterminated_number("01 030001ffffffffffffffff", None)]
#[case::is_holder_not_a_bool("01 000001010203 02", None)]
#[case::unknown_departure("01 0400010101010101 02", None)]
#[case::holder_last_in_roster("01 050001 01ab0201 01", Some(1))]
#[case::holder_outside_roster("01 050001 01ac0201 01", None)]
#[case::text("68656c6c6f", None)]
#[case::all_ones("ffffffffffffffff", None)]
fn arbitrary_bytes(#[case] hex: &str, #[case] messages: Option<usize>) {
    let bytes = unhex(&hex.replace(' ', ""));
    assert_eq!(
        decode_messages(&bytes, ROSTER).map(|messages| messages.len()),
        messages
    );
}

#[test]
fn too_many_messages_are_rejected() {
    let (_, mut messages) = samples().pop().expect("there are samples");
    messages.push(messages[0].clone());
    assert_eq!(decode_messages(&encode_messages(&messages), ROSTER), None);
}

/// Guards against members of different versions that compute different keys for a replica.
#[rstest]
#[case::recent_start("10.0.0.7:8443", 1_700_000_000.125)]
#[case::start_at_unix_epoch("10.0.0.7:8443", 0.0)]
#[case::empty_name("", -1.0)]
#[case::non_ascii_name("répl-1", 0.0005)]
fn replica_keys_have_their_recorded_values(#[case] name: &str, #[case] started_at: f64) {
    let records = Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/replicas.txt"
    ));
    let replica = ReplicaKey::named(name, started_at);
    let actual = format!("{} {} {}", replica.0, replica.bucket(4), replica.bucket(0));
    assert_eq!(
        records.text(&format!("{name} started {started_at}"), &actual),
        actual
    );
}

/// Test programs that parse logs depend on these names.
#[test]
fn roles_have_stable_names_in_logs() {
    assert_eq!(
        [Role::EndpointWatch(2), Role::QuotaAllocator(0)].map(|role| format!("{role:?}")),
        ["EndpointWatch(2)", "QuotaAllocator(0)"]
    );
}
