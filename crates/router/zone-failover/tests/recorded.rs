//! Compatibility of gossip payloads with recorded bytes, both by themselves and in a complete datagram: they must be
//! decoded to the same payloads, and the payloads encoded to the same bytes.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::{Records, inverted, unhex};
use rstest::rstest;
use std::collections::BTreeMap;
use woadreach_membership::datagram::{Body, Rejection, decode, encode};
use woadreach_membership::{Member, MemberId, Members};
use woadreach_zone_failover::{
    GossipPayload, InvalidPayload, LocalPeer, OutgoingDatagram, PartCounts, Report, RolePayload,
    ZoneFailoverConfig, ZoneVerdict, Zones,
};

const ZONES: usize = 3;
const ROSTER: usize = 300;

fn records(file: &str) -> Records {
    Records::at(&format!(
        "{}/tests/recorded/{file}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

fn verdicts() -> Vec<ZoneVerdict> {
    vec![
        ZoneVerdict::new(0, 0, 0.0, 0),
        ZoneVerdict::new(2, 70_000, 600.0, 5),
        ZoneVerdict::new(1, u32::MAX, 0.015, 255),
    ]
}

fn reports() -> Vec<Report> {
    let parts = |seen, failed| PartCounts { seen, failed };
    let zones = [parts(0, 0), parts(15, 15), parts(1000, 300)];
    vec![
        Report::new(MemberId(0), 0, 0, 0.0, &[parts(0, 0); ZONES]),
        Report::new(MemberId(299), 2, 255, 100.0, &zones).with_age(1.0),
        Report::new(
            MemberId(130),
            1,
            128,
            1e12,
            &[parts(7, 9), parts(1, 1), parts(u32::from(u16::MAX), 0)],
        )
        .with_age(1e6),
    ]
}

fn samples() -> Vec<(&'static str, GossipPayload)> {
    let payload = |verdicts, reports| GossipPayload { verdicts, reports };
    vec![
        ("none", payload(vec![], vec![])),
        ("verdicts", payload(verdicts(), vec![])),
        ("reports", payload(vec![], reports())),
        ("both", payload(verdicts(), reports())),
    ]
}

fn recorded_payload(name: &str, zone_gossip: &GossipPayload) -> Vec<u8> {
    records("riders.hex").bytes(name, &zone_gossip.encode())
}

#[test]
fn recorded_payloads_are_decoded_and_encoded_the_same() {
    for (name, payload) in samples() {
        let recorded_bytes = recorded_payload(name, &payload);
        assert_eq!(
            GossipPayload::decode(&recorded_bytes, ZONES, ROSTER).as_ref(),
            Ok(&payload),
            "{name}"
        );
        assert_eq!(payload.encode(), recorded_bytes, "{name}");
    }
}

#[test]
fn every_record_is_used() {
    let mut names: Vec<&str> = samples().into_iter().map(|sample| sample.0).collect();
    names.sort_unstable();
    assert_eq!(records("riders.hex").names(), names);
}

/// Guards against changes in the scale of ages and rates and in the rounding of counts, which the encoding doesn't
/// show.
#[test]
fn recorded_payloads_have_their_values() {
    let (_, payload) = samples().pop().expect("there are samples");
    let read = GossipPayload::decode(&recorded_payload("both", &payload), ZONES, ROSTER)
        .expect("the payload is valid");
    let verdicts: Vec<_> = read
        .verdicts
        .iter()
        .map(|v| (v.zone, v.epoch, v.age_s(), v.consecutive_failovers))
        .collect();
    assert_eq!(
        verdicts,
        [
            (0, 0, 0.0, 0),
            (2, 70_000, 600.0, 5),
            (1, u32::MAX, 0.01, 255)
        ]
    );
    let of = |r: &Report| {
        let parts = |zone| {
            let parts = r.parts(zone);
            (parts.seen, parts.failed)
        };
        (
            r.member.0,
            r.zone,
            r.sequence,
            r.age_s(),
            [parts(0), parts(1), parts(2)],
            parts(3),
        )
    };
    let reports: Vec<_> = read.reports.iter().map(of).collect();
    let expected = [
        (0, 0, 0, 0.0, [(0, 0); ZONES], (0, 0)),
        (299, 2, 255, 1.0, [(0, 0), (15, 15), (15, 5)], (0, 0)),
        (130, 1, 128, 12.75, [(7, 7), (1, 1), (15, 0)], (0, 0)),
    ];
    assert_eq!(reports, expected);
    let rates: Vec<f64> = read
        .reports
        .iter()
        .map(|r| (r.parts_per_second() * 1000.0).round() / 1000.0)
        .collect();
    assert_eq!(rates, [0.0, 97.701, 3_938_502_374.864]);
}

#[test]
fn payloads_that_are_truncated_or_too_long_are_rejected() {
    for (name, payload) in samples() {
        let mut bytes = recorded_payload(name, &payload);
        for end in 1..bytes.len() {
            assert_eq!(
                GossipPayload::decode(&bytes[..end], ZONES, ROSTER),
                Err(InvalidPayload::Malformed),
                "{name}, truncated to {end} bytes"
            );
        }
        bytes.push(0);
        assert_eq!(
            GossipPayload::decode(&bytes, ZONES, ROSTER),
            Err(InvalidPayload::Malformed),
            "{name}, with a trailing byte"
        );
    }
    assert_eq!(
        GossipPayload::decode(&[], ZONES, ROSTER),
        Ok(GossipPayload::default())
    );
}

#[test]
fn inverted_bytes_have_their_recorded_outcome() {
    for (name, payload) in samples() {
        let actual = inverted(&recorded_payload(name, &payload), |bytes| {
            GossipPayload::decode(bytes, ZONES, ROSTER).is_ok()
        });
        assert_eq!(
            records("inverted.txt").text(name, &actual),
            actual,
            "{name}"
        );
    }
}

#[rstest]
#[case::verdict_on_last_zone("01 02000000 00", true)]
#[case::verdict_on_unknown_zone("01 03000000 00", false)]
#[case::report_from_last_member("00 01 ab02 00 00 00 00 03000000", true)]
#[case::report_from_outside_roster("00 01 ac02 00 00 00 00 03000000", false)]
#[case::report_from_unknown_zone("00 01 00 03 00 00 00 03000000", false)]
#[case::too_few_zones("00 01 00 00 00 00 00 020000", false)]
#[case::too_many_zones("00 01 00 00 00 00 00 0400000000", false)]
#[case::more_failed_than_seen("00 01 00 00 00 00 00 030f0000", true)]
#[case::count_exceeds_verdicts("02 02000000 00", false)]
#[case::epoch_overflow("01 02 ffffffff1f 00 00 00", false)]
#[case::unterminated_number("ffffffffffffffffffff", false)]
#[case::text("68656c6c6f", false)]
fn arbitrary_bytes(#[case] hex: &str, #[case] is_valid: bool) {
    let bytes = unhex(&hex.replace(' ', ""));
    assert_eq!(
        GossipPayload::decode(&bytes, ZONES, ROSTER).is_ok(),
        is_valid
    );
}

fn peer() -> LocalPeer {
    let me = Member {
        id: MemberId(0),
        zone: 0,
        generation: 0,
    };
    let members = Members::new(
        me,
        ROSTER,
        woadreach_membership::MembershipConfig::default(),
        7,
        0.0,
    );
    LocalPeer::new(
        MemberId(0),
        members,
        Zones::new(
            MemberId(0),
            0,
            vec![0; ZONES],
            ROSTER,
            ZoneFailoverConfig::default(),
            0.0,
        ),
    )
}

const ROLE_MESSAGES: &[u8] = b"duties";

fn role_payload() -> RolePayload {
    RolePayload {
        from: MemberId(1),
        bytes: ROLE_MESSAGES.to_vec(),
    }
}

/// Returns the recorded datagram: an announcement of the membership protocol with both payloads.
fn datagram() -> Vec<u8> {
    let announce = unhex("0101020600000006");
    let (_, payload) = samples().swap_remove(1);
    let payload = payload.encode();
    let body = Body {
        from: MemberId(1),
        swim: &announce,
        zone_gossip: &payload,
        roles: ROLE_MESSAGES,
    };
    records("datagrams.hex").bytes(
        "announce-with-riders",
        &encode(&body).expect("the datagram is within its limit"),
    )
}

#[test]
fn a_recorded_datagram_is_accepted_with_all_payloads() {
    let bytes = datagram();
    let mut peer = peer();
    let actions = peer.receive(1.0, Some(MemberId(1)), &bytes);
    assert_eq!(actions.role_payload, Some(role_payload()));
    assert_eq!(
        peer.view().live,
        BTreeMap::from([(MemberId(0), 0), (MemberId(1), 1)])
    );
    let counters = peer.counters();
    assert_eq!(
        (
            counters.accepted,
            counters.unusable,
            counters.rejected.len()
        ),
        (1, 0, 0)
    );
}

#[test]
fn a_datagram_with_a_role_payload_has_its_recorded_bytes() {
    let actions = peer().send_role_payload(MemberId(1), ROLE_MESSAGES);
    let [OutgoingDatagram { to, bytes: actual }] = &actions.datagrams[..] else {
        panic!("expected one datagram, got {actions:?}")
    };
    assert_eq!(*to, MemberId(1));
    let recorded_bytes = records("datagrams.hex").bytes("duties-alone", actual);
    assert_eq!(*actual, recorded_bytes);
    let body = decode(&recorded_bytes).expect("the datagram is valid");
    assert_eq!(
        body,
        Body {
            from: MemberId(0),
            swim: &[],
            zone_gossip: &[],
            roles: ROLE_MESSAGES
        }
    );
}

#[rstest]
#[case::other_address(Some(2), 0, Rejection::WrongSender)]
#[case::unknown_address(None, 0, Rejection::WrongSender)]
#[case::unknown_version(Some(1), 1, Rejection::UnknownVersion)]
fn a_datagram_is_rejected_and_counted(
    #[case] from: Option<u16>,
    #[case] version_bits: u8,
    #[case] rejection: Rejection,
) {
    let mut bytes = datagram();
    bytes[0] ^= version_bits;
    let mut peer = peer();
    let actions = peer.receive(1.0, from.map(MemberId), &bytes);
    assert_eq!(
        (actions.role_payload, actions.datagrams),
        (None, Vec::new())
    );
    assert_eq!(peer.counters().rejected, BTreeMap::from([(rejection, 1)]));
    assert_eq!(peer.counters().accepted, 0);
}

#[test]
fn an_invalid_zone_payload_is_rejected_without_the_rest_of_its_datagram() {
    let body = Body {
        from: MemberId(1),
        swim: &[],
        zone_gossip: b"riders",
        roles: ROLE_MESSAGES,
    };
    let mut peer = peer();
    let actions = peer.receive(
        1.0,
        Some(MemberId(1)),
        &encode(&body).expect("the datagram is within its limit"),
    );
    assert_eq!(actions.role_payload, Some(role_payload()));
    let counters = peer.counters();
    assert_eq!(
        (
            counters.accepted,
            counters.unusable,
            counters.rejected.len()
        ),
        (1, 1, 0)
    );
}
