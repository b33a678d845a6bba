//! What members say to each other of duties, held still: recorded bytes read as they did, and are written
//! again the same.

#[path = "../../../../tests/recorded/lines.rs"]
mod recorded;

use recorded::{Records, inverted, unhex};
use rstest::rstest;
use woadreach_lease::{
    Departure, EndpointUpdate, FencingToken, Incarnation, MAX_MESSAGES, Message, QuotaGrant,
    ReplicaDemand, ReplicaKey, Role, open, seal,
};
use woadreach_membership::MemberId;

const ROSTER: usize = 300;

fn datagrams() -> Records {
    Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/messages.hex"
    ))
}

fn fence() -> FencingToken {
    FencingToken {
        epoch: 70_000,
        holder: MemberId(299),
        life: Incarnation(40_000),
    }
}

/// A message of each kind, with numbers of one byte on the wire and of several.
fn messages() -> Vec<Message> {
    let (list, warden, fence) = (Role::EndpointWatch(2), Role::QuotaAllocator(200), fence());
    let (small, large) = (ReplicaKey(1), ReplicaKey(u32::MAX));
    vec![
        Message::Request {
            duty: list,
            epoch: 1,
            life: Incarnation(2),
            ask: 3,
            holds: false,
        },
        Message::Granted {
            duty: warden,
            epoch: u32::MAX,
            life: Incarnation(u16::MAX),
            ask: u16::MAX,
        },
        Message::Denied {
            duty: list,
            epoch: 128,
            life: Incarnation(127),
            ask: 300,
            wait: 65_000,
        },
        Message::Release {
            duty: warden,
            epoch: 0,
            life: Incarnation(0),
        },
        Message::EndpointUpdates {
            duty: list,
            fence,
            facts: vec![
                EndpointUpdate {
                    replica: small,
                    what: Departure::Draining,
                },
                EndpointUpdate {
                    replica: large,
                    what: Departure::Departed,
                },
            ],
        },
        Message::Beacon {
            duty: warden,
            fence,
            stamp: 65_535,
        },
        Message::Demands {
            duty: warden,
            fence,
            stamp: 1,
            own: 500,
            offers: vec![
                ReplicaDemand {
                    replica: small,
                    wants: 0,
                },
                ReplicaDemand {
                    replica: large,
                    wants: 255,
                },
            ],
        },
        Message::QuotaGrants {
            duty: warden,
            fence,
            own: 500,
            lasts: 270,
            shares: vec![
                QuotaGrant {
                    replica: small,
                    of: 0,
                },
                QuotaGrant {
                    replica: large,
                    of: 65_535,
                },
            ],
        },
    ]
}

/// Of the record; a further kind needs one.
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

/// Each message by itself, and what else a datagram may hold.
fn samples() -> Vec<(&'static str, Vec<Message>)> {
    let holder = Message::Request {
        duty: Role::QuotaAllocator(3),
        epoch: 9,
        life: Incarnation(8),
        ask: 7,
        holds: true,
    };
    let nothing = Message::EndpointUpdates {
        duty: Role::EndpointWatch(0),
        fence: fence(),
        facts: Vec::new(),
    };
    let mut samples: Vec<_> = messages()
        .into_iter()
        .map(|m| (name(&m), vec![m]))
        .collect();
    samples.push(("ask-of-a-holder", vec![holder.clone()]));
    samples.push(("facts-of-nothing", vec![nothing]));
    samples.push(("one-of-each", messages()));
    samples.push(("as-many-as-may-be", vec![holder; MAX_MESSAGES]));
    samples
}

#[test]
fn recorded_messages_read_and_are_written_the_same() {
    for (name, messages) in samples() {
        let today = seal(&messages);
        let kept = datagrams().bytes(name, &today);
        assert_eq!(open(&kept, ROSTER), Some(messages), "{name}");
        assert_eq!(today, kept, "{name}");
    }
}

#[test]
fn nothing_is_recorded_that_is_not_read() {
    let mut names: Vec<&str> = samples().into_iter().map(|sample| sample.0).collect();
    names.sort_unstable();
    assert_eq!(datagrams().names(), names);
}

#[test]
fn messages_that_are_cut_or_run_on_are_refused() {
    for (name, messages) in samples() {
        let mut bytes = datagrams().bytes(name, &seal(&messages));
        for end in 1..bytes.len() {
            assert_eq!(open(&bytes[..end], ROSTER), None, "{name}, cut at {end}");
        }
        bytes.push(0);
        assert_eq!(open(&bytes, ROSTER), None, "{name}, with a further byte");
    }
}

/// Numbers that were changed on the way cannot be told; a form that was changed is.
#[test]
fn inverted_bytes_fare_as_they_did() {
    let outcomes = Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/inverted.txt"
    ));
    for message in messages() {
        let name = name(&message);
        let bytes = datagrams().bytes(name, &seal(&[message]));
        let today = inverted(&bytes, |bytes| open(bytes, ROSTER).is_some());
        assert_eq!(outcomes.text(name, &today), today, "{name}");
    }
}

#[rstest]
#[case::nothing("", Some(0))]
#[case::no_messages("00", Some(0))]
#[case::more_claimed_than_come("02 0300010203", None)]
#[case::ninth_kind("01 0800010203", None)]
#[case::third_duty("01 0302010203", None)]
#[case::release("01 0300010203", Some(1))]
#[case::epoch_beyond_its_bits("01 030001ffffffff1f03", None)]
#[case::life_beyond_its_bits("01 03000102ffff07", None)]
#[case::number_that_never_ends("01 030001ffffffffffffffff", None)]
#[case::holds_that_is_no_truth_value("01 000001010203 02", None)]
#[case::third_way_to_go("01 0400010101010101 02", None)]
#[case::holder_of_the_roster("01 050001 01ab0201 01", Some(1))]
#[case::holder_beyond_the_roster("01 050001 01ac0201 01", None)]
#[case::text("68656c6c6f", None)]
#[case::ones("ffffffffffffffff", None)]
fn foreign_bytes(#[case] hex: &str, #[case] messages: Option<usize>) {
    let bytes = unhex(&hex.replace(' ', ""));
    assert_eq!(
        open(&bytes, ROSTER).map(|messages| messages.len()),
        messages
    );
}

#[test]
fn more_messages_than_may_be_are_refused() {
    let (_, mut messages) = samples().pop().expect("there are samples");
    messages.push(messages[0].clone());
    assert_eq!(open(&seal(&messages), ROSTER), None);
}

/// Members know a replica by the same number whatever they run.
#[rstest]
#[case::listed("10.0.0.7:8443", 1_700_000_000.125)]
#[case::long_ago("10.0.0.7:8443", 0.0)]
#[case::no_name("", -1.0)]
#[case::not_ascii("répl-1", 0.0005)]
fn replicas_keep_their_numbers(#[case] name: &str, #[case] started_at: f64) {
    let numbers = Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/replicas.txt"
    ));
    let replica = ReplicaKey::named(name, started_at);
    let today = format!("{} {} {}", replica.0, replica.bucket(4), replica.bucket(0));
    assert_eq!(
        numbers.text(&format!("{name} started {started_at}"), &today),
        today
    );
}

/// As logs name them, and rigs that read those.
#[test]
fn duties_are_named_in_logs_as_they_were() {
    assert_eq!(
        [Role::EndpointWatch(2), Role::QuotaAllocator(0)].map(|duty| format!("{duty:?}")),
        ["EndpointWatch(2)", "QuotaAllocator(0)"]
    );
}
