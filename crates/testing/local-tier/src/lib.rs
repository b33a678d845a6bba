//! A complete serving tier on loopback, with fake replicas, an operator and clients.
//!
//! Every process of the tier is the built program with a settings file of its own and a loopback address of
//! its own (127.77.x.y), so that ports are the same on all machines, as in production. Used by tests and by
//! the command `woadreach-local-tier`, which shows a tier serving.
//!
//! Where to start reading:
//!
//! - `tier.rs`: the processes of a tier, and how they are started, killed and restarted;
//! - `example.rs`: the deployment that is served, and a conversation with it;
//! - `replica.rs`, `operator.rs`, `client.rs`: who talks to the tier from outside.

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
pub use replica::{FakeReplica, ReceivedRequest, ReplicaKind, ReplicaSocket, chunks_of};
pub use settings::{MachineClass, NodeSpec};
pub use tier::{Tier, TierSize};
