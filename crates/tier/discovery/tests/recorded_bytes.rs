//! Recorded messages of discovery. Every release must decode them, and encode the same values to the same bytes.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use std::net::SocketAddr;

use recorded::{RecordedBytes, assert_other_versions_are_named, outcome, outcomes_when_cut};
use speedy::{LittleEndian, Readable};
use woadreach_discovery::departure_record::{decode_departures, encode_departures};
use woadreach_discovery::messages::{
    Batch, BatchResponse, ConfigurationResponse, CoreStatus, CoreView, Endpoint, MessageError,
    PollRequest, PollResponse, RegistryResponse, Request, StatusEntry, VersionedBytes, decode,
    encode,
};
use woadreach_discovery::registry::{Refresh, RegistryVersion};
use woadreach_discovery::sampling::{AgedEntry, NodeEntry, Shuffle};
use woadreach_discovery::{
    Departure, Heartbeat, IdentifiedStatus, ModelRecord, NodeRole, ReplicaRecord, ReplicaState,
    ReplicaStatus,
};

fn endpoint(number: u8) -> Endpoint {
    SocketAddr::from(([10, 1, 0, number], 7380)).into()
}

fn version() -> RegistryVersion {
    RegistryVersion {
        incarnation: 11,
        revision: 22,
        dropped_tombstone_revision: 3,
    }
}

/// Replica with every field set.
fn model_replica() -> ReplicaRecord {
    ReplicaRecord {
        id: "replica-1".into(),
        heartbeat: Heartbeat {
            service: "model".into(),
            address: SocketAddr::from(([10, 128, 0, 9], 8000)),
            zone: "a".into(),
            software_version: "v1".into(),
            capacity: 32,
            state: ReplicaState::Draining,
            cold_remaining_ms: 1500,
            stage: Some("decode".into()),
            models: vec![ModelRecord {
                name: "m".into(),
                generation: 4,
                adapters: vec!["x".into(), "y".into()],
            }],
            sequence: 17,
        },
    }
}

fn plain_replica() -> ReplicaRecord {
    ReplicaRecord {
        id: "replica-2".into(),
        heartbeat: Heartbeat {
            state: ReplicaState::Ready,
            cold_remaining_ms: 0,
            stage: None,
            models: Vec::new(),
            ..model_replica().heartbeat
        },
    }
}

/// All kinds of status of a replica.
fn statuses() -> Vec<StatusEntry> {
    let departed = |sequence, departure| ReplicaStatus::Departed {
        sequence,
        departure,
    };
    let statuses = [
        ("replica-1", ReplicaStatus::Registered(model_replica())),
        ("replica-2", ReplicaStatus::Registered(plain_replica())),
        ("replica-3", departed(5, Departure::Unresponsive)),
        ("replica-4", departed(6, Departure::Superseded)),
        ("replica-5", ReplicaStatus::deregistered()),
    ];
    statuses
        .into_iter()
        .map(|(id, status)| StatusEntry::new(id.to_owned(), &status))
        .collect()
}

fn batch(serial: u64) -> Batch {
    Batch {
        incarnation: 11,
        sender: endpoint(1),
        serial,
        warming: true,
        refreshes: vec![Refresh {
            id: "replica-6".into(),
            sequence: 9,
            digest: 0x0102_0304,
        }],
        statuses: statuses(),
    }
}

/// All kinds of requests. A new kind needs an entry here.
fn requests() -> Vec<(&'static str, Request)> {
    let name = |request: &Request| match request {
        Request::Poll(_) => "poll",
        Request::Configuration => "configuration",
        Request::Batch(_) => "batch",
        Request::Urgent(_) => "urgent",
        Request::Registry(_) => "registry",
    };
    let poll = PollRequest {
        configuration_generation: 7,
        view_epoch: 5,
        storage_epoch: 3,
        registry: version(),
        core_status: CoreStatus {
            in_quorum: true,
            warming: false,
        },
        wait_ms: 2_000,
    };
    let requests = [
        Request::Poll(poll),
        Request::Configuration,
        Request::Batch(batch(8)),
        Request::Urgent(batch(0)),
        Request::Registry(version()),
    ];
    requests
        .into_iter()
        .map(|request| (name(&request), request))
        .collect()
}

