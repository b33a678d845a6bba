//! Latency targets of the steps of programs, derived from earlier programs of the same kind.
//!
//! A *step* is the set of concurrent calls of a program. Programs are of one kind if their first calls matched the same
//! route. The client reports only when a program should end. *Work* is the time that a program needs without load; it
//! is assumed to be the same share of the initially available time for all programs of a kind, and this share is
//! learned. The remaining work is the expected work less the work already done. A step may use the same share of the
//! remaining time as it has of the remaining work. The slack is thus distributed over all steps in proportion, and a
//! delayed program gets shorter targets (docs/design.md, "Agent programs").

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::call::{Call, CallId};
use crate::mechanisms::{Mechanism, is_on};

/// Seconds without an unfinished call after which a program is considered ended.
const IDLE_TIMEOUT: f64 = 3.0;
/// Weight of the latest ended program in the moving average of the share of work.
const LEARNING_RATE: f64 = 0.1;
/// Assumed share of work in the available time of a program before any program of its kind has ended.
const INITIAL_WORK_SHARE: f64 = 0.5;
/// Lower bound of the remaining work, as a share of the remaining time. A program that has already done more work than
/// is typical of its kind may still continue.
const MIN_REMAINING_WORK_SHARE: f64 = 0.25;
/// Number of programs checked for their end at each arrival; bounds the cost of an arrival.
const MAX_PROGRAMS_CHECKED: usize = 2;

/// A program whose calls this process has received. Times are seconds.
#[derive(Debug)]
struct Program {
    /// Kind of the program: name of the route of its first call.
    kind: Arc<str>,
    started: f64,
    /// Time from the start of the program to its deadline; `None` until a call has reported the deadline.
    available_time: Option<f64>,
    last_end: f64,
    /// Number of answered calls.
    answers: u32,
    /// Unfinished calls, which form the current step.
    in_flight: BTreeSet<CallId>,
    step_started: f64,
    /// Largest unloaded latency among the finished calls of the current step.
    step_unloaded: f64,
    /// Total duration of the finished steps beyond their unloaded latencies.
    delay: f64,
}

/// All programs whose calls this process has received, and the learned share of work by kind.
#[derive(Debug, Default)]
pub(crate) struct Programs {
    programs: BTreeMap<u64, Program>,
    work_share: BTreeMap<Arc<str>, f64>,
    /// Identifier of the program that was last checked for its end.
    cursor: u64,
}

impl Programs {
    /// Records the arrival of a call. Removes some of the ended programs.
    pub(crate) fn record_arrival(&mut self, now: f64, call: &Call) {
        self.expire_idle(now);
        let Some(id) = call.program else { return };
        let program = self.programs.entry(id).or_insert_with(|| Program {
            kind: call.route.clone(),
            started: now,
            available_time: None,
            last_end: now,
            answers: 0,
            in_flight: BTreeSet::new(),
            step_started: now,
            step_unloaded: 0.0,
            delay: 0.0,
        });
        program.available_time = program
            .available_time
            .or(call.program_deadline.map(|at| at - program.started));
        if program.in_flight.is_empty() {
            program.step_started = call.arrived_at;
            program.step_unloaded = 0.0;
        }
        program.in_flight.insert(call.id);
    }

    /// Records the end of a call. `unloaded` is the median unloaded latency of its route in seconds.
    pub(crate) fn record_end(&mut self, now: f64, call: &Call, answered: bool, unloaded: f64) {
        let Some(program) = call.program.and_then(|id| self.programs.get_mut(&id)) else {
            return;
        };
        program.in_flight.remove(&call.id);
        program.last_end = now;
        program.answers += u32::from(answered);
        program.step_unloaded = program.step_unloaded.max(unloaded);
        if program.in_flight.is_empty() {
            program.delay += (now - program.step_started - program.step_unloaded).max(0.0);
        }
    }

    /// Calls of the current step of the call's program, including the call itself.
    pub(crate) fn step_calls(&self, call: &Call) -> Vec<CallId> {
        match call.program.and_then(|id| self.programs.get(&id)) {
            Some(program) if !program.in_flight.is_empty() => {
                program.in_flight.iter().copied().collect()
            }
            _ => vec![call.id],
        }
    }

    /// Number of calls in the current step of the call's program, including the call itself.
    pub(crate) fn step_size(&self, call: &Call) -> usize {
        call.program
            .and_then(|id| self.programs.get(&id))
            .map_or(1, |program| program.in_flight.len().max(1))
    }

    /// Start of the current step of the call's program; arrival of the call if it belongs to no program.
    pub(crate) fn step_started(&self, call: &Call) -> f64 {
        let program = call.program.and_then(|id| self.programs.get(&id));
        program
            .filter(|program| !program.in_flight.is_empty())
            .map_or(call.arrived_at, |p| p.step_started)
    }

    /// Whether a call of the program has been answered at this process.
    pub(crate) fn is_in_progress(&self, call: &Call) -> bool {
        call.program
            .and_then(|id| self.programs.get(&id))
            .is_some_and(|program| program.answers > 0)
    }

    /// Latency target in seconds of the current step, whose unloaded latency is `unloaded` seconds. The route's target
    /// if the deadline of the program is unknown.
    pub(crate) fn latency_target(&self, call: &Call, unloaded: f64) -> f64 {
        if !is_on(Mechanism::ProgramPace) {
            return call.target_latency;
        }
        let known = call.program.and_then(|id| self.programs.get(&id));
        let Some((program, program_deadline)) = known.zip(call.program_deadline) else {
            return call.target_latency;
        };
        let started = self.step_started(call);
        let remaining = program_deadline - started;
        let expected = self.expected_work(program, started).max(unloaded);
        (remaining * unloaded / expected).max(0.0)
    }

    /// Seconds by which a program may be delayed and still end in time; negative once it cannot. `None` without a
    /// program or its deadline.
    pub(crate) fn slack(&self, now: f64, call: &Call) -> Option<f64> {
        let program = self.programs.get(&call.program?)?;
        Some(call.program_deadline? - now - self.expected_work(program, now))
    }

    /// Expected remaining work of a program, in seconds.
    fn expected_work(&self, program: &Program, now: f64) -> f64 {
        let share = self
            .work_share
            .get(&program.kind)
            .copied()
            .unwrap_or(INITIAL_WORK_SHARE);
        let Some(time) = program.available_time else {
            return 0.0;
        };
        let elapsed = now - program.started;
        let done = (elapsed - program.delay).max(0.0);
        (time * share - done)
            .max((time - elapsed) * MIN_REMAINING_WORK_SHARE)
            .max(0.0)
    }

    /// Removes the ended ones of the next [`MAX_PROGRAMS_CHECKED`] programs.
    fn expire_idle(&mut self, now: f64) {
        for _ in 0..MAX_PROGRAMS_CHECKED {
            let next = self.programs.range(self.cursor.wrapping_add(1)..).next();
            let Some((id, program)) = next.or(self.programs.iter().next()) else {
                return;
            };
            self.cursor = *id;
            if program.in_flight.is_empty() && now > program.last_end + IDLE_TIMEOUT {
                let ended = self.programs.remove(&self.cursor);
                ended.iter().for_each(|program| self.learn(program));
            }
        }
    }

    /// Updates the share of work for the program's kind. Programs with fewer than two answered calls are ignored, as
    /// their clients may have abandoned them.
    fn learn(&mut self, program: &Program) {
        let Some(time) = program
            .available_time
            .filter(|time| *time > 0.0 && program.answers > 1)
        else {
            return;
        };
        let worked = (program.last_end - program.started - program.delay) / time;
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
