//! Checks [`Rule::HonestAnswers`]: an answer contains only values that replicas computed, has at least the minimum
//! weight, and is marked complete only if it is.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{PartName, ShardValue};
use crate::rules::WEIGHT_TOLERANCE;
use crate::state::{FirstStep, PartKey, Search};
use crate::terms::QueryTerms;
use crate::units::Seconds;
use std::sync::Arc;

/// Returns faults of individual rows: duplicates, and values that no replica computed.
fn row_faults(search: &Search, second_step: bool, rows: &[ShardValue]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut seen = Vec::new();
    for row in rows {
        let shard = row.shard;
        if seen.contains(&shard) {
            faults.push(format!("answer contains shard {shard} twice"));
        }
        seen.push(shard);
        let key = PartKey { shard, second_step };
        let mut values = search.values.get(&key).into_iter().flatten();
        if !values.any(|value| **value == *row.value) {
            faults.push(format!("no replica computed the value of shard {shard}"));
        }
    }
    faults
}

/// Returns faults of the weight of an answer to a search of a single step.
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
            "answer has a weight of {weight:.3}, expected at least {}",
            terms.minimum_weight
        ));
    }
    if complete && weight < terms.complete_weight - WEIGHT_TOLERANCE {
        faults.push(format!(
            "answer is marked complete with a weight of {weight:.3}, expected at least {}",
            terms.complete_weight
        ));
    }
    faults
}

/// Returns faults of the completeness of an answer to a search of two steps.
fn second_step_faults(
    search: &Search,
    terms: &QueryTerms,
    complete: bool,
    rows: usize,
) -> Vec<String> {
    let Some(first) = &search.first_step else {
        return vec!["answered before any part of its second step was received".into()];
    };
    let mut faults = Vec::new();
    let wanted = terms.second_step_parts.min(first.shards.len()).max(1);
    let share = rows as f64 / wanted as f64;
    if complete && (!first.complete || share < 1.0 - WEIGHT_TOLERANCE) {
        faults.push("answer is marked complete, but its first or second step is incomplete".into());
    }
    if share < terms.minimum_weight - WEIGHT_TOLERANCE {
        faults.push(format!(
            "answer has {rows} of {wanted} parts of the second step, expected at least a share of {}",
            terms.minimum_weight
        ));
    }
    faults
}

/// Returns faults of the first step's result as stated in a part of the second step.
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
            "first step names shards {missing:?}, for which no replica has computed a value"
        ));
    }
    if !first.shards.contains(&part.shard) {
        faults.push(format!(
            "second step queries shard {}, which is not in the first step's result",
            part.shard
        ));
    }
    if weight < terms.minimum_weight - WEIGHT_TOLERANCE
        || (complete && weight < terms.complete_weight - WEIGHT_TOLERANCE)
    {
        faults.push(format!(
            "first step ended with a weight of {weight:.3}, marked complete: {complete}; \
             expected at least {} (complete: {})",
            terms.minimum_weight, terms.complete_weight
        ));
    }
    faults
}

impl Checker {
    /// Handles [`EventKind::Answered`](crate::EventKind::Answered).
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

    /// Checks the first step's result as stated in a part of the second step, and records it.
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
