//! Checks a recorded history of a run against the six guarantees of the router, for the simulation, the
//! process tests and every other test.
//!
//! A [`Checker`] is fed with [`Event`]s: who wrote or read what, when, seen from outside a co-ordinator. After
//! each event it reports the [`Breach`]es that the event proves, with the events of that search as evidence.
//! It knows the guarantees as the protocol words them ([`Terms`] holds their numbers), and nothing of how a
//! co-ordinator works. It does no I/O and reads no clock.
//!
//! Start with `event`, then `checker`, which routes each event, then one file of `rules` for each guarantee.

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
