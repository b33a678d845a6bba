//! Answers are honest: they hold only values that replicas computed, at least the floor of the weight, and
//! say correctly whether they are complete.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{PartName, ShardValue};
use crate::rules::WEIGHT_TOLERANCE;
use crate::state::{FirstStep, PartKey, Search};
use crate::terms::QueryTerms;
use crate::units::Seconds;
use std::sync::Arc;

/// What is wrong with the rows themselves.
fn row_faults(search: &Search, second_step: bool, rows: &[ShardValue]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut seen = Vec::new();
    for row in rows {
        let shard = row.shard;
        if seen.contains(&shard) {
            faults.push(format!("shard {shard} stands in it twice"));
        }
        seen.push(shard);
        let key = PartKey { shard, second_step };
        let mut values = search.values.get(&key).into_iter().flatten();
        if !values.any(|value| **value == *row.value) {
            faults.push(format!("no replica made the value of shard {shard} for it"));
        }
    }
    faults
}

/// What is wrong with the share of the weight that an answer of a single step has.
fn weight_faults(
    search: &Search,
    terms: &QueryTerms,
    complete: bool,
    rows: &[ShardValue],
) -> Vec<String> {
    let mut faults = Vec::new();
    let weight = search.weight(|shard| rows.iter().any(|row| row.shard == shard));
    if weight < terms.minimum_weight - WEIGHT_TOLERANCE {
        faults.push(format!(
            "{weight:.3} of the weight is in, {} is the least",
            terms.minimum_weight
        ));
    }
    if complete && weight < terms.complete_weight - WEIGHT_TOLERANCE {
        faults.push(format!("marked whole with {weight:.3} of the weight"));
    }
    faults
}

/// What is wrong with an answer of two steps.
fn second_step_faults(
    search: &Search,
    terms: &QueryTerms,
    complete: bool,
    rows: usize,
) -> Vec<String> {
    let Some(first) = &search.first_step else {
        return vec!["answered before its second step".into()];
    };
    let mut faults = Vec::new();
    let wanted = terms.second_step_parts.min(first.shards.len()).max(1);
    let share = rows as f64 / wanted as f64;
    if complete && (!first.complete || share < 1.0 - WEIGHT_TOLERANCE) {
        faults.push("marked whole, though its first or second step is not".into());
    }
    if share < terms.minimum_weight - WEIGHT_TOLERANCE {
        faults.push(format!(
            "{rows} of {wanted} parts of the second step are in"
        ));
    }
    faults
}

/// What is wrong with what a second step's part says of the first step.
fn first_step_faults(
    search: &Search,
    terms: &QueryTerms,
    part: &PartName,
    first: &FirstStep,
) -> Vec<String> {
    let mut faults = Vec::new();
    let complete = first.complete;
    let weight = search.weight(|shard| first.shards.contains(&shard));
    let has_answered = |shard: u64| {
        let second_step = false;
        search.values.contains_key(&PartKey { shard, second_step })
    };
    let missing: Vec<&u64> = first
        .shards
        .iter()
        .filter(|shard| !has_answered(**shard))
        .collect();
    if !missing.is_empty() {
        faults.push(format!(
            "its first step names shards {missing:?}, which have not answered"
        ));
    }
    if !first.shards.contains(&part.shard) {
        faults.push(format!(
            "fetches from shard {}, which is not in",
            part.shard
        ));
    }
    if weight < terms.minimum_weight - WEIGHT_TOLERANCE
        || (complete && weight < terms.complete_weight - WEIGHT_TOLERANCE)
    {
        faults.push(format!(
            "its first step ended with {weight:.3} of the weight, whole: {complete}"
        ));
    }
    faults
}

impl Checker {
    /// The client has read an answer with results.
    pub(crate) fn search_answered(
        &mut self,
        at: Seconds,
        name: &Arc<str>,
        complete: bool,
        rows: &[ShardValue],
    ) {
        if self.accept_final_answer(at, name) {
            self.check_answer(name, complete, rows);
        }
    }

    fn check_answer(&mut self, name: &Arc<str>, complete: bool, rows: &[ShardValue]) {
        let Some(search) = self.searches.get(name) else {
            return;
        };
        let Some(terms) = self.terms.query_types.get(search.query_type) else {
            return;
        };
        let two_steps = terms.second_step_parts > 0;
        let mut faults = row_faults(search, two_steps, rows);
        faults.extend(if two_steps {
            second_step_faults(search, terms, complete, rows.len())
        } else {
            weight_faults(search, terms, complete, rows)
        });
        if !faults.is_empty() {
            self.report(Rule::HonestAnswers, name, faults.join("; "));
        }
    }

    /// Judges what a second step's part says of the first step, and remembers it.
    pub(crate) fn check_second_step(
        &mut self,
        part: &PartName,
        shards: &[u64],
        first_step_complete: Option<bool>,
    ) {
        if !part.second_step {
            return;
        }
        let Some(search) = self.searches.get_mut(&part.search) else {
            return;
        };
        let Some(terms) = self.terms.query_types.get(search.query_type) else {
            return;
        };
        let first = FirstStep {
            shards: shards.to_vec(),
            complete: first_step_complete == Some(true),
        };
        let faults = first_step_faults(search, terms, part, &first);
        search.first_step = Some(first);
        if !faults.is_empty() {
            self.report(Rule::HonestAnswers, &part.search, faults.join("; "));
        }
    }
}
