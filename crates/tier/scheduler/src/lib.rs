//! Decisions of the data plane about calls: placement, queueing, retries, hedging and load shedding.
//!
//! [`Scheduler`] is the state machine and the place to start reading. It does no I/O and has no clock. The
//! driver passes the time in seconds and the events that have occurred, and executes the returned [`Action`]s in
//! order. After every input it queries [`Scheduler::next_wake`], and calls [`Scheduler::wake`] at that time. The
//! same seed and the same inputs give the same actions.
//!
//! A call ends in exactly one way: an attempt is [`Outcome::Answered`], the call is rejected by
//! [`Action::Refuse`] or failed by [`Action::Fail`], or the driver ends the call ([`Scheduler::call_ended`]).
//!
//! The algorithms are those of `woadreach_routing::decide`: a call corresponds to a part there, and the concurrent
//! calls of one program to a search (docs/design.md, "Agent programs").
//!
//! | module | concern |
//! | --- | --- |
//! | `scheduler` | the inputs of the state machine |
//! | `call`, `outcome`, `spec`, `action` | inputs from the driver and actions for it |
//! | `call_state` | states of a call |
//! | `decisions`, `hedging`, `shedding` | sending, queueing, retries, hedges and rejections |
//! | `placement` | choice of a replica |
//! | `step` | the queuing deadline of a program's step |
//! | `observations`, `replica`, `routes`, `programs`, `service` | observed latencies, health and load, and estimates |
//! | `decision_counts` | number of decisions by kind, for operators |
//! | `mechanisms` | mechanisms that a build with the feature `ablation` can disable |
//! | `active_call`, `fleet`, `prefix_cache`, `keys`, `retry_tokens`, `timers` | data structures of the state |

mod action;
mod active_call;
mod call;
mod call_state;
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
pub use outcome::{Outcome, ServerLoad, StartedResponse};
pub use scheduler::Scheduler;
pub use service::connections_per_process;
pub use spec::{EngineSpec, ReplicaSpec, ServiceSpec};
