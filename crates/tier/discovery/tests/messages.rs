//! Codec of the messages: an encoding round trip yields the same message, and malformed bytes yield an error.

mod common;

use common::{draining, heartbeat};
use quickcheck::quickcheck;
use woadreach_discovery::messages::{
    Batch, CoreStatus, MESSAGE_VERSION, MessageError, PollResponse, RegistryResponse, Request,
    StatusEntry, VersionedBytes, decode, encode,
};
use woadreach_discovery::registry::{Refresh, RegistryVersion};
use woadreach_discovery::{ModelRecord, ReplicaRecord, ReplicaStatus};

fn batch(ids: &[String], sequence: u64) -> Request {
    let statuses = ids.iter().enumerate().map(|(place, id)| {
        let mut record = ReplicaRecord::new(
            id,
            if place % 2 == 0 { heartbeat } else { draining }(1, sequence),
        );
        record.heartbeat.models = vec![ModelRecord {
            name: id.clone(),
            generation: sequence,
            adapters: vec![id.clone()],
        }];
        let status = if place % 3 == 2 {
            ReplicaStatus::deregistered()
        } else {
            ReplicaStatus::Registered(record)
        };
        StatusEntry::new(id.clone(), &status)
    });
    let refreshes = ids.iter().map(|id| Refresh {
        id: id.clone(),
        sequence,
        digest: 7,
    });
    Request::Batch(Batch {
        incarnation: sequence,
        sender: "10.1.0.41:7380"
            .parse::<std::net::SocketAddr>()
            .unwrap()
            .into(),
        serial: sequence,
        warming: false,
        refreshes: refreshes.collect(),
        statuses: statuses.collect(),
    })
}

#[test]
fn other_versions_and_empty_messages_have_distinct_errors() {
    assert_eq!(decode::<Request>(&[]), Err(MessageError::Empty));
    assert_eq!(
        decode::<Request>(&[9, 0, 0]),
        Err(MessageError::Version { version: 9 })
    );
    assert_eq!(
        decode::<Request>(&[MESSAGE_VERSION, 0xff]),
        Err(MessageError::Malformed)
    );
}

#[test]
fn a_length_beyond_the_end_of_the_message_is_an_error_without_allocation() {
    let response = RegistryResponse {
        version: RegistryVersion::default(),
        warming: false,
        reset: true,
        has_more: false,
        statuses: Vec::new(),
    };
    let mut bytes = encode(&response);
    let length_at = bytes.len() - 4;
    bytes[length_at..].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(
        decode::<RegistryResponse>(&bytes),
        Err(MessageError::Malformed)
    );
}

quickcheck! {
    fn batches_survive_an_encoding_round_trip(ids: Vec<String>, sequence: u64) -> bool {
        let message = batch(&ids, sequence);
        decode::<Request>(&encode(&message)) == Ok(message)
    }

    fn a_truncated_message_is_an_error(ids: Vec<String>, cut: usize) -> bool {
        let bytes = encode(&batch(&ids, 3));
        decode::<Request>(&bytes[..cut % bytes.len()]).is_err()
    }

    fn arbitrary_bytes_decode_to_a_message_or_an_error(bytes: Vec<u8>, place: usize, value: u8) -> bool {
        let mut message = vec![MESSAGE_VERSION];
        message.extend(&bytes);
        let _ = (decode::<Request>(&message), decode::<PollResponse>(&message));
        // A complete message with one byte changed.
        let mut changed = encode(&batch(&["r1".into(), "r2".into(), "r3".into()], 5));
        let place = place % changed.len();
        changed[place] = value;
        let _ = decode::<Request>(&changed);
        true
    }

    fn poll_responses_survive_an_encoding_round_trip(generation: u64, bytes: Vec<u8>, in_quorum: bool) -> bool {
        let response = PollResponse {
            core_status: CoreStatus { in_quorum, warming: !in_quorum },
            configuration_generation: generation,
            view: None,
            storage_view: Some(VersionedBytes { version: generation, bytes }),
            registry: RegistryResponse {
                version: RegistryVersion { incarnation: generation, revision: 2, dropped_tombstone_revision: 1 },
                warming: in_quorum,
                reset: true,
                has_more: false,
                statuses: Vec::new(),
            },
        };
        decode::<PollResponse>(&encode(&response)) == Ok(response)
    }
}
