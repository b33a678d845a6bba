//! Discovery of replicas and nodes, and the way in which the control plane's state reaches the data plane.
//!
//! Replicas register themselves by heartbeats at any core machine. What a core machine has heard is soft
//! state in its [`Registry`], shared with the other core machines by [`exchange`] and rebuilt from the
//! heartbeats after a loss. Every data-plane process long-polls up to three core machines
//! ([`messages::PollRequest`]); a core machine answers as soon as it knows something newer than the poll
//! names ([`server`]). The client side merges what the machines say ([`watcher`], driven by
//! [`ControlWatch`]).
//!
//! Decisions ([`registry`], [`warming`], [`replica_table`], [`watcher`]) have no clock and do no I/O: `now`
//! is the time since the process started, and results are plain values.

pub mod committed;
pub mod control_watch;
pub mod core_discovery;
pub mod core_state;
pub mod departure;
pub mod exchange;
pub mod failure_detector;
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
pub mod watcher;

pub use committed::{CommittedState, ViewSummary};
pub use control_watch::ControlWatch;
pub use core_discovery::{AcknowledgeError, CoreDiscovery};
pub use registry::{HeartbeatError, HeartbeatOutcome, Registry};
pub use replica::{Heartbeat, ModelRecord, ReplicaRecord, ReplicaState};
pub use sampler::Sampler;
pub use sampling::NodeRole;
pub use snapshot::ControlSnapshot;
pub use status::{Departure, ReplicaStatus};
