//! Messages of discovery between processes, and their codec.
//!
//! A message is a version byte followed by its `speedy` encoding. Decoding never allocates more than the
//! message's own length allows, and returns a typed error for whatever is not a message. Fields and variants
//! are encoded by their order, which must not change within a [`MESSAGE_VERSION`].

use std::net::{Ipv4Addr, SocketAddr};

use snafu::Snafu;
use speedy::{LittleEndian, Readable, Writable};

use crate::committed::CommittedValue;
use crate::registry::{Refresh, RegistryChanges, RegistryVersion};
use crate::replica::{Heartbeat, ModelRecord, ReplicaRecord, ReplicaState};
use crate::status::{Departure, IdentifiedStatus, ReplicaStatus};

/// First byte of every message.
pub const MESSAGE_VERSION: u8 = 1;

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum MessageError {
    /// There is no version byte.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The message is of another version of the protocol.
    #[snafu(display("the message has version {version}, expected {MESSAGE_VERSION}"))]
    Version {
        /// The message's version byte.
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
    /// An address that is not IPv4 becomes 0.0.0.0: the tier speaks IPv4 only.
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
    /// Long-poll of an edge or storage machine. Answered by [`PollResponse`].
    Poll(PollRequest),
    /// Requests the newest committed configuration. Answered by [`ConfigurationResponse`].
    Configuration,
    /// What a core machine has received from replicas since its last batch. Not answered.
    Batch(Batch),
    /// A departure that a core machine acknowledges only after the others know it. Answered by
    /// [`BatchResponse`].
    Urgent(Batch),
    /// A core machine requests another's registry from a version on. Answered by [`RegistryResponse`].
    Registry(RegistryVersion),
}

/// The state that an observer of the core has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct PollRequest {
    /// Newest configuration generation that it has, or that a machine has reported to it.
    pub configuration_generation: u64,
    /// Epoch of its core view.
    pub view_epoch: u64,
    /// Epoch of its storage view.
    pub storage_epoch: u64,
    /// Version of this machine's registry that it has.
    pub registry: RegistryVersion,
    /// The core_status that this machine reported last.
    pub core_status: CoreStatus,
    /// How long to wait for an update, in milliseconds.
    pub wait_ms: u32,
}

/// What a core machine reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct CoreStatus {
    /// It is in contact with a majority of the view.
    pub in_quorum: bool,
    /// It has started or stalled recently and may not know all replicas.
    pub warming: bool,
}

/// Answer to a [`PollRequest`]: what is newer than the state that the request names.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct PollResponse {
    /// What the machine reports about itself.
    pub core_status: CoreStatus,
    /// Newest committed configuration generation; 0 for none.
    pub configuration_generation: u64,
    /// The core view, if newer.
    pub view: Option<CoreView>,
    /// The storage view, if newer.
    pub storage_view: Option<VersionedBytes>,
    /// Changes of the registry.
    pub registry: RegistryResponse,
}

/// The core machines that the sender of an answer knows, on the wire.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct CoreView {
    /// Epoch of the view.
    pub epoch: u64,
    /// Internal addresses of the core machines that the sender knows. Sent again only with a newer epoch.
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
    /// The machine may not know all replicas itself.
    pub warming: bool,
    /// Whether these changes start a complete list, which replaces everything listed before.
    pub reset: bool,
    /// Whether further changes have to be requested.
    pub has_more: bool,
    /// Newest status of each replica that has changed.
    pub statuses: Vec<StatusEntry>,
}

/// What a core machine has received from replicas since its last batch.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct Batch {
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// Internal address of the sender.
    pub sender: Endpoint,
    /// Rises by one with each batch of the incarnation. Urgent batches are not numbered and have 0.
    pub serial: u64,
    /// The sender may not know all replicas itself.
    pub warming: bool,
    /// Heartbeats without changes.
    pub refreshes: Vec<Refresh>,
    /// Statuses that have changed.
    pub statuses: Vec<StatusEntry>,
}

/// Answer to [`Request::Urgent`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct BatchResponse {
    /// Incarnation of the machine that has received the batch.
    pub incarnation: u64,
}

/// A replica's id and newest status, on the wire.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct StatusEntry {
    /// Identifier of the replica's incarnation.
    pub id: String,
    /// Its status.
    pub status: WireStatus,
}

/// [`ReplicaStatus`] on the wire.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum WireStatus {
    /// It is registered.
    Registered(WireRecord),
    /// It has departed.
    Departed {
        /// Last sequence number that the departure covers.
        sequence: u64,
        /// Why it has departed.
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
    /// The wire form of the status of the replica `id`.
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

    /// The status with the replica's id.
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
    /// The wire form of a registry's changes. `warming` says that the machine may not know all replicas
    /// itself.
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
    // Writing to a vector fails only if a length does not fit 32 bits, which the registry's bounds rule out.
    if message.write_to_stream(&mut bytes).is_err() {
        bytes.truncate(1);
    }
    bytes
}

/// Decodes the answer of the process `peer`. Logs an answer that cannot be decoded and returns `None`.
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
/// If the bytes are empty, of another version, or not the encoding of an `M`.
pub fn decode<'a, M: Readable<'a, LittleEndian>>(bytes: &'a [u8]) -> Result<M, MessageError> {
    let (version, body) = bytes.split_first().ok_or(MessageError::Empty)?;
    if *version != MESSAGE_VERSION {
        return Err(MessageError::Version { version: *version });
    }
    M::read_from_buffer(body).map_err(|_| MessageError::Malformed)
}
