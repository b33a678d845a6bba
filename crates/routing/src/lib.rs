//! Routing decisions shared by the query router and the serving tier: where the parts of a search go, when they
//! leave, and when the search is answered.
//!
//! Start with [`decide`]: every decision is there, one concern a module. [`balancer`] is the state that the
//! decisions on searches read and update, [`api`] the plain types that callers pass in and get back. [`fleet`],
//! [`samples`], [`unloaded_latency`] and [`deadline_queue`] are data structures that decide nothing.
//! [`rendezvous`] is the hashing by which processes agree without a message. [`mutations`] names the defences
//! that tests can switch off, in builds of their own.

pub mod api;
pub mod balancer;
pub mod deadline_queue;
pub mod fleet;
pub mod mutations;
pub mod rendezvous;
pub mod samples;
pub mod unloaded_latency;

pub mod decide {
    //! Every decision, by concern. Nothing here does I/O or reads a clock: time (seconds, from any origin)
    //! and events come in, plain values come out. `search_steps`, `placement`, `repeats`,
    //! `hung_attempts`, `probes`, `admission`, `health` and `slow_start` decide on searches ([`Balancer`]). The
    //! others know nothing of searches and serve any proxy, generic over its replica identifier `R`:
    //!
    //! - [`UnloadedLatency`]: `record` the latency of each answered call that was sent with nothing else of
    //!   ours in flight at its replica; `forget` one that has departed or restarted.
    //! - [`PartBudget`]: `queuing_deadline` of the replicas chosen for a request (query router only; the tier's
    //!   is in `scheduler::step`, from `part_quantile`); `tail` of one replica, and `hopeless` to leave a call unsent.
    //! - [`Backpressure`], one for each replica: `begin` after a full or timed-out answer, `answered` after each
    //!   answer, `holds` before a call leaves.
    //! - [`DeadlineQueue`]: `insert` a call that is on hold or behind another (`is_behind`); after each end of a
    //!   call, once the hold is over, `first` names who goes next.
    //! - [`Candidates`]: all replicas that could serve; `require` and `prefer` in order, then `choose` by
    //!   calls in flight.
    //! - [`OutlierDetector`], one for each replica or zone: `observe` each end of a call, `prefer` those
    //!   not ejected, send a probe when `probe_due`.
    //! - [`LatencyLimits`] (query router only; the tier's are in `scheduler::routes`): `answered` with
    //!   each latency, then `update`; a call is late after `late_after`, due a hedge after `hedge_after`;
    //!   `update_overload` before a request is decided on.
    //! - [`RetryBudget`] (query router only; the tier's is in `scheduler::retry_tokens`): `record_taken` with
    //!   what the ratio is of, such as one for each request; `record_repeat_sent` for each call beyond a first,
    //!   while it `allows_retry`.

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
    pub use outlier_detector::{Change, EjectionConfig, Observation, OutlierDetector};
    pub use part_budget::PartBudget;
    pub use retry_budget::RetryBudget;
}
