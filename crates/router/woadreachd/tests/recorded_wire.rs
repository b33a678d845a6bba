//! What discovery and replicas write, and what co-ordinators send each other, held still.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::Records;
use rstest::rstest;
use woadreach_lease::{
    ClockStamp, Departure, EndpointUpdate, FencingToken, Incarnation, Message, ReplicaKey, Role,
};
use woadreach_membership::MemberId;
use woadreach_membership::datagram::{self, Body};
use woadreach_zone_failover::{GossipPayload, PartCounts, Report, ZoneVerdict};
use woadreachd::events::{Endpoint, Lifecycle};
use woadreachd::{frame, parse_list};

fn records(file: &str) -> Records {
    Records::at(&format!(
        "{}/tests/recorded/{file}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

const ENTRY: &str = r#"{"instanceId":"r-1","hostPort":"127.0.0.1:9001","zone":"west","cell":1,
"lifecycle":"ready","startedAtMs":1500}"#;

/// The parts of an entry but for its lifecycle.
fn parts(entry: &Endpoint) -> (&str, String, &str, u64, f64) {
    (
        &entry.id,
        entry.address.to_string(),
        &entry.zone,
        entry.cell,
        entry.started_at,
    )
}

#[test]
fn a_list_with_every_key_is_read() {
    let text = format!(r#"{{"generation":42,"reset":true,"instances":[{ENTRY}],"novel":[{{}}]}}"#);
    let list = parse_list(text.as_bytes()).expect("it is sound");
    assert_eq!(
        (list.generation, list.full, list.entries.len()),
        (42, true, 1)
    );
    let west = ("r-1", "127.0.0.1:9001".to_string(), "west", 1, 1.5);
    assert_eq!(parts(&list.entries[0]), west);
    assert_eq!(list.entries[0].lifecycle, Lifecycle::Ready);
}

#[rstest]
#[case::nothing_new(r#"{"generation":43,"instances":[]}"#, 43, false, 0)]
#[case::no_whole_list(r#"{"generation":43,"reset":false,"instances":[]}"#, 43, false, 0)]
#[case::keys_in_another_order(r#"{"instances":[],"reset":true,"generation":0}"#, 0, true, 0)]
#[case::greatest(
    r#"{"generation":18446744073709551615,"instances":[]}"#,
    u64::MAX,
    false,
    0
)]
fn versions_are_read(
    #[case] text: &str,
    #[case] generation: u64,
    #[case] full: bool,
    #[case] entries: usize,
) {
    let list = parse_list(text.as_bytes()).expect("it is sound");
    assert_eq!(
        (list.generation, list.full, list.entries.len()),
        (generation, full, entries)
    );
}

#[rstest]
#[case::draining("ready", "draining", Lifecycle::Draining)]
#[case::gone("ready", "gone", Lifecycle::Departed)]
fn lifecycles_are_read(#[case] from: &str, #[case] to: &str, #[case] lifecycle: Lifecycle) {
    let text = format!(
        r#"{{"generation":1,"instances":[{}]}}"#,
        ENTRY.replace(from, to)
    );
    assert_eq!(
        parse_list(text.as_bytes()).expect("it is sound").entries[0].lifecycle,
        lifecycle
    );
}

#[rstest]
#[case::no_zone(r#""zone":"west","#, "", ("", 1.5))]
#[case::no_start(r#","startedAtMs":1500"#, "", ("west", 0.0))]
#[case::unknown_key(r#""zone""#, r#""novel":{"zone":1},"zone""#, ("west", 1.5))]
fn an_entry_may_lack_or_add(#[case] from: &str, #[case] to: &str, #[case] read: (&str, f64)) {
    let entry = ENTRY.replace('\n', "").replacen(from, to, 1);
    let text = format!(r#"{{"generation":1,"instances":[{entry}]}}"#);
    let list = parse_list(text.as_bytes()).expect("it is sound");
    assert_eq!(
        (list.entries[0].zone.as_str(), list.entries[0].started_at),
        read
    );
}

/// It is skipped, and those beside it count.
#[rstest]
#[case::no_name(r#""r-1""#, r#""""#)]
#[case::name_of_another_key("instanceId", "id")]
#[case::no_address("hostPort", "address")]
#[case::address_by_name("127.0.0.1", "localhost")]
#[case::no_cell("cell", "set")]
#[case::cell_below_nought(r#""cell":1"#, r#""cell":-1"#)]
#[case::cell_in_text(r#""cell":1"#, r#""cell":"1""#)]
#[case::no_lifecycle("lifecycle", "state")]
#[case::unknown_lifecycle("ready", "READY")]
#[case::zone_that_is_no_text(r#""west""#, "3")]
#[case::start_in_text("1500", r#""1500""#)]
fn an_entry_that_cannot_be_used_is_skipped(#[case] from: &str, #[case] to: &str) {
    let odd = ENTRY.replacen(from, to, 1);
    assert_ne!(odd, ENTRY);
    let text = format!(r#"{{"generation":1,"instances":[{odd},7,{ENTRY}]}}"#);
    assert_eq!(
        parse_list(text.as_bytes())
            .expect("it is sound")
            .entries
            .len(),
        1
    );
}

#[rstest]
#[case::nothing("")]
#[case::no_object("[]")]
#[case::no_generation(r#"{"instances":[]}"#)]
#[case::no_instances(r#"{"generation":1}"#)]
#[case::generation_in_text(r#"{"generation":"1","instances":[]}"#)]
#[case::generation_below_nought(r#"{"generation":-1,"instances":[]}"#)]
#[case::generation_with_a_fraction(r#"{"generation":1.5,"instances":[]}"#)]
#[case::generation_beyond_its_bits(r#"{"generation":18446744073709551616,"instances":[]}"#)]
#[case::reset_that_is_no_truth_value(r#"{"generation":1,"reset":1,"instances":[]}"#)]
#[case::instances_that_are_no_list(r#"{"generation":1,"instances":{}}"#)]
#[case::no_json_in_an_entry(r#"{"generation":1,"instances":[{]}"#)]
#[case::cut(r#"{"generation":1,"instances":["#)]
#[case::more_after_it(r#"{"generation":1,"instances":[]}{}"#)]
fn a_list_that_cannot_be_used(#[case] text: &str) {
    let today = parse_list(text.as_bytes())
        .expect_err("it is not sound")
        .reason;
    let name = if text.is_empty() { "nothing" } else { text };
    assert_eq!(records("list-errors.txt").text(name, today), today);
}

fn framed(letter: u8, body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32 + 1).to_le_bytes()[..], &[letter], body].concat()
}

/// Each frame that a replica may send, and how it reads.
#[rstest]
#[case::answer("answer", b'O', b"ab.3 200 7 inflight=7\nvalue")]
#[case::error("error", b'O', b"ab.3 500 - inflight=7\n")]
#[case::full("full", b'O', b"ab.3 503 0 inflight=7\n")]
#[case::probe("probe", b'I', b"inflight=7")]
#[case::unasked("unasked", b'U', b"")]
#[case::refused("refused", b'Z', b"too many")]
fn frames_of_replicas_read_as_they_did(
    #[case] name: &str,
    #[case] letter: u8,
    #[case] body: &[u8],
) {
    let recorded = records("frames.hex").bytes(name, &framed(letter, body));
    assert_eq!(recorded, framed(letter, body));
    let expected = match name {
        "answer" => frame::Frame::Answer {
            id: "ab.3",
            status: frame::PartStatus::Ok,
            score: 7,
            value: b"value",
        },
        "error" => frame::Frame::Answer {
            id: "ab.3",
            status: frame::PartStatus::Error,
            score: 0,
            value: b"",
        },
        "full" => frame::Frame::Answer {
            id: "ab.3",
            status: frame::PartStatus::Full,
            score: 0,
            value: b"",
        },
        "refused" => frame::Frame::Refused(b"too many"),
        _ => frame::Frame::ProbeAnswer,
    };
    assert_eq!(frame::read(&recorded), Ok(Some((expected, recorded.len()))));
    for end in 0..recorded.len() {
        assert_eq!(frame::read(&recorded[..end]), Ok(None), "cut at {end}");
    }
}

#[rstest]
#[case::no_length("00000000", "length out of bounds")]
#[case::longest_and_one("01000100", "length out of bounds")]
#[case::ours("0500000044", "unknown letter")]
#[case::small_letter("050000006f", "unknown letter")]
#[case::no_line("020000004f61", "an answer without a line")]
#[case::few_words("030000004f610a", "a line with too few words")]
#[case::unknown_end("0a0000004f61203230312037200a", "unknown end")]
#[case::score_below_nought("0b0000004f6120323030202d370a00", "a score that is not a whole number")]
fn frames_that_cannot_be_used(#[case] hex: &str, #[case] why: &'static str) {
    assert_eq!(
        frame::read(&recorded::unhex(hex)),
        Err(frame::ParseError { reason: why })
    );
}

#[test]
fn frames_for_replicas_are_written_as_they_were() {
    let parts = [
        frame::part("ab.3", 3, "d=240", "q\"é"),
        frame::part("ab.9", u64::MAX, "", ""),
    ];
    let mut call = Vec::new();
    frame::call(&mut call, &parts.each_ref().map(Vec::as_slice));
    let mut cancel = Vec::new();
    frame::cancel(&mut cancel, "ab.3");
    for (name, today) in [("call", call), ("give-up", cancel)] {
        assert_eq!(records("frames.hex").bytes(name, &today), today, "{name}");
    }
}

/// A datagram with gossip about zones and messages of roles, as one co-ordinator encodes it and another decodes
/// it.
#[test]
fn a_datagram_with_all_payloads_is_read_and_written_as_it_was() {
    let (zones, roster) = (2, 6);
    let parts = [(9, 0), (12, 12)].map(|(seen, failed)| PartCounts { seen, failed });
    let gossip = GossipPayload {
        verdicts: vec![ZoneVerdict::new(1, 3, 2.5, 1)],
        reports: vec![Report::new(MemberId(4), 1, 200, 40.0, &parts).with_age(0.5)],
    };
    let token = FencingToken {
        epoch: 5,
        holder: MemberId(4),
        incarnation: Incarnation(700),
    };
    let updates = vec![EndpointUpdate {
        replica: ReplicaKey::named("r-1", 1.5),
        departure: Departure::Draining,
    }];
    let messages = vec![
        Message::EndpointUpdates {
            role: Role::EndpointWatch(1),
            token,
            updates,
        },
        Message::Beacon {
            role: Role::QuotaAllocator(0),
            token,
            sent_at: ClockStamp(1234),
        },
    ];
    let zone_gossip = gossip.encode();
    let roles = woadreach_lease::encode_messages(&messages);
    let body = Body {
        from: MemberId(4),
        swim: &[],
        zone_gossip: &zone_gossip,
        roles: &roles,
    };
    let today = datagram::encode(&body).expect("it is short enough");
    let recorded = records("datagrams.hex").bytes("all-riders", &today);
    assert_eq!(today, recorded);
    let read = datagram::decode(&recorded).expect("it is sound");
    assert_eq!(
        GossipPayload::decode(read.zone_gossip, zones, roster),
        Ok(gossip)
    );
    assert_eq!(
        woadreach_lease::decode_messages(read.roles, roster),
        Some(messages)
    );
}
