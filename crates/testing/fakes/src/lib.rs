//! Fake replicas, clients and discovery agents for the simulation and the process tests. They run on any network that
//! implements `woadreach_runtime::Net`.
//!
//! Each fake behaves as the test configures it, also during the run, and reports the events that it observes to a
//! [`Recorder`]. The fakes implement the protocol independently of the co-ordinator's code, so that they do not share
//! its faults. They check no rules; `woadreach-invariants` does.
//!
//! - [`Caller`]: the clients of one co-ordinator. [`Replica`]: a replica. [`Agent`]: a discovery agent.
//! - `wire`: encoding and parsing of the protocol's messages.

mod client;
mod discovery;
mod recorder;
mod replica;
mod wire;

pub use client::{CallOutcome, Caller, Retry, SearchRequest};
pub use discovery::{Agent, CallsWhileUnresponsive, ListEntry, start_discovery_agent};
pub use recorder::Recorder;
pub use replica::{Behaviour, Replica, WarmUp, start_replica};
