//! Operators who change and read the configuration, repeat what got no answer, and race.

use std::time::Duration;

use woadreach_chain::{Blob, Command, PutConfiguration, Rejection, Reply, Request};

use super::history::{Attempt, Outcome};
use super::world::{Event, World};

/// Interval of the operators' clock.
const STEP: Duration = Duration::from_millis(40);
/// Patience of the operators unless a test sets another.
const PATIENCE: Duration = Duration::from_millis(300);
/// An operator gives an order up after this time.
const GIVE_UP: Duration = Duration::from_secs(4);

/// A call: an operator's order, and which try of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    pub operator: usize,
    pub order: u64,
    pub attempt: u64,
}

/// An order under way.
#[derive(Clone, Debug)]
struct Pending {
    id: CallId,
    request: Request,
    attempt: Attempt,
    started: Duration,
    asked: Duration,
}

/// One operator.
#[derive(Clone, Debug, Default)]
struct Operator {
    pending: Option<Pending>,
    /// Last generation that it was told of.
    known: u64,
    next_order: u64,
    wants_read: bool,
    /// The last order that was taken, to be sent once more.
    repeat: Option<PutConfiguration>,
}

/// All operators.
#[derive(Clone, Debug)]
pub struct Operators {
    operators: Vec<Operator>,
    pub is_stopped: bool,
    /// An operator asks another machine after so long without an answer.
    pub patience: Duration,
    next_generation: u64,
    next_digest: u64,
}

impl Operators {
    pub fn new(count: usize) -> Operators {
        let operators = vec![Operator::default(); count];
        Operators { operators, is_stopped: false, patience: PATIENCE, next_generation: 0, next_digest: 0 }
    }
}

/// Lets every operator act.
pub fn operate(world: &mut World) {
    for index in 0..world.operators.operators.len() {
        let now = world.now;
        match world.operators.operators[index].pending.clone() {
            None => {
                if !world.operators.is_stopped && world.chance(0.3) {
                    begin(world, index);
                }
            }
            Some(pending) if now - pending.started > GIVE_UP => {
                world.operators.operators[index].pending = None;
                world.operators.operators[index].wants_read = true;
            }
            Some(pending) if now - pending.asked > world.operators.patience => ask(world, index),
            Some(_) => {}
        }
    }
    world.schedule(STEP, Event::Operate);
}

fn begin(world: &mut World, index: usize) {
    let repeat = world.chance(0.15);
    let read = world.chance(0.25);
    let step = 1 + world.random.rand_range(0..3);
    let same_number = world.chance(0.2);
    let operators = &mut world.operators;
    let operator = &mut operators.operators[index];
    let request = if let Some(put) = operator.repeat.clone().filter(|_| repeat) {
        Request::Submit(Command::PutConfiguration(put))
    } else if operator.wants_read || read {
        operator.wants_read = false;
        Request::ReadConfiguration
    } else {
        let generation =
            if same_number { operators.next_generation.max(1) } else { operators.next_generation + step };
        operators.next_generation = operators.next_generation.max(generation);
        operators.next_digest += 1;
        Request::Submit(Command::PutConfiguration(new_put(operator.known, generation, operators.next_digest)))
    };
    let order = operator.next_order;
    operator.next_order += 1;
    let id = CallId { operator: index, order, attempt: 0 };
    let attempt = world.history.invoked(world.now, id, &request);
    let now = world.now;
    world.operators.operators[index].pending =
        Some(Pending { id, request, attempt, started: now, asked: now });
    ask(world, index);
}

fn new_put(base: u64, generation: u64, number: u64) -> PutConfiguration {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    let body = Blob::from(number.to_le_bytes().to_vec());
    PutConfiguration { base, generation, digest, body }
}

/// Sends the pending order to a machine drawn at random.
fn ask(world: &mut World, index: usize) {
    let node = world.pick(world.nodes.len());
    let now = world.now;
    let Some(pending) = world.operators.operators[index].pending.as_mut() else { return };
    pending.asked = now;
    pending.id.attempt += 1;
    let (call, request) = (pending.id, pending.request.clone());
    world.schedule(Duration::from_millis(1), Event::Call { node, call, request, hops: 0 });
}

/// Takes the answer of a machine.
pub fn answered(world: &mut World, call: CallId, request: &Request, reply: &Reply) {
    let now = world.now;
    let operator = &mut world.operators.operators[call.operator];
    let Some(pending) = operator.pending.as_ref() else { return };
    if pending.id.order != call.order {
        return;
    }
    let attempt = pending.attempt;
    let outcome = match (request, reply) {
        (Request::Submit(Command::PutConfiguration(put)), Reply::Taken | Reply::AlreadyTaken) => {
            operator.known = operator.known.max(put.generation);
            operator.repeat = Some(put.clone());
            Outcome::Acknowledged
        }
        (Request::Submit(_), Reply::Rejected(rejection)) => {
            operator.wants_read = true;
            operator.known = match rejection {
                Rejection::BaseMismatch { current } | Rejection::StaleGeneration { current } => *current,
                Rejection::StorageEpochMismatch { .. } => operator.known,
            };
            Outcome::Refused(*rejection)
        }
        (Request::ReadConfiguration, Reply::Configuration(found)) => {
            operator.known = found.as_ref().map_or(0, |(generation, _)| *generation);
            Outcome::Read(found.as_ref().map(|(generation, body)| (*generation, body.0.to_vec())))
        }
        _ => return,
    };
    operator.pending = None;
    world.history.answered(now, attempt, outcome);
}
