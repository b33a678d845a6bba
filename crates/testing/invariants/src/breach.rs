//! The rules by name, and the report of a broken one.

use crate::event::Event;
use crate::units::Seconds;
use serde::Serialize;
use std::fmt;
use std::sync::Arc;

/// A guarantee of the router. The names in the record are older than some of the variants'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each search gets exactly one final answer by its deadline, and nothing is sent for it afterwards.
    NoSearchLost,
    /// A part that isn't idempotent runs at most once.
    NoEffectTwice,
    /// A draining replica gets nothing new after the grace period.
    #[serde(rename = "drains_kept")]
    DrainRespected,
    /// A replica that warms up isn't overloaded.
    #[serde(rename = "cold_not_pushed_over")]
    NoSlowStartOverload,
    /// An answer holds only values that replicas computed, and says correctly whether it is complete.
    HonestAnswers,
    /// Retries and hedges stay within the retry budget.
    Budget,
    /// No task panics, nothing leaks, and nothing is sent for a client that has disconnected. Not one of the six
    /// rules, but expected by every user.
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

/// A rule that a history breaks.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The broken rule.
    pub rule: Rule,
    /// When it was found, by the run's clock.
    pub at: Seconds,
    /// The search that shows it; none where the breach concerns a co-ordinator as a whole.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub search: Option<Arc<str>>,
    /// What happened, for a person to read.
    pub why: String,
    /// The events of that search so far, oldest first.
    pub proof: Vec<Event>,
}
