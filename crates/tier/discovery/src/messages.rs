//! Messages of discovery between processes, and their codec.
//!
//! A message is a version byte followed by the `speedy` encoding. Decoding allocates no more memory than the length of
//! the message justifies, and returns a typed error for bytes that are not a message. Fields and variants are encoded
//! by position, so their order must not change within a [`MESSAGE_VERSION`].

use std::net::{Ipv4Addr, SocketAddr};

use snafu::Snafu;
use speedy::{LittleEndian, Readable, Writable};

use crate::committed::CommittedValue;
use crate::registry::{Refresh, RegistryChanges, RegistryVersion};
use crate::replica::{Heartbeat, ModelRecord, ReplicaRecord, ReplicaState};
use crate::status::{Departure, IdentifiedStatus, ReplicaStatus};

/// First byte of every message.
pub const MESSAGE_VERSION: u8 = 1;

/// Why bytes cannot be decoded as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum MessageError {
    /// The version byte is missing.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The version byte is not [`MESSAGE_VERSION`].
    #[snafu(display("the message has version {version}, expected {MESSAGE_VERSION}"))]
    Version {
        /// Version byte of the message.
        version: u8,
    },
    /// The body is not the encoding of the expected message.
    #[snafu(display("the message cannot be decoded"))]
    Malformed,
}

/// An IPv4 socket address on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Endpoint {
    ip: u32,
    port: u16,
}

impl From<SocketAddr> for Endpoint {
    /// An IPv6 address is encoded as 0.0.0.0, because the tier supports IPv4 only.
    fn from(address: SocketAddr) -> Self {
        let ip = match address {
            SocketAddr::V4(address) => u32::from(*address.ip()),
            SocketAddr::V6(_) => 0,
        };
        Self {
            ip,
            port: address.port(),
        }
    }
}

impl From<Endpoint> for SocketAddr {
    fn from(endpoint: Endpoint) -> Self {
        SocketAddr::from((Ipv4Addr::from(endpoint.ip), endpoint.port))
    }
}

/// Request to a core machine over `ServiceId::DISCOVERY`.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Request {
    /// Long-poll of an observer, which is an edge or storage machine. Answered by [`PollResponse`].
    Poll(PollRequest),
    /// Requests the newest committed configuration. Answered by [`ConfigurationResponse`].
    Configuration,
    /// Numbered batch of a core machine. The sender does not wait for the answer.
    Batch(Batch),
    /// Departure that a core machine acknowledges only after the other core machines have answered this request.
    /// Answered by [`BatchResponse`].
    Urgent(Batch),
    /// Requests the changes of a core machine's registry since a version. Answered by [`RegistryResponse`].
    Registry(RegistryVersion),
}

/// Long-poll: states the versions that an observer has, and waits for newer ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct PollRequest {
    /// Newest configuration generation that the observer has, or that the polled machine has reported to it.
    pub configuration_generation: u64,
    /// Epoch of the observer's core view; 0 for none.
    pub view_epoch: u64,
    /// Epoch of the observer's storage view; 0 for none.
    pub storage_epoch: u64,
    /// Version up to which the observer has received the polled machine's registry.
    pub registry: RegistryVersion,
    /// Status that the polled machine last reported to the observer.
    pub core_status: CoreStatus,
    /// Time to wait for an update, in milliseconds.
    pub wait_ms: u32,
}

/// Status that a core machine reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct CoreStatus {
    /// Whether the machine is in contact with a majority of the view.
    pub in_quorum: bool,
    /// Whether the machine may not know all replicas, because it has recently started or stalled.
    pub warming: bool,
}

/// Answer to a [`PollRequest`]: the state that is newer than the versions in the request.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PollResponse {
    /// Status of the answering machine.
    pub core_status: CoreStatus,
    /// Newest committed configuration generation; 0 for none.
    pub configuration_generation: u64,
    /// Core view, if its epoch is newer than in the request.
    pub view: Option<CoreView>,
    /// Storage view, if its epoch is newer than in the request.
    pub storage_view: Option<VersionedBytes>,
    /// Changes of the answering machine's registry since the version in the request.
    pub registry: RegistryResponse,
}

/// Epoch of a core view and the core machines that the sender knows, on the wire.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct CoreView {
    /// Epoch of the view.
    pub epoch: u64,
    /// Internal addresses of the core machines that the sender knows. Resent only with a newer epoch.
    pub core_machines: Vec<Endpoint>,
}

/// A committed value and its version, on the wire.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct VersionedBytes {
    /// Generation of a configuration, or epoch of a storage view.
    pub version: u64,
    /// The encoded value.
    pub bytes: Vec<u8>,
}

/// Answer to [`Request::Configuration`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ConfigurationResponse {
    /// The newest committed configuration, if any.
    pub configuration: Option<VersionedBytes>,
}

/// [`RegistryChanges`] on the wire.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct RegistryResponse {
    /// Version that the receiver has after these changes.
    pub version: RegistryVersion,
    /// Whether the sender may not know all replicas.
    pub warming: bool,
    /// Whether these changes start a complete list. The receiver then discards the sender's previous list.
    pub reset: bool,
    /// Whether the sender has more changes, which have to be requested.
    pub has_more: bool,
    /// Newest status of each changed replica.
    pub statuses: Vec<StatusEntry>,
}

