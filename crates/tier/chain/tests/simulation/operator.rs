//! Operators who change and read the configuration concurrently, and retry unanswered operations.
//!
//! Each operator has several operations in flight. A change may build on an unanswered one, some operations are
//! sent to two machines at once, and a duplicate may be received seconds after the operation was answered.

use std::time::Duration;

use woadreach_chain::{
    Blob, Command, ControlState, PutConfiguration, Rejection, Reply, Request, WritePosition,
};

use super::event::Event;
use super::history::{OperationIndex, Outcome};
use super::world::World;

/// Interval between ticks of the operators.
const STEP: Duration = Duration::from_millis(40);
/// Default time without an answer after which an operator sends an operation again.
const RETRY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an operator abandons an operation.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of operations of one operator in flight.
const MAX_OPERATIONS_IN_FLIGHT: usize = 4;
/// Longest additional delay of a call.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_secs(5);

/// Identifies a call: operator, operation and attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId {
    pub operator: usize,
    pub operation: u64,
    pub attempt: u64,
}

/// An operation in flight.
#[derive(Clone, Debug)]
struct Pending {
    id: CallId,
    request: Request,
    history_index: OperationIndex,
    started: Duration,
    sent_at: Duration,
}

/// One operator.
#[derive(Clone, Debug, Default)]
struct Operator {
    pending: Vec<Pending>,
    /// The newest generation that the operator knows.
    known_generation: u64,
    next_operation: u64,
    must_read: bool,
    /// Changes that were applied, any of which may be sent again.
    applied: Vec<PutConfiguration>,
}

impl Operator {
    /// Generation of the operator's last unanswered change.
    fn unanswered_generation(&self) -> Option<u64> {
        self.pending
            .iter()
            .rev()
            .find_map(|pending| match &pending.request {
                Request::Submit(Command::PutConfiguration(put)) => Some(put.generation),
                _ => None,
            })
    }
}

/// All operators.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    operators: Vec<Operator>,
    pub is_stopped: bool,
    /// Time without an answer after which an operator sends an operation again, to a machine drawn at random.
    pub retry_timeout: Duration,
    /// Whether each operator has only one operation in flight, without concurrent or delayed duplicates.
    pub are_sequential: bool,
    next_generation: u64,
    next_digest: u64,
}

impl Operators {
    pub(crate) fn new(count: usize) -> Operators {
        let operators = vec![Operator::default(); count];
        Operators {
            operators,
            is_stopped: false,
            retry_timeout: RETRY_TIMEOUT,
            are_sequential: false,
            next_generation: 0,
            next_digest: 0,
        }
    }

    /// Records that `changes` were applied before the run. Operators may send any of them again.
    pub(crate) fn preload_changes(&mut self, changes: &[PutConfiguration]) {
        let newest = changes.last().map_or(0, |put| put.generation);
        self.next_generation = newest;
        self.next_digest = newest;
        for operator in &mut self.operators {
            operator.known_generation = newest;
            operator.applied = changes.to_vec();
        }
    }
}

/// The changes of the generations 1 to `count`, each based on the previous one, and the state after them.
pub(crate) fn preloaded_changes(count: u64) -> (Vec<PutConfiguration>, ControlState) {
    let mut state = ControlState::default();
    let changes: Vec<PutConfiguration> = (1..=count)
        .map(|generation| new_put(generation - 1, generation, generation))
        .collect();
    for put in &changes {
        let position = WritePosition {
            epoch: 0,
            number: put.generation,
        };
        state.apply(position, &Command::PutConfiguration(put.clone()));
    }
    (changes, state)
}

/// Handles a tick of every operator.
pub(crate) fn tick_operators(world: &mut World) {
    for index in 0..world.operators.operators.len() {
        expire_operations(world, index);
        resend_overdue(world, index);
        let in_flight = world.operators.operators[index].pending.len();
        let limit = if world.operators.are_sequential {
            1
        } else {
            MAX_OPERATIONS_IN_FLIGHT
        };
        let probability = if in_flight == 0 { 0.3 } else { 0.04 };
        if !world.operators.is_stopped && in_flight < limit && world.random_bool(probability) {
            begin_operation(world, index);
        }
    }
    world.schedule(STEP, Event::OperatorTick);
}

fn expire_operations(world: &mut World, index: usize) {
    let now = world.now;
    let operator = &mut world.operators.operators[index];
    let before = operator.pending.len();
    operator
        .pending
        .retain(|pending| now - pending.started <= OPERATION_TIMEOUT);
    operator.must_read |= operator.pending.len() < before;
}

fn resend_overdue(world: &mut World, index: usize) {
    let (now, retry_timeout) = (world.now, world.operators.retry_timeout);
    let is_late = |pending: &&Pending| now - pending.sent_at > retry_timeout;
    let pending = &world.operators.operators[index].pending;
    let late: Vec<u64> = pending
        .iter()
        .filter(is_late)
        .map(|pending| pending.id.operation)
        .collect();
    for operation in late {
        send_operation(world, index, operation);
    }
}

