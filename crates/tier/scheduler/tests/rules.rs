//! Random histories against the rules that the driver of `common` checks: a call that is not idempotent is
//! never sent again or rejected once it may have run, each call ends exactly once, and the same inputs give
//! the same actions.

mod common;

use std::sync::Arc;

use common::{Driver, SERVICE, call, engine_service, replica, service};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use woadreach_scheduler::{
    Action, Call, CallKind, Outcome, PrefixPart, ReplicaSpec, ServerLoad, WeightedService,
};

/// One input of a history. Indices select among the calls and replicas of that moment.
#[derive(Clone, Debug)]
enum Input {
    Arrive {
        kind: u8,
        program: u8,
        max_replicas: u8,
        give_up_ms: u16,
    },
    Advance {
        ms: u8,
    },
    FirstEvent {
        index: u8,
        load: u8,
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
        match any(g) % 16 {
            0..=4 => Input::Arrive {
                kind: any(g),
                program: any(g),
                max_replicas: any(g),
                give_up_ms: u16::arbitrary(g),
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
            _ => Input::List {
                present: any(g),
                ready: any(g),
                generation: any(g),
            },
        }
    }
}

const REPLICAS: [&str; 5] = ["r0", "r1", "r2", "r3", "r4"];

fn kind(of: u8) -> CallKind {
    match of % 4 {
        0 => CallKind::Idempotent,
        1 => CallKind::NonIdempotent,
        2 => CallKind::Streaming { resumable: false },
        _ => CallKind::Streaming { resumable: true },
    }
}

fn outcome(of: u8) -> Outcome {
    match of % 12 {
        0..=2 => Outcome::Answered,
        3 => Outcome::ReplicaError,
        4..=5 => Outcome::NotExecuted { retry_after: None },
        6 => Outcome::NotExecuted {
            retry_after: Some(f64::from(of) / 100.0),
        },
        7 => Outcome::Misdirected,
        8 => Outcome::Unreachable,
        9 => Outcome::Broken {
            sent: of >= 128,
            events: u32::from(of % 3),
        },
        10 => Outcome::TimedOut,
        _ => Outcome::NeverSent,
    }
}

fn load(of: u8) -> Option<ServerLoad> {
    let load = ServerLoad {
        running: u32::from(of % 8),
        waiting: u32::from(of % 3),
        slots: 6,
    };
    (!of.is_multiple_of(4)).then_some(load)
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
    kind_of: u8,
    program: u8,
    max_replicas: u8,
    give_up_ms: u16,
) -> Call {
    let program = (!program.is_multiple_of(3)).then_some(u64::from(program % 8));
    Call {
        kind: kind(kind_of),
        route: Arc::from(format!("route-{}", kind_of % 4)),
        services: vec![
            WeightedService {
                service: Arc::from(SERVICE),
                weight: 3,
            },
            WeightedService {
                service: Arc::from("gone"),
                weight: u32::from(kind_of == 255),
            },
        ],
        deadline: now + f64::from(give_up_ms % 4_000) / 1e3,
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
            give_up_ms,
        } => {
            *next_id += 1;
            let call = random_call(
                driver.now,
                *next_id,
                kind,
                program,
                max_replicas,
                give_up_ms,
            );
            driver.submit(call);
        }
        Input::Advance { ms } => {
            driver.advance(f64::from(ms) / 1e3);
        }
        Input::FirstEvent { index, load: of } => {
            let out = driver.out();
            if !out.is_empty() {
                let (id, attempt) = out[usize::from(index) % out.len()];
                driver.response_started(id, attempt, load(of));
            }
        }
        Input::Outcome {
            index,
            outcome: of,
            load: load_of,
        } => {
            let out = driver.out();
            if !out.is_empty() {
                let (id, attempt) = out[usize::from(index) % out.len()];
                driver.attempt_ended_with_load(id, attempt, outcome(of), load(load_of));
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
        } => driver.list(&list(present, ready, generation)),
    }
}

/// Runs a history, and then times out every attempt in flight until all calls have ended.
fn play(seed: u64, engine: bool, inputs: &[Input]) -> Vec<Action> {
    let service = if engine { engine_service() } else { service() };
    let mut driver = Driver::new(seed, service, &list(31, 31, 0));
    let mut next_id = 0;
    inputs
        .iter()
        .for_each(|input| apply(&mut driver, &mut next_id, input));
    for _ in 0..100 {
        driver.advance(0.1);
        for (id, attempt) in driver.out() {
            if driver.now >= driver.seen[&woadreach_scheduler::CallId(id)].call.deadline {
                driver.attempt_ended(id, attempt, Outcome::TimedOut);
            }
        }
    }
    let remaining = driver
        .seen
        .values()
        .filter(|seen| seen.end.is_none())
        .count();
    assert_eq!(remaining, 0, "calls without an end");
    assert_eq!(
        driver.scheduler.next_wake(driver.now),
        None,
        "a timer of a call that has ended"
    );
    driver.trace
}

#[test]
fn random_histories_keep_the_rules() {
    fn holds(seed: u64, engine: bool, inputs: Vec<Input>) -> bool {
        play(seed, engine, &inputs);
        true
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(500)
        .quickcheck(holds as fn(u64, bool, Vec<Input>) -> bool);
}

#[test]
fn the_same_input_gives_the_same_actions() {
    fn holds(seed: u64, engine: bool, inputs: Vec<Input>) -> bool {
        play(seed, engine, &inputs) == play(seed, engine, &inputs)
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(100)
        .quickcheck(holds as fn(u64, bool, Vec<Input>) -> bool);
}
