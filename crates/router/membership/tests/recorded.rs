//! Compatibility of the datagram envelope and of the messages of the membership protocol with recorded bytes: they must
//! be decoded to the same values, and the values encoded to the same bytes.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use foca::{Codec, Header, Message, PostcardCodec, State};
use recorded::{Records, inverted, unhex};
use rstest::rstest;
use std::collections::BTreeSet;
use woadreach_membership::datagram::{Body, MAX_BYTES, Rejection, capacity_beside, decode, encode};
use woadreach_membership::{Member, MemberId, Members, MembershipConfig, OutgoingMessage};

const ROSTER: usize = 300;

fn records(file: &str) -> Records {
    Records::at(&format!(
        "{}/tests/recorded/{file}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

fn envelopes() -> Records {
    records("datagrams.hex")
}

/// Bodies in which each payload is absent and present.
fn bodies() -> Vec<(&'static str, Body<'static>)> {
    const LONG: &[u8] = &[7; 130];
    let body = |from, swim, zone_gossip, roles| Body {
        from: MemberId(from),
        swim,
        zone_gossip,
        roles,
    };
    vec![
        ("empty", body(0, &[], &[], &[])),
        ("membership-alone", body(1, b"swim", &[], &[])),
        ("riders-alone", body(127, &[], b"riders", &[])),
        ("duties-alone", body(128, &[], &[], b"duties")),
        ("all-of-them", body(u16::MAX, b"swim", b"riders", b"duties")),
        (
            "lengths-of-two-bytes",
            body(300, LONG, &[0, 0xff], &[1; 100]),
        ),
    ]
}

#[test]
fn recorded_datagrams_are_decoded_and_encoded_the_same() {
    for (name, body) in bodies() {
        let actual = encode(&body).expect("the datagram is within its limit");
        let recorded_bytes = envelopes().bytes(name, &actual);
        assert_eq!(decode(&recorded_bytes), Ok(body), "{name}");
        assert_eq!(actual, recorded_bytes, "{name}");
    }
}

#[test]
fn datagrams_that_are_truncated_or_too_long_are_malformed() {
    for (name, body) in bodies() {
        let mut bytes = envelopes().bytes(
            name,
            &encode(&body).expect("the datagram is within its limit"),
        );
        for end in 0..bytes.len() {
            assert_eq!(
                decode(&bytes[..end]),
                Err(Rejection::Malformed),
                "{name}, truncated to {end} bytes"
            );
        }
        bytes.push(0);
        assert_eq!(
            decode(&bytes),
            Err(Rejection::Malformed),
            "{name}, with a trailing byte"
        );
    }
}

#[test]
fn datagrams_with_an_inverted_byte_have_their_recorded_outcome() {
    for (name, body) in bodies() {
        let bytes = envelopes().bytes(
            name,
            &encode(&body).expect("the datagram is within its limit"),
        );
        let actual = inverted(&bytes, |bytes| decode(bytes).is_ok());
        assert_eq!(
            records("inverted.txt").text(name, &actual),
            actual,
            "{name}"
        );
    }
}

#[rstest]
#[case::first_version("0100000000", Rejection::UnknownVersion)]
#[case::next_version("0300000000", Rejection::UnknownVersion)]
#[case::version_alone("02", Rejection::Malformed)]
#[case::sender_overflow("02ffff0f000000", Rejection::Malformed)]
#[case::unterminated_sender("02ffffffffffff", Rejection::Malformed)]
#[case::payload_exceeds_datagram("02000500000000", Rejection::Malformed)]
#[case::text("68656c6c6f", Rejection::UnknownVersion)]
fn arbitrary_datagrams(#[case] hex: &str, #[case] rejection: Rejection) {
    assert_eq!(decode(&unhex(hex)), Err(rejection));
}

#[test]
fn length_limit_and_capacity_are_exact() {
    assert_eq!(
        (
            MAX_BYTES,
            capacity_beside(0),
            capacity_beside(120),
            capacity_beside(300)
        ),
        (256, 246, 126, 0)
    );
    let longest = vec![0; 250];
    let body = |roles| Body {
        from: MemberId(0),
        swim: &[],
        zone_gossip: &[],
        roles,
    };
    assert_eq!(encode(&body(&longest)).map(|bytes| bytes.len()), Some(256));
    assert_eq!(encode(&body(&[0; 251])), None);
    assert_eq!(decode(&[2; 257]), Err(Rejection::Oversize));
}

fn member(id: u16, zone: u8, generation: u16) -> Member {
    Member {
        id: MemberId(id),
        zone,
        generation,
    }
}

/// Updates about members, one for each state.
fn updates() -> Vec<foca::Member<Member>> {
    vec![
        foca::Member::new(member(3, 2, 0), 0, State::Alive),
        foca::Member::new(member(200, 0, 300), 500, State::Suspect),
        foca::Member::new(member(299, 255, u16::MAX), u16::MAX, State::Down),
    ]
}

/// One message of each kind.
fn kinds() -> Vec<Message<Member>> {
    let (target, origin, probe_number) = (member(130, 1, 4), member(130, 1, 4), 200);
    vec![
        Message::Ping(1),
        Message::Ack(u8::MAX),
        Message::PingReq {
            target: target.clone(),
            probe_number,
        },
        Message::IndirectPing {
            origin: origin.clone(),
            probe_number,
        },
        Message::IndirectAck {
            target,
            probe_number,
        },
        Message::ForwardedAck {
            origin,
            probe_number,
        },
        Message::Announce,
        Message::Feed,
        Message::Gossip,
        Message::Broadcast,
        Message::TurnUndead,
    ]
}

/// The name of the record for this kind of message.
fn name(message: &Message<Member>) -> &'static str {
    match message {
        Message::Ping(_) => "ping",
        Message::Ack(_) => "ack",
        Message::PingReq { .. } => "ping-request",
        Message::IndirectPing { .. } => "indirect-ping",
        Message::IndirectAck { .. } => "indirect-ack",
        Message::ForwardedAck { .. } => "forwarded-ack",
        Message::Announce => "announce",
        Message::Feed => "feed",
        Message::Gossip => "gossip",
        Message::Broadcast => "broadcast",
        Message::TurnUndead => "turn-undead",
    }
}

/// The header of a message and the updates that are piggybacked on it. Updates are encoded as their number in two
/// bytes, followed by each update; `None` if the message ends after the header.
type Swim = (Header<Member>, Option<Vec<foca::Member<Member>>>);

fn swim_messages() -> Vec<(String, Swim)> {
    let header = |message| Header {
        src: member(1, 1, 2),
        src_incarnation: 6,
        dst: member(0, 0, 0),
        message,
    };
    let plain = kinds()
        .into_iter()
        .map(|m| (name(&m).to_string(), (header(m), None)));
    let with_updates = [Message::Ping(30), Message::Feed, Message::Gossip];
    let with_updates = with_updates.into_iter().map(|m| {
        (
            format!("{}-with-news", name(&m)),
            (header(m), Some(updates())),
        )
    });
    plain.chain(with_updates).collect()
}

fn encode_swim(swim: &Swim) -> Vec<u8> {
    let mut bytes = Vec::new();
    PostcardCodec
        .encode_header(&swim.0, &mut bytes)
        .expect("encoding to memory succeeds");
    if let Some(updates) = &swim.1 {
        bytes.extend((updates.len() as u16).to_be_bytes());
        for member in updates {
            PostcardCodec
                .encode_member(member, &mut bytes)
                .expect("encoding to memory succeeds");
        }
    }
    bytes
}

fn decode_swim(mut bytes: &[u8]) -> Swim {
    let header = PostcardCodec.decode_header(&mut bytes).expect("a header");
    let Some((count, mut rest)) = bytes.split_first_chunk::<2>() else {
        assert!(bytes.is_empty());
        return (header, None);
    };
    let count = u16::from_be_bytes(*count);
    let updates = (0..count)
        .map(|_| PostcardCodec.decode_member(&mut rest).expect("a member"))
        .collect();
    assert!(rest.is_empty());
    (header, Some(updates))
}

fn members(id: u16) -> Members {
    Members::new(
        member(id, id as u8, 0),
        ROSTER,
        MembershipConfig::default(),
        7,
        0.0,
    )
}

#[test]
fn recorded_messages_are_decoded_and_encoded_the_same() {
    for (name, swim) in swim_messages() {
        let actual = encode_swim(&swim);
        let recorded_bytes = records("membership.hex").bytes(&name, &actual);
        assert_eq!(decode_swim(&recorded_bytes), swim, "{name}");
        assert_eq!(actual, recorded_bytes, "{name}");
    }
}

#[test]
fn every_record_is_used() {
    let sorted = |mut names: Vec<String>| {
        names.sort();
        names
    };
    let names = bodies()
        .into_iter()
        .map(|body| body.0.to_string())
        .collect();
    assert_eq!(envelopes().names(), sorted(names));
    let names = swim_messages().into_iter().map(|swim| swim.0).collect();
    assert_eq!(records("membership.hex").names(), sorted(names));
}

/// A member must accept each recorded message as its first one, and add the sender to its live members.
#[test]
fn members_accept_recorded_messages() {
    for (name, swim) in swim_messages() {
        let mut receiver = members(0);
        receiver.receive(
            0.0,
            &records("membership.hex").bytes(&name, &encode_swim(&swim)),
        );
        let live: Vec<u16> = receiver.view().live.keys().map(|id| id.0).collect();
        let actual = format!("{} unusable, live {live:?}", receiver.unusable_messages());
        assert_eq!(records("taken.txt").text(&name, &actual), actual, "{name}");
    }
}

/// For each length of a truncated message, the record has `u` if the message is unusable, and `t` if it is accepted.
#[test]
fn truncated_messages_have_their_recorded_outcome() {
    for (name, swim) in swim_messages() {
        let bytes = records("membership.hex").bytes(&name, &encode_swim(&swim));
        let outcome = |end: usize| {
            let mut receiver = members(0);
            receiver.receive(0.0, &bytes[..end]);
            if receiver.unusable_messages() > 0 {
                'u'
            } else {
                't'
            }
        };
        let actual: String = (0..bytes.len()).map(outcome).collect();
        assert_eq!(records("cut.txt").text(&name, &actual), actual, "{name}");
    }
}

/// Messages that two members exchange must be unchanged after decoding and encoding, and include the main kinds.
#[test]
fn messages_of_members_are_decoded_and_encoded_the_same() {
    let mut both = [members(0), members(1)];
    let mut kinds = BTreeSet::new();
    let mut in_flight: Vec<OutgoingMessage> = Vec::new();
    for step in 0..100 {
        let now = f64::from(step) * 0.05;
        for OutgoingMessage { to, bytes } in std::mem::take(&mut in_flight) {
            let swim = decode_swim(&bytes);
            kinds.insert(name(&swim.0.message));
            assert_eq!(encode_swim(&swim), bytes);
            if let Some(receiver) = both.get_mut(usize::from(to.0)) {
                in_flight.extend(receiver.receive(now, &bytes).messages);
            }
        }
        both.iter_mut()
            .for_each(|member| in_flight.extend(member.tick(now).messages));
    }
    assert_eq!(both.map(|member| member.unusable_messages()), [0, 0]);
    assert!(
        ["announce", "feed", "ping", "ack", "gossip"]
            .iter()
            .all(|kind| kinds.contains(kind)),
        "{kinds:?}"
    );
}
