//! Decisions of the data plane: which replica runs a call, when it leaves, how often it is tried, how it ends.
//!
//! [`Admission`] is pure: it owns no socket, timer or clock. The driver hands in the time (seconds) and what
//! happened, carries out the [`Action`]s it gets back, and calls [`Admission::wake`] at
//! [`Admission::next_wake`]. The same seed and the same input give the same actions.
//!
//! A call ends in exactly one way: an attempt is [`Outcome::Answered`], the call is told as [`Action::Refuse`] or
//! [`Action::Fail`], or its client has gone ([`Admission::cancelled`]).

mod action;
mod admission;
mod call;
mod outcome;
mod spec;

pub use action::{Action, FailReason};
pub use admission::Admission;
pub use call::{Call, CallId, CallKind, PrefixPart};
pub use outcome::{Outcome, ServerLoad};
pub use spec::{EngineSpec, ReplicaSpec, ServiceSpec};
