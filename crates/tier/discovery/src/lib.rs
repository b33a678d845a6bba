//! Discovery of replicas and nodes, and distribution of the control plane's state to the data plane.
//!
//! Replicas register themselves by heartbeats at any core machine. What a core machine has received is soft
//! state in its [`Registry`], shared with the other core machines by [`exchange`] and rebuilt from heartbeats
//! after a restart. Every data-plane process long-polls three core machines ([`messages::PollRequest`]). A
//! core machine answers as soon as it knows something newer than the poll names ([`poll_response`]).
//!
//! Decisions are state machines without clock and I/O: `now` is the time since the process started, and
//! results are plain values. Each has a driver beside it, which is the place to start reading:
//!
//! | driver | state machine | concern |
//! | --- | --- | --- |
//! | [`CoreDiscovery`] | [`core_state::CoreState`] with [`registry`], [`exchange`], [`failure_detector`], [`departure`] | a core machine |
//! | [`ControlWatch`] | [`watcher::Watcher`] with [`selection`], [`replica_table`] | an observer of the core |
//! | [`Sampler`] | [`sampling::PartialView`] | peer sampling, on every process |
//!
//! The protocol is described in `docs/discovery.md`.

pub mod committed;
pub mod control_watch;
pub mod core_discovery;
pub mod core_state;
pub mod departure;
pub mod exchange;
pub mod failure_detector;
mod fnv;
mod heartbeat_check;
pub mod messages;
pub mod poll_response;
mod polled_machine;
pub mod registry;
pub mod replica;
pub mod replica_table;
pub mod sampler;
pub mod sampling;
pub mod selection;
pub mod snapshot;
pub mod status;
pub mod watch_change;
pub mod watcher;

pub use committed::{CommittedState, CommittedValue, ViewSummary};
pub use control_watch::ControlWatch;
pub use core_discovery::{AcknowledgeError, CoreDiscovery, RegistryReport};
pub use registry::{HeartbeatError, HeartbeatOutcome, Registry};
pub use replica::{Heartbeat, ModelRecord, ReplicaRecord, ReplicaState};
pub use sampler::Sampler;
pub use sampling::NodeRole;
pub use snapshot::ControlSnapshot;
pub use status::{Departure, IdentifiedStatus, ReplicaStatus};
