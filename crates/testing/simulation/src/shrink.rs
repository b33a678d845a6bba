//! Shrinks a failing script: fewer faults, a shorter run, fewer processes, a simpler load, for as long as the
//! same rule still breaks.

use crate::script::Script;
use crate::world::{Options, play};
use serde::Serialize;
use woadreach_invariants::{Breach, Rule};

/// Most scripts that are played, which takes some minutes.
const MAX_TRIES: usize = 400;

/// A shrunk script.
#[derive(Clone, Debug, Serialize)]
pub struct Shrunk {
    /// The smallest script that was found.
    pub script: Script,
    /// Its first breach of the rule that the original script breaks first.
    pub breach: Breach,
    /// How many scripts were played.
    pub tried: usize,
}

/// The first breach of a script, of this rule if one is given.
fn first_breach(script: &Script, rule: Option<Rule>) -> Option<Breach> {
    script.check().ok()?;
    let outcome = play(
        script,
        Options {
            stop_at_breach: true,
            ..Options::default()
        },
    );
    outcome
        .breaches
        .into_iter()
        .find(|b| rule.is_none_or(|r| r == b.rule))
}

/// The scripts that are one step smaller, boldest steps first.
fn reductions(script: &Script) -> Vec<Script> {
    let mut all = Vec::new();
    let mut with = |change: &dyn Fn(&mut Script)| {
        let mut next = script.clone();
        change(&mut next);
        if next != *script {
            all.push(next);
        }
    };
    for i in 0..script.faults.len() {
        with(&|s| drop(s.faults.remove(i)));
    }
    for i in (0..script.query_types.len()).filter(|_| script.query_types.len() > 1) {
        with(&|s| drop(s.query_types.remove(i)));
    }
    let last = script
        .faults
        .iter()
        .map(|f| f.at + f.duration)
        .fold(2.0, f64::max);
    with(&|s| s.seconds = (s.seconds / 2.0).max(2.0));
    with(&|s| s.seconds = last.min(s.seconds));
    with(&|s| s.seconds = (s.seconds - 1.0).max(2.0));
    // Removes the process with the largest number. A script with a fault that names it is invalid, and isn't
    // played.
    with(&|s| s.fleet.co_ordinators = (s.fleet.co_ordinators - 1).max(1));
    with(&|s| s.fleet.replicas = (s.fleet.replicas - 1).max(1));
    with(&|s| s.load.rate = (s.load.rate / 2.0).max(0.5));
    with(&|s| s.load.retries = 0);
    with(&|s| s.load.disconnect_share = 0.0);
    with(&|s| s.fleet.max_clock_offset = 0.0);
    with(&|s| s.settings.budget = None);
    with(&|s| s.settings.slow_start = None);
    for i in 0..script.query_types.len() {
        with(&|s| s.query_types[i].second_step_parts = 0);
        with(&|s| s.query_types[i].max_parts = s.query_types[i].min_parts);
        with(&|s| {
            s.query_types[i].min_parts = 1;
            s.query_types[i].max_parts = 1;
        });
    }
    for i in 0..script.faults.len() {
        with(&|s| s.faults[i].duration = (s.faults[i].duration / 2.0 * 100.0).round() / 100.0);
        with(&|s| s.faults[i].at = (s.faults[i].at / 2.0 * 100.0).round() / 100.0);
    }
    all
}

/// The smallest script found that breaks the rule which `script` breaks first; none if it breaks none.
/// `progress` is called with the numbers of scripts that were played, and of steps that were kept.
pub fn shrink(script: &Script, progress: impl Fn(usize, usize)) -> Option<Shrunk> {
    let mut breach = first_breach(script, None)?;
    let (mut small, mut tried, mut kept) = (script.clone(), 1, 0);
    'again: loop {
        for next in reductions(&small) {
            if tried >= MAX_TRIES {
                break 'again;
            }
            tried += 1;
            progress(tried, kept);
            if let Some(found) = first_breach(&next, Some(breach.rule)) {
                (small, breach, kept) = (next, found, kept + 1);
                continue 'again;
            }
        }
        break;
    }
    Some(Shrunk {
        script: small,
        breach,
        tried,
    })
}
