//! Operators who change and read the configuration concurrently, and retry what got no answer.
//!
//! Each has several orders in flight. An order may build on one that is unanswered, is at times sent to two
//! machines at once, and a duplicate of it may arrive seconds late, long after the order was answered.

use std::time::Duration;

use woadreach_chain::{
    Blob, Command, ControlState, PutConfiguration, Rejection, Reply, Request, WritePosition,
};

use super::event::Event;
use super::history::{Attempt, Outcome};
use super::world::World;

/// Interval of the operators' clock.
const STEP: Duration = Duration::from_millis(40);
/// Time without an answer after which an operator retries, unless a test sets another.
const RETRY_TIMEOUT: Duration = Duration::from_millis(300);
/// An operator abandons an order after this time.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Upper bound of the orders of one operator in flight.
const MAX_ORDERS_IN_FLIGHT: usize = 4;
/// Longest delay of a duplicate of an order.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_secs(5);

/// A call: an operator's order, and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId {
    pub operator: usize,
    pub order: u64,
    pub attempt: u64,
}

/// An order in flight.
#[derive(Clone, Debug)]
struct Pending {
    id: CallId,
    request: Request,
    attempt: Attempt,
    started: Duration,
    sent_at: Duration,
}

/// One operator.
#[derive(Clone, Debug, Default)]
struct Operator {
    pending: Vec<Pending>,
    /// The last generation that it knows.
    known: u64,
    next_order: u64,
    must_read: bool,
    /// Orders that were taken, any of which may be sent once more.
    taken: Vec<PutConfiguration>,
}

impl Operator {
    /// Generation of its last change that has no answer yet.
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
    /// Time without an answer after which an operator sends its order to another machine.
    pub retry_timeout: Duration,
    /// Each operator has one order in flight at a time, and no duplicate of it is late.
    pub are_orderly: bool,
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
            are_orderly: false,
            next_generation: 0,
            next_digest: 0,
        }
    }

    /// The operators have made `changes` before, and may send any of them again.
    pub(crate) fn remember(&mut self, changes: &[PutConfiguration]) {
        let newest = changes.last().map_or(0, |put| put.generation);
        self.next_generation = newest;
        self.next_digest = newest;
        for operator in &mut self.operators {
            operator.known = newest;
            operator.taken = changes.to_vec();
        }
    }
}

/// The changes 1 to `count`, each on the one before it, and the state after them.
pub(crate) fn earlier_changes(count: u64) -> (Vec<PutConfiguration>, ControlState) {
    let mut state = ControlState::default();
    let changes: Vec<PutConfiguration> = (1..=count)
        .map(|generation| new_put(generation - 1, generation, generation))
        .collect();
    for put in &changes {
        let stamp = WritePosition {
            epoch: 0,
            number: put.generation,
        };
        state.apply(stamp, &Command::PutConfiguration(put.clone()));
    }
    (changes, state)
}

/// Lets every operator act.
pub(crate) fn operate(world: &mut World) {
    for index in 0..world.operators.operators.len() {
        expire_orders(world, index);
        resend_overdue(world, index);
        let in_flight = world.operators.operators[index].pending.len();
        let limit = if world.operators.are_orderly {
            1
        } else {
            MAX_ORDERS_IN_FLIGHT
        };
        let share = if in_flight == 0 { 0.3 } else { 0.04 };
        if !world.operators.is_stopped && in_flight < limit && world.chance(share) {
            begin(world, index);
        }
    }
    world.schedule(STEP, Event::Operate);
}

fn expire_orders(world: &mut World, index: usize) {
    let now = world.now;
    let operator = &mut world.operators.operators[index];
    let before = operator.pending.len();
    operator
        .pending
        .retain(|pending| now - pending.started <= ORDER_TIMEOUT);
    operator.must_read |= operator.pending.len() < before;
}

fn resend_overdue(world: &mut World, index: usize) {
    let (now, retry_timeout) = (world.now, world.operators.retry_timeout);
    let is_late = |pending: &&Pending| now - pending.sent_at > retry_timeout;
    let pending = &world.operators.operators[index].pending;
    let late: Vec<u64> = pending
        .iter()
        .filter(is_late)
        .map(|pending| pending.id.order)
        .collect();
    for order in late {
        send_order(world, index, order);
    }
}

