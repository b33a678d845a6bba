//! Names of the rules, and the report of a violation.

use crate::event::Event;
use crate::units::Seconds;
use serde::Serialize;
use std::fmt;
use std::sync::Arc;

/// A guarantee of the router. Some variants have another name in the record, which must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each search gets exactly one final answer by its deadline, and no part is sent after that answer.
    NoSearchLost,
    /// A part that isn't idempotent runs at most once.
    NoEffectTwice,
    /// A draining or departed replica is sent no new part after the grace period.
    #[serde(rename = "drains_kept")]
    DrainRespected,
    /// A replica is not overloaded while it warms up.
    #[serde(rename = "cold_not_pushed_over")]
    NoSlowStartOverload,
    /// An answer contains only values that replicas computed, and is marked complete only if it is.
    HonestAnswers,
    /// Retries and hedges stay within the retry budget.
    Budget,
    /// No task panics, no resource leaks, and nothing is sent for a client that has disconnected. Checked in
    /// addition to the six guarantees.
    Sound,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::NoSearchLost => "no search is lost",
            Rule::NoEffectTwice => "no effect happens twice",
            Rule::DrainRespected => "drains are kept",
            Rule::NoSlowStartOverload => "a cold replica is not pushed over",
            Rule::HonestAnswers => "answers are honest",
            Rule::Budget => "further sub-requests stay within budget",
            Rule::Sound => "the co-ordinator is sound",
        })
    }
}

/// A violation of a rule by a history.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The rule that was violated.
    pub rule: Rule,
    /// Time by the run's clock at which the checker found the violation.
    pub at: Seconds,
    /// Identifier of the affected search; `None` if the breach concerns a co-ordinator as a whole.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub search: Option<Arc<str>>,
    /// Description of the violation, for people.
    pub why: String,
    /// The first events of the search up to the violation, oldest first, limited in number. Empty without a search.
    pub proof: Vec<Event>,
}
