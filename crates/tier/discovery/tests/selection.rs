//! Ranks of core machines and digests of replicas must be the same in every release, because processes of different
//! releases run together and compare digests.

use std::net::SocketAddr;

use woadreach_discovery::selection::rank;
use woadreach_discovery::{Heartbeat, ModelRecord, ReplicaRecord, ReplicaState};

#[test]
fn ranks_are_the_same_in_every_release() {
    let cases = [
        ("", "0.0.0.0:0", 0x9389_9165_4690_8520),
        ("edge-0", "10.1.0.0:7380", 0xeeba_26f7_2e01_dd5a),
        ("edge-0", "10.1.0.1:7380", 0xd478_ee0f_e2e7_2623),
        ("proxy-17", "127.0.0.3:8144", 0xb9d9_7533_c13c_648a),
        ("ß", "255.255.255.255:65535", 0xb508_397b_29f2_1dbf),
        ("edge-0", "[::1]:7380", 0xc93b_e0b4_baa7_8773),
    ];
    for (name, address, expected) in cases {
        let address: SocketAddr = address.parse().expect("a valid address");
        assert_eq!(rank(name, address), expected, "{name} {address}");
    }
}

#[test]
fn content_digests_are_the_same_in_every_release() {
    let heartbeat = Heartbeat {
        service: "svc".into(),
        address: SocketAddr::from(([10, 128, 0, 9], 8080)),
        zone: "a".into(),
        software_version: "v1".into(),
        capacity: 32,
        state: ReplicaState::Draining,
        cold_remaining_ms: 5,
        stage: Some("prefill".into()),
        models: vec![ModelRecord {
            name: "m".into(),
            generation: 3,
            adapters: vec!["x".into(), "y".into()],
        }],
        sequence: 9,
    };
    let plain = Heartbeat {
        state: ReplicaState::Ready,
        cold_remaining_ms: 0,
        stage: None,
        models: Vec::new(),
        ..heartbeat.clone()
    };
    let digest = |heartbeat| ReplicaRecord::new("r1", heartbeat).content_digest();
    assert_eq!(digest(heartbeat), 0x0ffe_28d7);
    assert_eq!(digest(plain), 0x3f94_d41b);
}