fn begin_operation(world: &mut World, index: usize) {
    let is_duplicate = world.random_bool(0.15);
    let is_read = world.random_bool(0.25);
    let step = 1 + world.random.rand_range(0..3);
    let reuses_generation = world.random_bool(0.2);
    let builds_on_unanswered = !world.operators.are_sequential && world.random_bool(0.5);
    let duplicated = draw_applied(world, index);
    let operators = &mut world.operators;
    let operator = &mut operators.operators[index];
    let request = if let Some(put) = operator.applied.get(duplicated).filter(|_| is_duplicate) {
        Request::Submit(Command::PutConfiguration(put.clone()))
    } else if operator.must_read || is_read {
        operator.must_read = false;
        Request::ReadConfiguration
    } else {
        let generation = if reuses_generation {
            operators.next_generation.max(1)
        } else {
            operators.next_generation + step
        };
        operators.next_generation = operators.next_generation.max(generation);
        operators.next_digest += 1;
        let unanswered = operator
            .unanswered_generation()
            .filter(|_| builds_on_unanswered);
        let base = unanswered.unwrap_or(operator.known_generation);
        Request::Submit(Command::PutConfiguration(new_put(
            base,
            generation,
            operators.next_digest,
        )))
    };
    let operation = operator.next_operation;
    operator.next_operation += 1;
    let id = CallId {
        operator: index,
        operation,
        attempt: 0,
    };
    let history_index = world.history.record_invocation(world.now, id, &request);
    let now = world.now;
    let pending = Pending {
        id,
        request,
        history_index,
        started: now,
        sent_at: now,
    };
    world.operators.operators[index].pending.push(pending);
    send_operation(world, index, operation);
}

/// Position of an applied change, drawn at random; the last one if the operators are sequential.
fn draw_applied(world: &mut World, index: usize) -> usize {
    let count = world.operators.operators[index].applied.len();
    if world.operators.are_sequential {
        count.saturating_sub(1)
    } else {
        world.random_index(count.max(1))
    }
}

pub(crate) fn new_put(base: u64, generation: u64, number: u64) -> PutConfiguration {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    let body = Blob::from(number.to_le_bytes().to_vec());
    PutConfiguration {
        base,
        generation,
        digest,
        body,
    }
}

/// Sends a pending operation to a machine drawn at random, sometimes to a second one too.
fn send_operation(world: &mut World, index: usize, operation: u64) {
    let now = world.now;
    let pending = &mut world.operators.operators[index].pending;
    let Some(pending) = pending
        .iter_mut()
        .find(|pending| pending.id.operation == operation)
    else {
        return;
    };
    pending.sent_at = now;
    pending.id.attempt += 1;
    let (call, request) = (pending.id, pending.request.clone());
    let is_sequential = world.operators.are_sequential;
    let sends = if !is_sequential && world.random_bool(0.1) {
        2
    } else {
        1
    };
    for _ in 0..sends {
        let node = world.random_index(world.nodes.len());
        let is_late = !is_sequential && world.random_bool(0.05);
        let delay = if is_late {
            world.random_duration(MAX_DUPLICATE_DELAY)
        } else {
            Duration::ZERO
        };
        let event = Event::Call {
            node,
            call,
            request: request.clone(),
            hops: 0,
        };
        world.schedule(Duration::from_millis(1) + delay, event);
    }
}

/// Handles the answer of a machine.
pub(crate) fn handle_answer(world: &mut World, call: CallId, request: &Request, reply: &Reply) {
    let now = world.now;
    world.history.record_reply(request, reply);
    let operator = &mut world.operators.operators[call.operator];
    let Some(position) = operator
        .pending
        .iter()
        .position(|pending| pending.id.operation == call.operation)
    else {
        return;
    };
    let outcome = match (request, reply) {
        (
            Request::Submit(Command::PutConfiguration(put)),
            Reply::Committed | Reply::AlreadyCommitted,
        ) => {
            operator.known_generation = operator.known_generation.max(put.generation);
            operator.applied.push(put.clone());
            Outcome::Acknowledged
        }
        (Request::Submit(_), Reply::Rejected(rejection)) => {
            operator.must_read = true;
            if let Rejection::BaseMismatch { current } | Rejection::StaleGeneration { current } =
                rejection
            {
                operator.known_generation = operator.known_generation.max(*current);
            }
            Outcome::Rejected(*rejection)
        }
        (Request::ReadConfiguration, Reply::Configuration(found)) => {
            let read = found.as_ref().map_or(0, |stored| stored.generation);
            operator.known_generation = operator.known_generation.max(read);
            Outcome::Read(
                found
                    .as_ref()
                    .map(|stored| (stored.generation, stored.body.0.to_vec())),
            )
        }
        _ => return,
    };
    let pending = operator.pending.remove(position);
    world
        .history
        .record_answer(now, pending.history_index, outcome);
}
