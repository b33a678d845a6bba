//! Mutations: one defence switched off, by name, so that the tests can show that they would find such a bug.
//! Without the feature `mutations`, which no release build has, nothing can be switched off and nothing of this is
//! in the program.

/// A defence that can be switched off.
#[derive(Clone, Copy, Debug)]
pub struct Mutation {
    /// The name by which it is switched off.
    pub name: &'static str,
    /// The defence, for a person to read.
    pub defence: &'static str,
}

const fn mutation(name: &'static str, defence: &'static str) -> Mutation {
    Mutation { name, defence }
}

/// Every mutation.
pub const MUTATIONS: [Mutation; 20] = [
    mutation(
        "routing-cold-cap",
        "the cap on what a warming replica is sent",
    ),
    mutation("routing-budget", "the budget of further attempts"),
    mutation(
        "routing-budget-window",
        "a tenth of the budget's window: further ones are forgotten early",
    ),
    mutation("routing-once", "the bar on repeats of non-idempotent parts"),
    mutation(
        "routing-token-window",
        "the time in which repeats of tokened parts are told apart",
    ),
    mutation(
        "routing-harmless",
        "the proof that a shed search has not run",
    ),
    mutation("routing-floor", "the least share of parts"),
    mutation("routing-whole", "the mark of an answer that is not whole"),
    mutation("routing-drain", "the heed of a list that says draining"),
    mutation(
        "settings-siblings",
        "one co-ordinator of the tier, in what each counts as its share of a warming replica",
    ),
    mutation("search-table-keeps-parts", "the return of a search's parts"),
    mutation("search-table-no-timer", "the timers of searches"),
    mutation(
        "core-no-wait",
        "the moment between a part's leaving and its search's answer",
    ),
    mutation(
        "core-names-all",
        "the list of shards that a second step's parts name",
    ),
    mutation("core-keeps-bytes", "the return of a request's bytes"),
    mutation(
        "replicas-no-take-back",
        "the take-back of what waits on a drain",
    ),
    mutation(
        "replicas-cancelled-stays",
        "the take-back of a part that is cancelled",
    ),
    mutation(
        "replicas-never-ran",
        "the memory that a broken connection's parts may have run",
    ),
    mutation("discovery-no-drains", "the reading of draining in a watch"),
    mutation(
        "front-no-answer-at-end",
        "the answers owed when the process is told to end",
    ),
];

#[cfg(feature = "mutations")]
mod on {
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<Option<&'static str>> = const { Cell::new(None) };
    }

    /// Switches a mutation on for this thread, and the one before off.
    pub fn mutate(name: Option<&'static str>) {
        ACTIVE.set(name);
    }

    /// Whether this defence is switched off on this thread.
    pub fn is_mutated(name: &str) -> bool {
        ACTIVE.get() == Some(name)
    }
}

#[cfg(feature = "mutations")]
pub use on::{is_mutated, mutate};

/// Whether this defence is switched off: never, in this build.
#[cfg(not(feature = "mutations"))]
#[inline(always)]
pub const fn is_mutated(_: &str) -> bool {
    false
}