fn registry_response() -> RegistryResponse {
    RegistryResponse {
        version: version(),
        warming: false,
        reset: true,
        has_more: false,
        statuses: statuses(),
    }
}

fn poll_responses() -> Vec<(&'static str, PollResponse)> {
    let updates = PollResponse {
        core_status: CoreStatus {
            in_quorum: true,
            warming: true,
        },
        configuration_generation: 7,
        view: Some(CoreView {
            epoch: 5,
            core_machines: vec![endpoint(1), endpoint(2)],
        }),
        storage_view: Some(VersionedBytes {
            version: 3,
            bytes: vec![1, 0, 255],
        }),
        registry: registry_response(),
    };
    let no_updates = PollResponse {
        core_status: CoreStatus::default(),
        configuration_generation: 0,
        view: None,
        storage_view: None,
        registry: RegistryResponse {
            reset: false,
            has_more: true,
            warming: true,
            statuses: Vec::new(),
            ..registry_response()
        },
    };
    vec![("news", updates), ("no news", no_updates)]
}

fn configuration_responses() -> Vec<(&'static str, ConfigurationResponse)> {
    let bytes = br#"{"generation":7}"#.to_vec();
    let some = ConfigurationResponse {
        configuration: Some(VersionedBytes { version: 7, bytes }),
    };
    vec![
        ("configuration", some),
        (
            "no configuration",
            ConfigurationResponse {
                configuration: None,
            },
        ),
    ]
}

/// Shuffle with a process of every role, entries with and without a control address, and a seed that has not answered.
fn shuffle() -> Shuffle {
    let aged = |node: &str, role, control, age_ms| AgedEntry {
        entry: NodeEntry {
            node: node.into(),
            role,
            address: endpoint(age_ms as u8 + 1),
            control,
        },
        age_ms,
    };
    let control = SocketAddr::from(([10, 1, 0, 2], 8144));
    let entries = vec![
        aged("edge-1", NodeRole::Proxy, None, 0),
        aged("core-1", NodeRole::Core, Some(control.into()), 1),
        aged("storage-1", NodeRole::Storage, None, 2),
        aged("", NodeRole::Core, None, 3),
    ];
    Shuffle { entries }
}

#[test]
fn every_kind_of_request_is_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("requests");
    for (name, request) in requests() {
        recorded.check(name, &request, encode, |bytes| decode(bytes));
    }
    recorded.finish();
}

#[test]
fn every_kind_of_answer_is_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("responses");
    for (name, response) in poll_responses() {
        recorded.check(&format!("poll: {name}"), &response, encode, |bytes| {
            decode(bytes)
        });
    }
    for (name, response) in configuration_responses() {
        recorded.check(
            &format!("configuration: {name}"),
            &response,
            encode,
            |bytes| decode(bytes),
        );
    }
    recorded.check("registry", &registry_response(), encode, |bytes| {
        decode(bytes)
    });
    recorded.check(
        "urgent",
        &BatchResponse { incarnation: 11 },
        encode,
        |bytes| decode(bytes),
    );
    recorded.finish();
}

#[test]
fn shuffles_are_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("shuffles");
    recorded.check("every role", &shuffle(), encode, |bytes| decode(bytes));
    recorded.check(
        "nobody",
        &Shuffle {
            entries: Vec::new(),
        },
        encode,
        |bytes| decode(bytes),
    );
    recorded.finish();
}

/// Departures on the disk of a core machine.
#[test]
fn departures_on_disk_are_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("departures");
    let departures = statuses()
        .into_iter()
        .map(StatusEntry::into_status)
        .collect();
    recorded.check(
        "every kind of status",
        &departures,
        |departures: &Vec<IdentifiedStatus>| encode_departures(departures.clone()),
        decode_departures,
    );
    let none = Vec::new();
    recorded.check(
        "no departures",
        &none,
        |departures: &Vec<IdentifiedStatus>| encode_departures(departures.clone()),
        decode_departures,
    );
    recorded.finish();
}

