//! Latency targets and membership of steps, slack, and the learned share of work.

#[path = "../common/base_call.rs"]
mod base_call;

use base_call::base_call;

use super::*;
use crate::call::CallKind;

const UNLOADED: f64 = 0.1;

fn call(now: f64, id: u64, program: u64, program_deadline: f64) -> Call {
    Call {
        route: Arc::from("turns"),
        kind: CallKind::NonIdempotent,
        program_deadline: Some(program_deadline),
        program: Some(program),
        ..base_call(now, id)
    }
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

#[test]
fn a_call_without_a_program_has_the_target_of_its_route() {
    let programs = Programs::default();
    let without_program = Call {
        program: None,
        program_deadline: None,
        ..call(0.0, 1, 1, 0.0)
    };
    assert!(is_close(
        programs.latency_target(&without_program, UNLOADED),
        0.25
    ));
}

#[test]
fn slack_is_distributed_in_proportion_to_work() {
    let mut programs = Programs::default();
    let first = call(0.0, 1, 1, 4.0);
    programs.record_arrival(0.0, &first);
    assert!(
        is_close(programs.latency_target(&first, UNLOADED), 0.2),
        "half of the time is work, so the target is twice the unloaded latency"
    );
    assert!(is_close(programs.slack(0.0, &first).unwrap(), 2.0));
}

#[test]
fn a_delayed_program_has_a_shorter_target() {
    let mut programs = Programs::default();
    let latency_target_after = |programs: &mut Programs, program: u64, answered_at: f64| {
        let first = call(0.0, program, program, 4.0);
        programs.record_arrival(0.0, &first);
        programs.record_end(answered_at, &first, true, UNLOADED);
        let second = call(1.0, 10 + program, program, 4.0);
        programs.record_arrival(1.0, &second);
        programs.latency_target(&second, UNLOADED)
    };
    let on_time = latency_target_after(&mut programs, 1, UNLOADED);
    let delayed = latency_target_after(&mut programs, 2, 0.6);
    assert!(delayed < on_time, "{delayed} < {on_time}");
}

#[test]
fn a_program_past_its_deadline_has_a_target_of_zero() {
    let mut programs = Programs::default();
    let late = call(5.0, 1, 1, 4.0);
    programs.record_arrival(5.0, &late);
    assert!(is_close(programs.latency_target(&late, UNLOADED), 0.0));
}

#[test]
fn the_share_of_work_is_learned_from_ended_programs() {
    let mut programs = Programs::default();
    let mut id = 0;
    for program in 0..200 {
        let start = program as f64 * 10.0;
        for (at, taken) in [(0.0, UNLOADED), (0.9, UNLOADED)] {
            id += 1;
            let step = call(start + at, id, program, start + 4.0);
            programs.record_arrival(start + at, &step);
            programs.record_end(start + at + taken, &step, true, UNLOADED);
        }
    }
    let first = call(5_000.0, 10_000, 10_000, 5_004.0);
    programs.record_arrival(5_000.0, &first);
    let target = programs.latency_target(&first, UNLOADED);
    assert!(
        (0.38..0.42).contains(&target),
        "a quarter of the time is work: {target}"
    );
}

#[test]
fn concurrent_calls_form_one_step() {
    let mut programs = Programs::default();
    let calls: Vec<Call> = (1..=3)
        .map(|id| call(0.1 * id as f64, id, 1, 4.0))
        .collect();
    calls
        .iter()
        .for_each(|call| programs.record_arrival(call.arrived_at, call));
    assert_eq!(programs.step_size(&calls[2]), 3);
    assert!(is_close(programs.step_started(&calls[2]), 0.1));
    calls
        .iter()
        .for_each(|call| programs.record_end(1.0, call, true, UNLOADED));
    let next = call(2.0, 4, 1, 4.0);
    programs.record_arrival(2.0, &next);
    assert_eq!(programs.step_size(&next), 1);
    assert!(is_close(programs.step_started(&next), 2.0));
}
