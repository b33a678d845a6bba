//! The one checker of the six rules, for all fronts, rigs and tests: fed with events (who wrote or read what,
//! when, at which side), it says after each which rule is broken, by which search, with the events that prove
//! it. Knows the rules as the brief and the protocol word them, and nothing of how a co-ordinator works.
//!
//! Owns the state of the searches that are not long over; must never do I/O, read a clock, or take a
//! co-ordinator's own word for what it did.

mod checker;
mod event;
mod terms;

pub use checker::{Breach, Checker, Rule};
pub use event::{Event, NodeId, PartName, ReplicaName, What};
pub use terms::{Budget, Cold, QueryTerms, Repeats, Terms};
