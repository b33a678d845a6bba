//! Co-ordinators as they run: real processes of `woadreachd` on loopback, zone by zone, with stand-in
//! replicas, discovery and clients, and a relay through which every datagram and connection between zones
//! passes.
//!
//! A [`Scenario`] says what goes wrong when; [`play`] runs it and gives an [`Outcome`]: the rules broken, the
//! crashes, and what the processes said of themselves in their records (JSON lines on standard error). What
//! it measures depends on the machine; what it judges, rules and crashes, should not.
//!
//! Owns the processes it starts and ends each of them by its id; must never run anything but the program
//! under test, nor leave loopback.

mod process;
mod relay;
mod rig;
mod scenario;
mod tally;

pub use relay::{Fares, Relay};
pub use rig::{Plan, play};
pub use scenario::{Act, Fault, Scenario, Step};
pub use tally::Outcome;
