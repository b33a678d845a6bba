//! Random sequences of inputs, checked against the rules in the driver of `common`: a call that is not idempotent is
//! never sent again or rejected once it may have run, each call ends exactly once, and the response of an aborted
//! attempt is discarded whenever it starts. The same inputs must give the same actions.

mod common;

use std::sync::Arc;

use common::{Driver, SERVICE, call, engine_service, replica, service};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use woadreach_scheduler::{
    Action, Call, CallKind, Outcome, PrefixPart, ReplicaSpec, ServerLoad, WeightedService,
};

/// One input of a sequence. An index selects, modulo their number, among the attempts in flight or the calls so far.
#[derive(Clone, Debug)]
enum Input {
    Arrive {
        kind: u8,
        program: u8,
        max_replicas: u8,
        timeout_ms: u16,
    },
    Advance {
        ms: u8,
    },
    FirstEvent {
        index: u8,
        load: u8,
    },
    /// The response of an aborted attempt starts before the driver executes the abort.
    FirstEventOfAborted {
        index: u8,
    },
    Outcome {
        index: u8,
        outcome: u8,
        load: u8,
    },
    Cancel {
        index: u8,
    },
    List {
        present: u8,
        ready: u8,
        generation: u8,
    },
}

impl Arbitrary for Input {
    fn arbitrary(g: &mut Gen) -> Self {
        let any = |g: &mut Gen| u8::arbitrary(g);
        match any(g) % 17 {
            0..=4 => Input::Arrive {
                kind: any(g),
                program: any(g),
                max_replicas: any(g),
                timeout_ms: u16::arbitrary(g),
            },
            5..=7 => Input::Advance { ms: any(g) },
            8..=9 => Input::FirstEvent {
                index: any(g),
                load: any(g),
            },
            10..=13 => Input::Outcome {
                index: any(g),
                outcome: any(g),
                load: any(g),
            },
            14 => Input::Cancel { index: any(g) },
            15 => Input::FirstEventOfAborted { index: any(g) },
            _ => Input::List {
                present: any(g),
                ready: any(g),
                generation: any(g),
            },
        }
    }
}

const REPLICAS: [&str; 5] = ["r0", "r1", "r2", "r3", "r4"];

fn kind(byte: u8) -> CallKind {
    match byte % 4 {
        0 => CallKind::Idempotent,
        1 => CallKind::NonIdempotent,
        2 => CallKind::Streaming { resumable: false },
        _ => CallKind::Streaming { resumable: true },
    }
}

fn outcome(byte: u8) -> Outcome {
    match byte % 12 {
        0..=2 => Outcome::Answered,
        3 => Outcome::ReplicaError,
        4..=5 => Outcome::NotExecuted { retry_after: None },
        6 => Outcome::NotExecuted {
            retry_after: Some(f64::from(byte) / 100.0),
        },
        7 => Outcome::Misdirected,
        8 => Outcome::Unreachable,
        9 => Outcome::Broken {
            sent: byte >= 128,
            events: u32::from(byte % 3),
        },
        10 => Outcome::TimedOut,
        _ => Outcome::NeverSent,
    }
}

fn load(byte: u8) -> Option<ServerLoad> {
    let load = ServerLoad {
        running: u32::from(byte % 8),
        waiting: u32::from(byte % 3),
        slots: 6,
    };
    (!byte.is_multiple_of(4)).then_some(load)
}

fn list(present: u8, ready: u8, generation: u8) -> Vec<ReplicaSpec> {
    let listed = |(n, id): (usize, &&str)| {
        let generation = Arc::from(format!("v{}", generation % 2));
        let spec = ReplicaSpec {
            ready: ready & (1 << n) != 0,
            generation,
            ..replica(id)
        };
        (present & (1 << n) != 0).then_some(spec)
    };
    REPLICAS.iter().enumerate().filter_map(listed).collect()
}

