//! Scripted replicas, clients and discovery agents, over any network, for the simulation and the process tests.
//!
//! Each follows its script and reports what it observes to a [`Recorder`]; the test changes the script during
//! the run. They implement the protocol independently of the co-ordinator's code, so that they don't share its
//! mistakes. They judge nothing: that is `woadreach-invariants`.
//!
//! - [`Caller`]: the clients of one co-ordinator. [`Replica`]: a replica. [`Agent`]: a discovery agent.
//! - `wire`: the protocol as they speak it.

mod client;
mod discovery;
mod recorder;
mod replica;
mod wire;

pub use client::{CallOutcome, Caller, Retry, SearchRequest};
pub use discovery::{Agent, CallsWhileUnresponsive, ListEntry, start_discovery_agent};
pub use recorder::Recorder;
pub use replica::{Behaviour, Replica, WarmUp, start_replica};
