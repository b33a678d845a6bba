//! An answer contains only values that replicas computed, and is marked complete only if it is.

use crate::support::{COMPLETE, NODE, answered, broken_rules, part, requested};
use rstest::rstest;
use woadreach_invariants::{EventKind, Rule};

/// A part of the second step that states this result of the first step.
fn second_step_part(shard: u64, first_step_shards: &[u64], complete: bool) -> EventKind {
    EventKind::PartReceived {
        node: NODE,
        replica: "a".into(),
        part: part(shard, true),
        first_byte_at: 0.3,
        last_byte_at: 0.3,
        work: 0.1,
        first_step_shards: first_step_shards.to_vec(),
        first_step_complete: Some(complete),
    }
}

fn completed(shard: u64, second_step: bool) -> EventKind {
    EventKind::PartCompleted {
        node: NODE,
        replica: "a".into(),
        part: part(shard, second_step),
        value: format!("v{shard}{second_step}").into(),
    }
}

#[rstest]
#[case::complete(0, vec![completed(0, false), completed(1, false), answered(true, &COMPLETE)], &[])]
#[case::partial(0, vec![completed(0, false), answered(false, &COMPLETE[..1])], &[])]
#[case::partial_marked_complete(0, vec![completed(0, false), answered(true, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::below_minimum_weight(1, vec![completed(0, false), answered(false, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::value_not_computed(0, vec![completed(0, false), answered(true, &COMPLETE)], &[Rule::HonestAnswers])]
#[case::duplicate_shard(
    0,
    vec![completed(0, false), answered(false, &[COMPLETE[0], COMPLETE[0]])],
    &[Rule::HonestAnswers]
)]
#[case::answered_before_second_step(
    3,
    vec![completed(0, false), answered(false, &COMPLETE[..1])],
    &[Rule::HonestAnswers]
)]
#[case::second_step(
    3,
    vec![
        completed(0, false),
        completed(1, false),
        second_step_part(0, &[0, 1], true),
        completed(0, true),
        answered(true, &[(0, "v0true")]),
    ],
    &[]
)]
#[case::complete_with_partial_first_step(
    3,
    vec![completed(0, false), second_step_part(0, &[0], false), completed(0, true), answered(true, &[(0, "v0true")])],
    &[Rule::HonestAnswers]
)]
#[case::first_step_names_unanswered_shard(
    3,
    vec![completed(0, false), second_step_part(0, &[0, 1], true)],
    &[Rule::HonestAnswers]
)]
#[case::second_step_queries_unanswered_shard(
    3,
    vec![completed(0, false), second_step_part(1, &[0], false)],
    &[Rule::HonestAnswers]
)]
fn honest_answers(
    #[case] query_type: usize,
    #[case] events: Vec<EventKind>,
    #[case] expected: &[Rule],
) {
    let events = events.into_iter().map(|kind| (0.5, kind));
    assert_eq!(
        broken_rules(
            [(0.0, requested(query_type))]
                .into_iter()
                .chain(events)
                .collect(),
            0.9
        ),
        expected
    );
}
