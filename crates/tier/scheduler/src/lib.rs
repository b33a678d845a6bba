//! Decisions of the data plane about calls: placement, queueing, retries, hedging and load shedding.
//!
//! [`Scheduler`] is the state machine and the place to start reading. It does no I/O and has no clock. The
//! driver passes the time in seconds and what has happened, executes the returned [`Action`]s in order, and
//! calls [`Scheduler::wake`] at [`Scheduler::next_wake`], which it queries after every input. The same seed
//! and the same inputs give the same actions.
//!
//! A call ends in exactly one way: an attempt is [`Outcome::Answered`], the call is rejected by
//! [`Action::Refuse`] or failed by [`Action::Fail`], or its driver gives it up ([`Scheduler::call_ended`]).
//!
//! The mechanism is that of `woadreach_routing::decide`, with a call in place of a part, and the concurrent
//! calls of one program in place of a search (docs/design.md, "Agent programs").
//!
//! | module | concern |
//! | --- | --- |
//! | `scheduler` | the inputs of the state machine |
//! | `call`, `outcome`, `spec`, `action` | what the driver passes in and gets back |
//! | `call_state` | states of a call |
//! | `decisions`, `hedging`, `shedding` | what happens to a call |
//! | `placement` | choice of a replica |
//! | `step` | the queuing deadline of a program's step |
//! | `observations`, `replica`, `routes`, `programs`, `service` | what is learned, and from what |
//! | `decision_counts` | how often each decision was made, for operators |
//! | `mechanisms` | what a measurement can switch off, in a build with the feature `ablation` |
//! | `calls_in_flight`, `fleet`, `prefix_cache`, `keys`, `retry_tokens`, `timers` | state |

mod action;
mod call;
mod call_state;
mod calls_in_flight;
mod decision_counts;
mod decisions;
mod fleet;
mod hedging;
mod keys;
mod mechanisms;
mod observations;
mod outcome;
mod placement;
mod prefix_cache;
mod programs;
mod replica;
mod retry_tokens;
mod routes;
mod scheduler;
mod service;
mod shedding;
mod spec;
mod step;
mod timers;

pub use action::{Action, FailReason};
pub use call::{Call, CallId, CallKind, PrefixPart, WeightedService};
pub use decision_counts::{Decision, DecisionCounts, SchedulerLoad};
pub use mechanisms::Mechanism;
#[cfg(feature = "ablation")]
pub use mechanisms::{switch_all_on, switch_off};
pub use outcome::{Outcome, ServerLoad};
pub use scheduler::Scheduler;
pub use service::connections_per_process;
pub use spec::{EngineSpec, ReplicaSpec, ServiceSpec};
