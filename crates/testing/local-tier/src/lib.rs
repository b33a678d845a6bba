//! A complete serving tier on loopback, with fake replicas, an operator and clients.
//!
//! Each process runs a built executable with a separate settings file and a separate loopback address
//! (127.77.x.y), so that port numbers are the same on all machines, as in production. Used by tests and by
//! the command `woadreach-local-tier`, which runs an example conversation.
//!
//! Where to start reading:
//!
//! - `tier.rs`: starts, kills and restarts the processes of a tier;
//! - `example.rs`: the example deployment and a conversation with it;
//! - `replica.rs`, `operator.rs`, `client.rs`: the external peers of the tier.

#![warn(missing_docs)]

mod client;
mod error;
pub mod example;
mod operator;
mod process;
mod programs;
mod replica;
mod settings;
mod tier;

pub use client::{Client, TurnAnswer, TurnRequest};
pub use error::TierError;
pub use operator::Operator;
pub use process::NodeProcess;
pub use programs::built_programs;
pub use replica::{
    DepartureNotice, FakeReplica, ReceivedRequest, ReplicaKind, ReplicaSocket, expected_chunks,
};
pub use settings::{MachineClass, NodeSpec};
pub use tier::{Tier, TierSize};