fn begin(world: &mut World, index: usize) {
    let repeat = world.chance(0.15);
    let read = world.chance(0.25);
    let step = 1 + world.random.rand_range(0..3);
    let same_number = world.chance(0.2);
    let on_unanswered = !world.operators.are_orderly && world.chance(0.5);
    let repeated = draw_taken(world, index);
    let operators = &mut world.operators;
    let operator = &mut operators.operators[index];
    let request = if let Some(put) = operator.taken.get(repeated).filter(|_| repeat) {
        Request::Submit(Command::PutConfiguration(put.clone()))
    } else if operator.must_read || read {
        operator.must_read = false;
        Request::ReadConfiguration
    } else {
        let generation = if same_number {
            operators.next_generation.max(1)
        } else {
            operators.next_generation + step
        };
        operators.next_generation = operators.next_generation.max(generation);
        operators.next_digest += 1;
        let unanswered = operator.unanswered_generation().filter(|_| on_unanswered);
        let base = unanswered.unwrap_or(operator.known);
        Request::Submit(Command::PutConfiguration(new_put(
            base,
            generation,
            operators.next_digest,
        )))
    };
    let order = operator.next_order;
    operator.next_order += 1;
    let id = CallId {
        operator: index,
        order,
        attempt: 0,
    };
    let attempt = world.history.invoked(world.now, id, &request);
    let now = world.now;
    let pending = Pending {
        id,
        request,
        attempt,
        started: now,
        sent_at: now,
    };
    world.operators.operators[index].pending.push(pending);
    send_order(world, index, order);
}

/// Position of a change that was taken: any of them, or the last one if the operators are orderly.
fn draw_taken(world: &mut World, index: usize) -> usize {
    let count = world.operators.operators[index].taken.len();
    if world.operators.are_orderly {
        count.saturating_sub(1)
    } else {
        world.pick(count.max(1))
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

/// Sends a pending order to a machine drawn at random, at times to a second one too.
fn send_order(world: &mut World, index: usize, order: u64) {
    let now = world.now;
    let pending = &mut world.operators.operators[index].pending;
    let Some(pending) = pending.iter_mut().find(|pending| pending.id.order == order) else {
        return;
    };
    pending.sent_at = now;
    pending.id.attempt += 1;
    let (call, request) = (pending.id, pending.request.clone());
    let is_orderly = world.operators.are_orderly;
    let sends = if !is_orderly && world.chance(0.1) {
        2
    } else {
        1
    };
    for _ in 0..sends {
        let node = world.pick(world.nodes.len());
        let is_late = !is_orderly && world.chance(0.05);
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

/// Takes the answer of a machine.
pub(crate) fn answered(world: &mut World, call: CallId, request: &Request, reply: &Reply) {
    let now = world.now;
    world.history.replied(request, reply);
    let operator = &mut world.operators.operators[call.operator];
    let Some(place) = operator
        .pending
        .iter()
        .position(|pending| pending.id.order == call.order)
    else {
        return;
    };
    let outcome = match (request, reply) {
        (
            Request::Submit(Command::PutConfiguration(put)),
            Reply::Committed | Reply::AlreadyCommitted,
        ) => {
            operator.known = operator.known.max(put.generation);
            operator.taken.push(put.clone());
            Outcome::Acknowledged
        }
        (Request::Submit(_), Reply::Rejected(rejection)) => {
            operator.must_read = true;
            if let Rejection::BaseMismatch { current } | Rejection::StaleGeneration { current } =
                rejection
            {
                operator.known = operator.known.max(*current);
            }
            Outcome::Refused(*rejection)
        }
        (Request::ReadConfiguration, Reply::Configuration(found)) => {
            let read = found.as_ref().map_or(0, |stored| stored.generation);
            operator.known = operator.known.max(read);
            Outcome::Read(
                found
                    .as_ref()
                    .map(|stored| (stored.generation, stored.body.0.to_vec())),
            )
        }
        _ => return,
    };
    let pending = operator.pending.remove(place);
    world.history.answered(now, pending.attempt, outcome);
}
