//! Recorded bytes of the gossip payload: versions of one tier must agree on them.

use woadreach_membership::MemberId;
use woadreach_zone_failover::{GossipPayload, PartCounts, Report, ZoneVerdict};

#[test]
fn a_payload_has_its_recorded_bytes() {
    let parts = |seen, failed| PartCounts { seen, failed };
    let zones = [parts(4, 1), parts(40, 30), parts(0, 0)];
    let payload = GossipPayload {
        verdicts: vec![ZoneVerdict::new(1, 301, 2.5, 2)],
        reports: vec![Report::new(MemberId(300), 2, 9, 120.0, &zones).with_age(0.7)],
    };
    let recorded = [
        0x01, 0x01, 0xad, 0x02, 0xfa, 0x01, 0x02, 0x01, 0xac, 0x02, 0x02, 0x09, 0x0d, 0x37, 0x03,
        0x41, 0xfb, 0x00,
    ];
    assert_eq!(payload.seal(), recorded);
    assert_eq!(GossipPayload::open(&recorded, 3, 301), Ok(payload));
}
