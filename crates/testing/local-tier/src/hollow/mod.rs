//! Hollow runs: many control-side edges and many replicas' heartbeats in one process, against real core
//! processes.
//!
//! They measure what control costs at sizes that whole processes would not fit on one machine. An edge is
//! the same client that `woadreach-proxy` runs ([`woadreach_discovery::ControlWatch`] with peer sampling),
//! each with an address of its own on loopback. Processor time of edges, replicas and probes is told apart
//! by the threads that run them.

mod configuration;
mod core;
mod edge;
mod heartbeats;
mod in_force;
mod probe;
mod report;
mod run;
mod size;
mod usage;
mod workers;

pub use configuration::configuration;
pub use edge::InForce;
pub use in_force::{Acknowledged, Times, delays};
pub use report::{EdgeLoad, EdgeTraffic, HeartbeatLoad, HollowReport, ProcessLoad, Sizes};
pub use run::{HollowError, run};
pub use size::{HollowSize, MachineBounds, SizeError};
pub use usage::{cpu_seconds, resident_bytes};
