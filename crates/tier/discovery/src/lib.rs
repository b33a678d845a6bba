//! Discovery of replicas and nodes, and distribution of the control plane's state to its observers.
//!
//! Replicas register by sending heartbeats to any core machine. Each core machine keeps the registered replicas in its
//! [`Registry`]: it exchanges changes with the other core machines ([`exchange`]), and after a restart it rebuilds the
//! registry from heartbeats and from the departures on its disk. Every observing process long-polls three core machines
//! ([`messages::PollRequest`]). A core machine answers as soon as its state is newer than the versions in the poll
//! ([`poll_response`]).
//!
//! The logic is in state machines without clock and I/O: the caller passes `now`, the time since the process started,
//! and results are plain values. Each state machine has a driver, which is the place to start reading:
//!
//! | driver | state machine | concern |
//! | --- | --- | --- |
//! | [`CoreDiscovery`] | [`core_state::CoreState`] | a core machine |
//! | [`ControlWatch`] | [`watcher::Watcher`] | an observer of the core |
//! | [`Sampler`] | [`sampling::PartialView`] | peer sampling, on every process |
//!
//! `CoreState` uses [`registry`], [`exchange`], [`failure_detector`] and [`departure`]. The departures in the registry are
//! also on disk ([`departure_log`], [`departure_journal`], [`departure_compaction`]). `Watcher` uses [`selection`]
//! and [`replica_table`].
//!
//! The protocol is described in `docs/discovery.md`.

pub mod committed;
pub mod control_watch;
pub mod core_discovery;
pub mod core_state;
pub mod departure;
pub mod departure_compaction;
pub mod departure_journal;
pub mod departure_log;
pub mod departure_record;
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
pub use departure_journal::DepartureJournal;
pub use registry::{HeartbeatError, HeartbeatOutcome, Registry};
pub use replica::{Heartbeat, ModelRecord, ReplicaRecord, ReplicaState};
pub use sampler::Sampler;
pub use sampling::NodeRole;
pub use snapshot::ControlSnapshot;
pub use status::{Departure, IdentifiedStatus, ReplicaStatus};
