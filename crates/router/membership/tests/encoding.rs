//! Recorded bytes of datagrams and of membership messages: versions of one tier must agree on them.

use woadreach_membership::datagram::{Body, decode, encode};
use woadreach_membership::{Member, MemberId, Members, MembershipConfig, OutgoingMessage};

#[test]
fn a_datagram_has_its_recorded_bytes() {
    let body = Body {
        from: MemberId(300),
        swim: &[1, 2, 3],
        zone_gossip: &[4],
        roles: &[5, 6],
    };
    let recorded = [
        0x02, 0xac, 0x02, 0x03, 0x01, 0x02, 0x03, 0x01, 0x04, 0x02, 0x05, 0x06,
    ];
    assert_eq!(encode(&body), Some(recorded.to_vec()));
    assert_eq!(decode(&recorded), Ok(body));
}

#[test]
fn a_request_to_join_has_its_recorded_bytes() {
    let me = Member {
        id: MemberId(1),
        zone: 2,
        generation: 7,
    };
    let mut members = Members::new(me, 3, MembershipConfig::default(), 5, 0.0);
    let request = OutgoingMessage {
        to: MemberId(2),
        bytes: vec![0x01, 0x02, 0x07, 0x00, 0x02, 0x00, 0x00, 0x06],
    };
    assert_eq!(members.tick(0.1).messages, [request]);
}