/// Heartbeats and changes that a core machine received from replicas directly since its last batch.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Batch {
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// Internal address of the sender.
    pub sender: Endpoint,
    /// Number of the batch; increases by one with each numbered batch of an incarnation. 0 in urgent batches.
    pub serial: u64,
    /// Whether the sender may not know all replicas.
    pub warming: bool,
    /// Heartbeats without changes.
    pub refreshes: Vec<Refresh>,
    /// Statuses that have changed.
    pub statuses: Vec<StatusEntry>,
}

/// Answer to [`Request::Urgent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct BatchResponse {
    /// Incarnation of the process that received the batch.
    pub incarnation: u64,
}

/// A replica's id and newest status, on the wire.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct StatusEntry {
    /// Identifier of the replica's incarnation.
    pub id: String,
    /// Newest status of the replica.
    pub status: WireStatus,
}

/// [`ReplicaStatus`] on the wire.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WireStatus {
    /// The replica is registered.
    Registered(WireRecord),
    /// The replica has departed.
    Departed {
        /// Last sequence number that the departure covers.
        sequence: u64,
        /// Reason of the departure.
        departure: Departure,
    },
}

/// [`Heartbeat`] on the wire.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct WireRecord {
    service: String,
    address: Endpoint,
    zone: String,
    software_version: String,
    capacity: u32,
    state: ReplicaState,
    cold_remaining_ms: u64,
    stage: Option<String>,
    models: Vec<ModelRecord>,
    sequence: u64,
}

impl WireRecord {
    fn new(heartbeat: &Heartbeat) -> Self {
        Self {
            service: heartbeat.service.clone(),
            address: heartbeat.address.into(),
            zone: heartbeat.zone.clone(),
            software_version: heartbeat.software_version.clone(),
            capacity: heartbeat.capacity,
            state: heartbeat.state,
            cold_remaining_ms: heartbeat.cold_remaining_ms,
            stage: heartbeat.stage.clone(),
            models: heartbeat.models.clone(),
            sequence: heartbeat.sequence,
        }
    }

    fn into_heartbeat(self) -> Heartbeat {
        Heartbeat {
            service: self.service,
            address: self.address.into(),
            zone: self.zone,
            software_version: self.software_version,
            capacity: self.capacity,
            state: self.state,
            cold_remaining_ms: self.cold_remaining_ms,
            stage: self.stage,
            models: self.models,
            sequence: self.sequence,
        }
    }
}

impl StatusEntry {
    /// Creates the wire form of the status of the replica `id`.
    pub fn new(id: String, status: &ReplicaStatus) -> Self {
        let status = match status {
            ReplicaStatus::Departed {
                sequence,
                departure,
            } => WireStatus::Departed {
                sequence: *sequence,
                departure: *departure,
            },
            ReplicaStatus::Registered(record) => {
                WireStatus::Registered(WireRecord::new(&record.heartbeat))
            }
        };
        Self { id, status }
    }

    /// Converts the wire form to a status.
    pub fn into_status(self) -> IdentifiedStatus {
        let id = self.id;
        let status = match self.status {
            WireStatus::Departed {
                sequence,
                departure,
            } => ReplicaStatus::Departed {
                sequence,
                departure,
            },
            WireStatus::Registered(record) => ReplicaStatus::Registered(ReplicaRecord {
                id: id.clone(),
                heartbeat: record.into_heartbeat(),
            }),
        };
        IdentifiedStatus { id, status }
    }
}

impl From<CommittedValue> for VersionedBytes {
    fn from(value: CommittedValue) -> Self {
        Self {
            version: value.version,
            bytes: value.bytes.to_vec(),
        }
    }
}

impl RegistryResponse {
    /// Creates the wire form of a registry's changes. `warming` is set if the sender may not know all replicas.
    pub fn new(changes: RegistryChanges, warming: bool) -> Self {
        let statuses = changes.statuses.into_iter();
        Self {
            version: changes.version,
            warming,
            reset: changes.reset,
            has_more: changes.has_more,
            statuses: statuses
                .map(|changed| StatusEntry::new(changed.id, &changed.status))
                .collect(),
        }
    }
}

/// Encodes a message with its version byte.
pub fn encode<M: Writable<LittleEndian>>(message: &M) -> Vec<u8> {
    let mut bytes = vec![MESSAGE_VERSION];
    // Writing to a vector fails only if a length exceeds 32 bits. The bounds of the registry exclude this.
    if message.write_to_stream(&mut bytes).is_err() {
        bytes.truncate(1);
    }
    bytes
}

/// Decodes an answer received from `peer`. If it cannot be decoded, logs the error and returns `None`.
pub fn decode_answer<'a, M: Readable<'a, LittleEndian>>(
    peer: SocketAddr,
    answer: &'a [u8],
) -> Option<M> {
    decode(answer)
        .inspect_err(|error| tracing::warn!(%peer, %error, "response decoding failed"))
        .ok()
}

/// Decodes a message.
///
/// # Errors
/// If the bytes are empty, have another version, or are not the encoding of an `M`.
pub fn decode<'a, M: Readable<'a, LittleEndian>>(bytes: &'a [u8]) -> Result<M, MessageError> {
    let (version, body) = bytes.split_first().ok_or(MessageError::Empty)?;
    if *version != MESSAGE_VERSION {
        return Err(MessageError::Version { version: *version });
    }
    M::read_from_buffer(body).map_err(|_| MessageError::Malformed)
}