/// A decoded status contains every field that the replica reported.
#[test]
fn statuses_of_replicas_are_decoded_completely() {
    let bytes = RecordedBytes::open("responses").bytes("registry");
    let response: RegistryResponse = decode(&bytes).expect("a recorded message");
    let found: Vec<IdentifiedStatus> = response
        .statuses
        .into_iter()
        .map(StatusEntry::into_status)
        .collect();
    let identified = |id: &str, status| IdentifiedStatus {
        id: id.to_owned(),
        status,
    };
    assert_eq!(
        found[0],
        identified("replica-1", ReplicaStatus::Registered(model_replica()))
    );
    assert_eq!(
        found[1],
        identified("replica-2", ReplicaStatus::Registered(plain_replica()))
    );
    assert_eq!(
        found[4],
        identified("replica-5", ReplicaStatus::deregistered())
    );
}

/// Core machines of different releases compare these digests.
#[test]
fn digests_of_records_are_as_recorded() {
    let recorded = RecordedBytes::open("digests");
    recorded.check_bytes(
        "model replica",
        &model_replica().content_digest().to_le_bytes(),
    );
    recorded.check_bytes(
        "plain replica",
        &plain_replica().content_digest().to_le_bytes(),
    );
    recorded.finish();
}

/// Decodes bytes as one kind of message.
type Reader = fn(&[u8]) -> Result<(), MessageError>;

/// All encoded messages with their names and readers.
fn all_bytes() -> Vec<(&'static str, Vec<u8>, Reader)> {
    fn reader<T: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8]) -> Result<(), MessageError> {
        decode::<T>(bytes).map(|_| ())
    }
    let mut all: Vec<(&'static str, Vec<u8>, Reader)> = vec![
        (
            "registry response",
            encode(&registry_response()),
            reader::<RegistryResponse>,
        ),
        (
            "batch response",
            encode(&BatchResponse { incarnation: 11 }),
            reader::<BatchResponse>,
        ),
        ("shuffle", encode(&shuffle()), reader::<Shuffle>),
    ];
    all.extend(
        requests()
            .iter()
            .map(|(name, sent)| (*name, encode(sent), reader::<Request> as Reader)),
    );
    let polls = poll_responses();
    all.extend(
        polls
            .iter()
            .map(|(name, sent)| (*name, encode(sent), reader::<PollResponse> as Reader)),
    );
    let answers = configuration_responses();
    let answers = answers.iter().map(|(name, sent)| (*name, encode(sent)));
    all.extend(
        answers.map(|(name, bytes)| (name, bytes, reader::<ConfigurationResponse> as Reader)),
    );
    all
}

#[test]
fn messages_truncated_at_any_byte_cannot_be_decoded() {
    let expected = [
        (0, "the message is empty".to_owned()),
        (1, "the message cannot be decoded".to_owned()),
    ];
    for (name, bytes, read) in all_bytes() {
        assert_eq!(outcomes_when_cut(&bytes, read), expected, "{name}");
    }
}

/// Later releases may add fields at the end of a message.
#[test]
fn bytes_after_a_message_are_ignored() {
    for (name, bytes, read) in all_bytes() {
        assert_eq!(
            outcome(read(&[bytes, vec![0, 1, 2]].concat())),
            "read",
            "{name}"
        );
    }
}

#[test]
fn errors_for_other_versions_name_the_version_found() {
    for (name, bytes, read) in all_bytes() {
        assert_other_versions_are_named(name, &bytes, read, |version| {
            format!("the message has version {version}, expected 1")
        });
    }
}

/// The four bytes after the version are the kind of a request.
#[test]
fn unknown_kinds_cannot_be_decoded() {
    for kind in [5, 255, u32::MAX] {
        let mut bytes = encode(&requests()[0].1);
        bytes[1..5].copy_from_slice(&kind.to_le_bytes());
        assert_eq!(
            outcome(decode::<Request>(&bytes)),
            "the message cannot be decoded",
            "{kind}"
        );
    }
}
