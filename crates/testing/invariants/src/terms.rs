//! The numbers of the rules, as a deployment's settings give them. None has a default.

/// Whether a part may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeats {
    /// Any number of times.
    Idempotent,
    /// Replicas recognise a repeat by its token.
    Tokened {
        /// For how long after the first attempt that may have run, in seconds.
        window: f64,
        /// Whether every replica of the shard recognises it, or only the one that had the first attempt.
        any_holder: bool,
    },
    /// At most once.
    NonIdempotent,
}

/// The numbers of one query type.
#[derive(Clone, Debug)]
pub struct QueryTerms {
    /// Its name.
    pub name: String,
    /// Whether its parts may run again.
    pub repeats: Repeats,
    /// Share of the weight from which an answer is complete.
    pub need: f64,
    /// Least share of the weight that an answer may have.
    pub floor: f64,
    /// Parts of the second step; 0 without one.
    pub fetch: usize,
}

/// How a replica warms up, and how much load it takes meanwhile. What all co-ordinators together may send it
/// in a window is a budget of N requests of mean work; up to 2 √N + 2 more are put down to chance.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Share of its capacity that a replica has when it starts.
    pub from: f64,
    /// Seconds until it has all of it.
    pub time: f64,
    /// Overload threshold as a multiple of the replica's current capacity.
    pub multiple: f64,
    /// Window over which received work is counted, in seconds.
    pub window: f64,
    /// Mean work of a request, in seconds of one core.
    pub work: f64,
    /// Whether every overload breaks the rule; otherwise only one of which over two thirds came from
    /// co-ordinators whose agents listed the replica.
    pub untold_too: bool,
}

/// The retry budget: how many attempts beyond each part's first may be sent in any window.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Attempts that are always allowed.
    pub free: f64,
    /// Further attempts, as a share of the requests that were accepted in the window.
    pub share: f64,
    /// The window, in seconds.
    pub window: f64,
}

/// The numbers of all rules.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The query types, in the order of the settings.
    pub query_types: Vec<QueryTerms>,
    /// How long after its deadline a search's answer still counts, in seconds.
    pub answer_grace: f64,
    /// How long after it was listed as draining a replica may be sent new parts, in seconds.
    pub drain_grace: f64,
    /// Slow start; none where replicas don't warm up.
    pub cold: Option<Cold>,
    /// The retry budget; none where retries are unlimited.
    pub budget: Option<Budget>,
    /// Tolerance of every time limit for the recorders' own delays, in seconds.
    pub slack: f64,
    /// The longest ordinary latency of a link, in seconds.
    pub way: f64,
}
