//! Fault-injection tests with real processes: several `woadreachd` processes on loopback, distributed among zones,
//! with fake replicas, discovery agents and clients. A relay forwards every datagram and connection between zones.
//!
//! [`play`] starts the cluster that a [`PlayConfig`] describes, injects the faults of its [`Scenario`] and returns an
//! [`Outcome`]: the broken invariants, the crashes, and measurements from the processes' logs (JSON lines on standard
//! error). The measurements depend on the machine; broken invariants and crashes should not.
//!
//! Where to start reading:
//!
//! - `schedule.rs`: the actions of each scenario and their times;
//! - `cluster/run.rs`: the main loop of a run;
//! - `cluster/actions.rs`: how faults are injected;
//! - `log_events.rs` and `measurements.rs`: the log events that are parsed, and the
//!   measurements derived from them.

mod addresses;
mod cluster;
mod config;
mod error;
mod killable;
mod log_events;
mod measurements;
mod outcome;
mod play;
mod process;
mod relay;
mod scenario;
mod schedule;
mod script;

pub use config::PlayConfig;
pub use error::{PlayError, UnknownScenario};
pub use outcome::{Outcome, RoleOutcome};
pub use play::play;
pub use relay::{LinkCondition, Relay, ZonePair};
pub use scenario::Scenario;