fn random_call(
    now: f64,
    id: u64,
    kind_byte: u8,
    program: u8,
    max_replicas: u8,
    timeout_ms: u16,
) -> Call {
    let program = (!program.is_multiple_of(3)).then_some(u64::from(program % 8));
    Call {
        kind: kind(kind_byte),
        route: Arc::from(format!("route-{}", kind_byte % 4)),
        services: vec![
            WeightedService {
                service: Arc::from(SERVICE),
                weight: 3,
            },
            WeightedService {
                service: Arc::from("gone"),
                weight: u32::from(kind_byte == 255),
            },
        ],
        deadline: now + f64::from(timeout_ms % 4_000) / 1e3,
        program_deadline: program.map(|program| now + program as f64),
        program,
        session: program,
        prefix: vec![
            PrefixPart {
                id: 7,
                tokens: 1_000,
            },
            PrefixPart {
                id: id % 5,
                tokens: 300,
            },
        ],
        prompt_tokens: 1_300,
        max_replicas: u32::from(max_replicas % 4),
        ..call(now, id)
    }
}

fn apply(driver: &mut Driver, next_id: &mut u64, input: &Input) {
    match *input {
        Input::Arrive {
            kind,
            program,
            max_replicas,
            timeout_ms,
        } => {
            *next_id += 1;
            let call = random_call(
                driver.now,
                *next_id,
                kind,
                program,
                max_replicas,
                timeout_ms,
            );
            driver.submit(call);
        }
        Input::Advance { ms } => {
            driver.advance(f64::from(ms) / 1e3);
        }
        Input::FirstEvent {
            index,
            load: load_byte,
        } => {
            let in_flight = driver.attempts_in_flight();
            if !in_flight.is_empty() {
                let (id, attempt) = in_flight[usize::from(index) % in_flight.len()];
                driver.response_started(id, attempt, load(load_byte));
            }
        }
        Input::FirstEventOfAborted { index } => {
            let aborted = driver.aborted_attempts();
            if !aborted.is_empty() {
                let (id, attempt) = aborted[usize::from(index) % aborted.len()];
                driver.response_started(id, attempt, None);
            }
        }
        Input::Outcome {
            index,
            outcome: outcome_byte,
            load: load_byte,
        } => {
            let in_flight = driver.attempts_in_flight();
            if !in_flight.is_empty() {
                let (id, attempt) = in_flight[usize::from(index) % in_flight.len()];
                driver.attempt_ended_with_load(id, attempt, outcome(outcome_byte), load(load_byte));
            }
        }
        Input::Cancel { index } => {
            if *next_id > 0 {
                driver.call_ended(1 + u64::from(index) % *next_id);
            }
        }
        Input::List {
            present,
            ready,
            generation,
        } => driver.update_replicas(&list(present, ready, generation)),
    }
}

/// Applies the inputs, and then lets every attempt time out at the deadline of its call. All calls must have ended
/// after that. Returns the trace of all actions.
fn run_trace(seed: u64, engine: bool, inputs: &[Input]) -> Vec<Action> {
    let service = if engine { engine_service() } else { service() };
    let mut driver = Driver::new(seed, service, &list(31, 31, 0));
    let mut next_id = 0;
    inputs
        .iter()
        .for_each(|input| apply(&mut driver, &mut next_id, input));
    for _ in 0..100 {
        driver.advance(0.1);
        for (id, attempt) in driver.attempts_in_flight() {
            if driver.now >= driver.calls[&woadreach_scheduler::CallId(id)].call.deadline {
                driver.attempt_ended(id, attempt, Outcome::TimedOut);
            }
        }
    }
    let remaining = driver
        .calls
        .values()
        .filter(|seen| seen.end.is_none())
        .count();
    assert_eq!(remaining, 0, "unfinished calls");
    assert_eq!(
        driver.scheduler.next_wake(driver.now),
        None,
        "a timer is set after all calls have ended"
    );
    driver.trace
}

#[test]
fn rules_hold_for_random_inputs() {
    fn rules_hold(seed: u64, engine: bool, inputs: Vec<Input>) -> bool {
        run_trace(seed, engine, &inputs);
        true
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(500)
        .quickcheck(rules_hold as fn(u64, bool, Vec<Input>) -> bool);
}

#[test]
fn the_same_inputs_give_the_same_actions() {
    fn actions_are_equal(seed: u64, engine: bool, inputs: Vec<Input>) -> bool {
        run_trace(seed, engine, &inputs) == run_trace(seed, engine, &inputs)
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(100)
        .quickcheck(actions_are_equal as fn(u64, bool, Vec<Input>) -> bool);
}
