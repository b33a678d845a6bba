//! How much of a program's time left a step may use, learned from what programs of its kind have done.
//!
//! A program tells only when it should be over. Of the time that it starts with, the work of programs of
//! one kind (those whose first call came by the same route) takes a typical share; what that leaves after
//! the work already done is the work still expected. A step may use the same share of the time left that it
//! has of that work, so that the spare time is spread over all steps in proportion, and a program that has
//! lost time hurries (docs/design.md, "Agent programs").

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::call::{Call, CallId};

/// A program without a call in hand for so long (seconds) is over.
const IDLE_TIMEOUT: f64 = 3.0;
/// Weight of the latest program in the learned share.
const LEARNING_RATE: f64 = 0.1;
/// Share of its time that the work of a program takes, before any of its kind has ended.
const INITIAL_WORK_SHARE: f64 = 0.5;
/// The least share of the time left that is taken for work still expected: a program that has done more
/// than is typical of its kind may still go on.
const MIN_REMAINING_WORK_SHARE: f64 = 0.25;
/// Programs looked at for their end with each arrival, so that an arrival costs the same with many programs.
const MAX_PROGRAMS_CHECKED: usize = 2;

/// A program with calls here.
#[derive(Debug)]
struct Program {
    kind: Arc<str>,
    started: f64,
    /// From its start to when it should be over; absent if no call told.
    time: Option<f64>,
    last_end: f64,
    answers: u32,
    /// Calls in hand: those of its present step.
    in_flight: BTreeSet<CallId>,
    step_started: f64,
    /// What the longest call of the present step takes on an idle replica.
    step_unloaded: f64,
    /// Time that steps have taken beyond that.
    lost: f64,
}

/// All programs that have calls here, and what programs of each kind have done.
#[derive(Debug, Default)]
pub(crate) struct Programs {
    programs: BTreeMap<u64, Program>,
    work_share: BTreeMap<Arc<str>, f64>,
    /// The program that was looked at last for its end.
    cursor: u64,
}

impl Programs {
    /// A call of a program has come.
    pub fn arrived(&mut self, now: f64, call: &Call) {
        self.forget_ended(now);
        let Some(id) = call.program else { return };
        let program = self.programs.entry(id).or_insert_with(|| Program {
            kind: call.route.clone(),
            started: now,
            time: None,
            last_end: now,
            answers: 0,
            in_flight: BTreeSet::new(),
            step_started: now,
            step_unloaded: 0.0,
            lost: 0.0,
        });
        program.time = program
            .time
            .or(call.finish_at.map(|at| at - program.started));
        if program.in_flight.is_empty() {
            program.step_started = call.arrived;
            program.step_unloaded = 0.0;
        }
        program.in_flight.insert(call.id);
    }

    /// A call of a program has ended, which takes `unloaded` seconds on an idle replica.
    pub fn ended(&mut self, now: f64, call: &Call, answered: bool, unloaded: f64) {
        let Some(program) = call.program.and_then(|id| self.programs.get_mut(&id)) else {
            return;
        };
        program.in_flight.remove(&call.id);
        program.last_end = now;
        program.answers += u32::from(answered);
        program.step_unloaded = program.step_unloaded.max(unloaded);
        if program.in_flight.is_empty() {
            program.lost += (now - program.step_started - program.step_unloaded).max(0.0);
        }
    }

    /// The calls of the same program in hand, this one among them.
    pub fn step_calls(&self, call: &Call) -> Vec<CallId> {
        match call.program.and_then(|id| self.programs.get(&id)) {
            Some(program) if !program.in_flight.is_empty() => {
                program.in_flight.iter().copied().collect()
            }
            _ => vec![call.id],
        }
    }

    /// How many calls of the program run side by side, this one among them.
    pub fn step_size(&self, call: &Call) -> usize {
        call.program
            .and_then(|id| self.programs.get(&id))
            .map_or(1, |program| program.in_flight.len().max(1))
    }

    /// When the present step of the call's program began.
    pub fn step_started(&self, call: &Call) -> f64 {
        let program = call.program.and_then(|id| self.programs.get(&id));
        program
            .filter(|program| !program.in_flight.is_empty())
            .map_or(call.arrived, |p| p.step_started)
    }

    /// Whether a call of the program has been answered here.
    pub fn is_in_progress(&self, call: &Call) -> bool {
        call.program
            .and_then(|id| self.programs.get(&id))
            .is_some_and(|program| program.answers > 0)
    }

    /// The time (seconds) within which the present step should be answered, if it takes `unloaded` on an idle
    /// replica. Without a program's end in time it is the route's latency target.
    pub fn latency_target(&self, call: &Call, unloaded: f64) -> f64 {
        let known = call.program.and_then(|id| self.programs.get(&id));
        let Some((program, finish_at)) = known.zip(call.finish_at) else {
            return call.target_latency;
        };
        let started = self.step_started(call);
        let left = finish_at - started;
        let expected = self.expected_work(program, started).max(unloaded);
        (left * unloaded / expected).max(0.0)
    }

    /// The time (seconds) that a program can lose and still end in time; negative once it is late.
    pub fn slack(&self, now: f64, call: &Call) -> Option<f64> {
        let program = self.programs.get(&call.program?)?;
        Some(call.finish_at? - now - self.expected_work(program, now))
    }

    fn expected_work(&self, program: &Program, now: f64) -> f64 {
        let share = self
            .work_share
            .get(&program.kind)
            .copied()
            .unwrap_or(INITIAL_WORK_SHARE);
        let Some(time) = program.time else { return 0.0 };
        let elapsed = now - program.started;
        let done = (elapsed - program.lost).max(0.0);
        (time * share - done)
            .max((time - elapsed) * MIN_REMAINING_WORK_SHARE)
            .max(0.0)
    }

    fn forget_ended(&mut self, now: f64) {
        for _ in 0..MAX_PROGRAMS_CHECKED {
            let next = self.programs.range(self.cursor.wrapping_add(1)..).next();
            let Some((id, program)) = next.or(self.programs.iter().next()) else {
                return;
            };
            self.cursor = *id;
            if program.in_flight.is_empty() && now > program.last_end + IDLE_TIMEOUT {
                let over = self.programs.remove(&self.cursor);
                over.iter().for_each(|program| self.learn(program));
            }
        }
    }

    /// Only programs that got beyond their first call tell how long their kind takes.
    fn learn(&mut self, program: &Program) {
        let Some(time) = program
            .time
            .filter(|time| *time > 0.0 && program.answers > 1)
        else {
            return;
        };
        let worked = (program.last_end - program.started - program.lost) / time;
        let share = self
            .work_share
            .entry(program.kind.clone())
            .or_insert(INITIAL_WORK_SHARE);
        *share += LEARNING_RATE * (worked.clamp(0.0, 1.0) - *share);
    }
}

#[cfg(test)]
#[path = "../tests/unit/programs.rs"]
mod tests;
