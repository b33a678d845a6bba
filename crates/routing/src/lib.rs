//! Routing decisions shared by the query router and the serving tier: which replica each part of a search is sent to,
//! when it is sent, and when the search is answered.
//!
//! - [`decide`]: all decisions, one module for each concern. Start here.
//! - [`balancer`]: the state that the decisions on searches read and update.
//! - [`api`]: the plain types that callers pass in and receive.
//! - [`fleet`], [`samples`], [`unloaded_latency`] and [`deadline_queue`]: data structures without decisions.
//! - [`rendezvous`]: hashing with which processes choose the same candidate without exchanging messages.
//! - [`mutations`]: defences that tests can switch off, in separate builds.

pub mod api;
pub mod balancer;
pub mod deadline_queue;
pub mod fleet;
pub mod mutations;
pub mod rendezvous;
pub mod samples;
pub mod unloaded_latency;

pub mod decide {
    //! All routing decisions, one module for each concern.
    //!
    //! Nothing here does I/O or reads a clock. Times are in seconds from any origin; times and events are parameters,
    //! and the results are plain values.
    //!
    //! `search_steps`, `placement`, `repeats`, `hung_attempts`, `probes`, `admission`, `health` and `slow_start` decide
    //! on searches ([`Balancer`]). The other modules do not depend on searches, and can be used by any proxy. They are
    //! generic over the replica identifier where they need one:
    //!
    //! - [`UnloadedLatency`]: call `record` with the latency of each answered call that was sent while this process had
    //!   nothing else in flight at the replica, and `forget` when a replica has departed or restarted.
    //! - [`PartBudget`]: `queuing_deadline` for the replicas chosen for a request (query router only; the tier's is
    //!   in `scheduler::step`, from `part_quantile`). `tail` is for one replica; a call that `cannot_finish_in_time`
    //!   is not sent.
    //! - [`Backpressure`], one for each replica: call `begin` after a call was rejected or timed out, `record_answer`
    //!   after each answer, and `blocks` before sending a call.
    //! - [`DeadlineQueue`]: `insert` a call that is blocked by backpressure or has an earlier call before it
    //!   (`is_behind`). After each end of a call, and once backpressure allows it, send the `first` call.
    //! - [`Candidates`]: start with all replicas that can serve the call, apply `require` and `prefer`, then `choose`
    //!   by calls in flight.
    //! - [`OutlierDetector`], one for each replica or zone: `observe` each end of a call, `prefer` replicas that are
    //!   not ejected, and send a probe when `probe_due`.
    //! - [`LatencyLimits`] (query router only; the tier's are in `scheduler::routes`): call `record_answer` with each
    //!   latency, then `update`. A call is late after `late_after`, and due a hedge after `hedge_after`. Call
    //!   `update_overload` before each decision on a request.
    //! - [`RetryBudget`] (query router only; the tier's is in `scheduler::retry_tokens`): call `record_work` with the
    //!   work that the ratio refers to, such as one for each request. Call `allows_retry` before each call beyond the
    //!   first, and `record_retry_sent` after sending it.

    mod admission;
    pub mod candidates;
    mod health;
    pub mod hold;
    mod hung_attempts;
    pub mod latency_limits;
    pub mod outlier_detector;
    pub mod part_budget;
    mod placement;
    mod probes;
    mod repeats;
    pub mod retry_budget;
    mod search_steps;
    pub(crate) mod slow_start;

    pub use crate::balancer::Balancer;
    use crate::balancer::ReplicaState;
    pub use crate::deadline_queue::DeadlineQueue;
    pub use crate::unloaded_latency::UnloadedLatency;
    pub use candidates::Candidates;
    pub use hold::Backpressure;
    pub use latency_limits::LatencyLimits;
    pub use outlier_detector::{EjectionConfig, HealthChange, Observation, OutlierDetector};
    pub use part_budget::PartBudget;
    pub use retry_budget::RetryBudget;
}
