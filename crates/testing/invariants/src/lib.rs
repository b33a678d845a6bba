//! Checks the recorded history of a run against the six guarantees of the router. Used by the simulation and the
//! process tests.
//!
//! A test passes [`Event`]s to a [`Checker`]: what was written or read, when and by whom, as observed from outside
//! a co-ordinator. For each event the checker returns the [`Breach`]es that the event proves, with the events of
//! the search as evidence. The checker implements the guarantees as the protocol defines them, with the limits in
//! [`Terms`], and does not depend on how a co-ordinator works. It does no I/O and reads no clock.
//!
//! Start with `event`, then `checker`, which dispatches each event, then `rules`, with one file for each guarantee.

mod breach;
mod checker;
mod event;
mod rules;
mod state;
mod terms;
mod units;

pub use breach::{Breach, Rule};
pub use checker::Checker;
pub use event::{CoordinatorId, Event, EventKind, PartName, ReplicaName, ShardValue, ShardWeight};
pub use terms::{QueryTerms, Repeats, RetryBudget, SlowStart, Terms};
pub use units::{CoreSeconds, Seconds, Share};
