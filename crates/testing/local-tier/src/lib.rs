//! A whole serving tier on loopback, with stand-in replicas, operator and clients.
//!
//! Every process of the tier is the built program with a settings file of its own and a loopback address of
//! its own (127.77.x.y), so that ports are the same on all machines, as in production. Used by tests and by
//! the command `woadreach-local-tier`, which shows a tier serving.

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
pub use replica::{ReceivedRequest, ReplicaKind, StandInReplica, chunks_of};
pub use settings::{MachineClass, NodeSpec};
pub use tier::{Tier, TierSize};
