//! Tests of co-ordinators as they run: many real processes of `woadreachd` on loopback, zone by zone, with fake
//! replicas, discovery agents and clients, and a relay through which every datagram and connection between
//! zones passes.
//!
//! [`play`] starts what a [`PlayConfig`] describes, injects the faults of its [`Scenario`] and returns an
//! [`Outcome`]: the invariants that were broken, the crashes, and figures from the processes' logs (JSON lines
//! on standard error). The figures depend on the machine; broken invariants and crashes should not.
//!
//! Where to start reading:
//!
//! - `schedule.rs`: what each scenario does and when;
//! - `cluster/run.rs`: the course of a play;
//! - `cluster/actions.rs`: how faults are injected;
//! - `log_events.rs` and `measurements.rs`: what is read from the logs, and the figures taken from it.

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
