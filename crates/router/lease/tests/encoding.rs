//! Recorded bytes of messages, and recorded hashes: versions of one tier must agree on them.

use rstest::rstest;
use woadreach_lease::{
    ClockStamp, Departure, EndpointUpdate, FencingToken, Incarnation, Message, QuotaGrant,
    ReplicaDemand, ReplicaKey, Role, open, seal,
};
use woadreach_membership::MemberId;

const ALLOCATOR: Role = Role::QuotaAllocator(3);
const INCARNATION: Incarnation = Incarnation(0x1234);
const TOKEN: FencingToken = FencingToken {
    epoch: 300,
    holder: MemberId(5),
    incarnation: INCARNATION,
};
const REPLICA: ReplicaKey = ReplicaKey(3_422_994_032);

#[rstest]
#[case::request(
    Message::Request {
        role: ALLOCATOR,
        epoch: 300,
        incarnation: INCARNATION,
        request_id: 7,
        is_holder: true,
    },
    &[0x01, 0x00, 0x01, 0x03, 0xac, 0x02, 0xb4, 0x24, 0x07, 0x01]
)]
#[case::granted(
    Message::Granted { role: ALLOCATOR, epoch: 300, incarnation: INCARNATION, request_id: 7 },
    &[0x01, 0x01, 0x01, 0x03, 0xac, 0x02, 0xb4, 0x24, 0x07]
)]
#[case::denied(
    Message::Denied {
        role: ALLOCATOR,
        epoch: 300,
        incarnation: INCARNATION,
        request_id: 7,
        wait_centis: 250,
    },
    &[0x01, 0x02, 0x01, 0x03, 0xac, 0x02, 0xb4, 0x24, 0x07, 0xfa, 0x01]
)]
#[case::release(
    Message::Release { role: ALLOCATOR, epoch: 300, incarnation: INCARNATION },
    &[0x01, 0x03, 0x01, 0x03, 0xac, 0x02, 0xb4, 0x24]
)]
#[case::endpoint_updates(
    Message::EndpointUpdates {
        role: Role::EndpointWatch(2),
        token: TOKEN,
        updates: vec![EndpointUpdate { replica: REPLICA, departure: Departure::Departed }],
    },
    &[
        0x01, 0x04, 0x00, 0x02, 0xac, 0x02, 0x05, 0xb4, 0x24, 0x01, 0xf0, 0xfc, 0x9a, 0xe0, 0x0c,
        0x01,
    ]
)]
#[case::beacon(
    Message::Beacon { role: ALLOCATOR, token: TOKEN, sent_at: ClockStamp(900) },
    &[0x01, 0x05, 0x01, 0x03, 0xac, 0x02, 0x05, 0xb4, 0x24, 0x84, 0x07]
)]
#[case::demands(
    Message::Demands {
        role: ALLOCATOR,
        token: TOKEN,
        beacon_sent_at: ClockStamp(900),
        sent_at: ClockStamp(40),
        demands: vec![ReplicaDemand { replica: REPLICA, parts: 4 }],
    },
    &[
        0x01, 0x06, 0x01, 0x03, 0xac, 0x02, 0x05, 0xb4, 0x24, 0x84, 0x07, 0x28, 0x01, 0xf0, 0xfc,
        0x9a, 0xe0, 0x0c, 0x04,
    ]
)]
#[case::quota_grants(
    Message::QuotaGrants {
        role: ALLOCATOR,
        token: TOKEN,
        demands_sent_at: ClockStamp(40),
        valid_for_centis: 150,
        grants: vec![QuotaGrant { replica: REPLICA, fraction: 6553 }],
    },
    &[
        0x01, 0x07, 0x01, 0x03, 0xac, 0x02, 0x05, 0xb4, 0x24, 0x28, 0x96, 0x01, 0x01, 0xf0, 0xfc,
        0x9a, 0xe0, 0x0c, 0x99, 0x33,
    ]
)]
fn a_message_has_its_recorded_bytes(#[case] message: Message, #[case] recorded: &[u8]) {
    assert_eq!(seal(std::slice::from_ref(&message)), recorded);
    assert_eq!(open(recorded, 6), Some(vec![message]));
}

#[test]
fn a_replica_has_its_recorded_key() {
    let key = ReplicaKey::named("replica-7", 1.5);
    assert_eq!(key, REPLICA);
    assert_eq!(key.bucket(4), 2);
}
