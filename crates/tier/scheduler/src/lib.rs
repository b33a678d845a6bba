//! Decisions of the data plane: which replica runs a call, when it leaves, how often it is tried, how it
//! ends.
//!
//! [`Admission`] is pure: it owns no socket, timer or clock. The driver hands in the time (seconds) and what
//! happened, carries out the [`Action`]s it gets back in order, and calls [`Admission::wake`] at
//! [`Admission::next_wake`], which it asks for after every input. The same seed and the same input give the
//! same actions.
//!
//! A call ends in exactly one way: an attempt is [`Outcome::Answered`], the call is told as
//! [`Action::Refuse`] or [`Action::Fail`], or its client has gone ([`Admission::cancelled`]).
//!
//! The mechanism is that of `woadreach_routing::decide`, with a call in the place of a part and the calls that one
//! program has in hand in the place of a search (docs/design.md, "Agent programs").

mod action;
mod admission;
mod call;
mod call_state;
mod calls_in_flight;
mod decisions;
mod fleet;
mod hedging;
mod keys;
mod observations;
mod outcome;
mod placement;
mod prefix_cache;
mod programs;
mod replica;
mod retry_budget;
mod routes;
mod service;
mod shedding;
mod spec;
mod step;
mod timers;

pub use action::{Action, FailReason};
pub use admission::Admission;
pub use call::{Call, CallId, CallKind, PrefixPart};
pub use outcome::{Outcome, ServerLoad};
pub use spec::{EngineSpec, ReplicaSpec, ServiceSpec};
