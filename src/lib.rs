//! woadreach: decides where the parts of a search go, when they leave and when the search is answered.
//!
//! `decide` holds every decision; `api` holds the plain types that callers pass in and get back. `plants`
//! names the defences that the rigs can switch off, in builds of their own.

pub mod api;
pub mod plants;
pub mod samples;

/// Every decision, by concern. Nothing here does I/O or reads a clock: time (seconds, from any origin) and
/// events come in, plain values go out. `balancer` puts the parts together for searches; the others know
/// nothing of searches and serve any proxy, generic over its replica identifier `R`:
///
/// - [`UnloadedLatency`](unloaded_latency::UnloadedLatency): `record` the latency of each answered call that
///   was sent with nothing else of ours in flight at its replica; `forget` one that has gone or restarted.
/// - [`PartBudget`](part_budget::PartBudget): `queuing_deadline` of the replicas chosen for a request, or
///   for a program's `k` calls side by side; `tail` of one replica, and `hopeless` to leave a call unsent.
/// - [`Hold`](hold::Hold), one for each replica: `begin` after a full or timed-out answer, `answered` after
///   each answer, `holds` before a call leaves.
/// - [`HeldQueue`](held_queue::HeldQueue): `insert` a call that is held or behind another
///   (`is_behind`); after each end of a call, once the hold is over, `first` names who goes next.
/// - [`Candidates`](candidates::Candidates): all replicas that could serve; `require` and `prefer` in order,
///   then `choose` by calls in flight.
/// - [`OutlierDetector`](outlier_detector::OutlierDetector), one for each replica or zone: `observe` each end
///   of a call, `prefer` those not ejected, send a trial when `trial_due`.
pub mod decide {
    pub mod balancer;
    pub mod candidates;
    pub mod held_queue;
    pub mod hold;
    pub mod outlier_detector;
    pub mod part_budget;
    pub mod unloaded_latency;
}
