//! Mutations: injected bugs that switch off one defence each, by name, so that tests can show that they would find such
//! a bug. Without the feature `mutations`, which no release build has, no defence can be switched off and the checks
//! compile to nothing.

/// A defence that can be switched off.
#[derive(Clone, Copy, Debug)]
pub struct Mutation {
    /// Name of the mutation, unique among all.
    pub name: &'static str,
    /// Description of the defence for reports.
    pub defence: &'static str,
}

const fn mutation(name: &'static str, defence: &'static str) -> Mutation {
    Mutation { name, defence }
}

/// All mutations.
pub const MUTATIONS: [Mutation; 20] = [
    mutation(
        "routing-cold-cap",
        "the cap on what a warming replica is sent",
    ),
    mutation("routing-budget", "the budget of retries and hedges"),
    mutation(
        "routing-budget-window",
        "a tenth of the retry budget's window: retries are dropped from it early",
    ),
    mutation("routing-once", "the bar on repeats of non-idempotent parts"),
    mutation(
        "routing-token-window",
        "the time limit on repeats of parts with a token",
    ),
    mutation(
        "routing-harmless",
        "the check that a shed search has provably not run",
    ),
    mutation("routing-floor", "the minimum weight of an answer"),
    mutation("routing-whole", "the mark of an incomplete answer"),
    mutation(
        "routing-drain",
        "the stop of new work to a replica that is listed as draining",
    ),
    mutation(
        "settings-siblings",
        "the number of co-ordinators that share a warming replica: one is left out",
    ),
    mutation(
        "search-table-keeps-parts",
        "the removal of a finished search's parts",
    ),
    mutation("search-table-no-timer", "the timers of searches"),
    mutation(
        "core-no-wait",
        "the delay between the sending of a part and the answer to its search",
    ),
    mutation(
        "core-names-all",
        "the restriction of the shards that a second step's parts name to those that answered",
    ),
    mutation(
        "core-keeps-bytes",
        "the release of a finished request's bytes",
    ),
    mutation(
        "replicas-no-take-back",
        "the removal of queued attempts when their replica drains",
    ),
    mutation(
        "replicas-cancelled-stays",
        "the removal of a cancelled attempt from the queue",
    ),
    mutation(
        "replicas-never-ran",
        "the record that the parts on a broken connection may have run",
    ),
    mutation(
        "discovery-no-drains",
        "the processing of draining replicas in a watch",
    ),
    mutation(
        "front-no-answer-at-end",
        "the pending answers when the process is shut down",
    ),
];

#[cfg(feature = "mutations")]
mod on {
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<Option<&'static str>> = const { Cell::new(None) };
    }

    /// Activates a mutation on this thread, in place of the active one; `None` deactivates it.
    pub fn mutate(name: Option<&'static str>) {
        ACTIVE.set(name);
    }

    /// Whether the mutation of this name is active on this thread.
    pub fn is_mutated(name: &str) -> bool {
        ACTIVE.get() == Some(name)
    }
}

#[cfg(feature = "mutations")]
pub use on::{is_mutated, mutate};

/// Whether the mutation of this name is active: never in this build.
#[cfg(not(feature = "mutations"))]
#[inline(always)]
pub const fn is_mutated(_: &str) -> bool {
    false
}
