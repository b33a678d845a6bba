//! A turn that ends when the turn which it continues expires, in every order of the two at each storage machine. Guards
//! against a turn that is answered whole while what it goes on from is dropped: its replica was slow, the retention of the
//! turn before passed meanwhile, the machines stored the new turn alone, and no later turn could go on from it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use woadreach_journal::{Engine, SimulatedDisk, Synced};
use woadreach_storage::message::{Answer, FencingToken, Operation, Request};
use woadreach_storage::node::{Step, StorageNode};
use woadreach_storage::write::{FollowUp, Write};
use woadreach_storage::{StorageMember, StorageView, Turn, TurnKey};

const MACHINES: u64 = 3;
const TOLERATED_LOSSES: usize = 1;
const EPOCH: u64 = 1;
const PROGRAM: &str = "program";
const RETENTION: Duration = Duration::from_secs(60);
/// What the machines add to the retention.
const MARGIN: Duration = Duration::from_secs(5);
const END_OF_SECOND_TURN: Duration = Duration::from_secs(70);

/// What one machine has of the first turn when it gets the second one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstTurn {
    /// Removed since it has expired.
    Removed,
    /// Expired, but not removed yet.
    Expired,
    /// Still retained, since it was stored late.
    Retained,
    /// Never received.
    Missed,
}

const FIRST_TURNS: [FirstTurn; 4] = [
    FirstTurn::Removed,
    FirstTurn::Expired,
    FirstTurn::Retained,
    FirstTurn::Missed,
];

/// Orders in which the machines receive the second turn, by disk.
const ORDERS: [[u64; 3]; 6] = [
    [1, 2, 3],
    [1, 3, 2],
    [2, 1, 3],
    [2, 3, 1],
    [3, 1, 2],
    [3, 2, 1],
];

fn turn(request_id: &str, previous: Option<&str>) -> Turn {
    Turn {
        program: PROGRAM.to_owned(),
        session: "session".to_owned(),
        request_id: request_id.to_owned(),
        previous: previous.map(|request_id| TurnKey::new(PROGRAM, request_id)),
        input: Bytes::from_static(b"input"),
        events: vec![Bytes::from_static(b"event")],
        retention: RETENTION,
    }
}

fn put(turn: &Turn) -> Operation {
    Operation::PutTurns {
        program: PROGRAM.to_owned(),
        turns: vec![turn.to_record(PROGRAM)],
        settlement: None,
    }
}

fn view() -> StorageView {
    let member = |disk: u64| StorageMember {
        node: format!("store-{disk}"),
        disk,
        address: ([10, 0, 0, disk as u8], 7_000).into(),
        zone: "zone".to_owned(),
    };
    StorageView {
        epoch: EPOCH,
        current: (1..=MACHINES).map(member).collect(),
        ..StorageView::default()
    }
}

fn receipt() -> Synced {
    let (mut engine, _) =
        Engine::open(Box::new(SimulatedDisk::default()), 1 << 20).expect("an empty disk");
    engine.append_batch(&[Vec::new()]).expect("a healthy disk")
}

/// Answer of a machine whose disk is healthy.
fn answer(node: &mut StorageNode, now: Duration, operation: Operation) -> Answer {
    let fencing_token = FencingToken {
        epoch: EPOCH,
        disk: node.disk(),
    };
    let request = Request {
        fencing_token,
        operation,
    };
    match node.handle(now, request) {
        Step::Reply(response) => response.answer,
        Step::Persist { pending, .. } => node.complete(pending, &receipt()).answer,
        Step::PersistSnapshot { .. } => panic!("a snapshot without a failed write"),
    }
}

/// A machine as it is at the end of the second turn.
fn machine(disk: u64, first_turn: FirstTurn) -> StorageNode {
    let (mut node, _) = StorageNode::create(format!("store-{disk}"), disk, TOLERATED_LOSSES);
    let stored_at = match first_turn {
        FirstTurn::Missed => return node,
        FirstTurn::Removed | FirstTurn::Expired => Duration::ZERO,
        FirstTurn::Retained => END_OF_SECOND_TURN - RETENTION - MARGIN + Duration::from_millis(1),
    };
    assert_eq!(
        answer(&mut node, stored_at, put(&turn("first", None))),
        Answer::Stored
    );
    if first_turn != FirstTurn::Expired {
        node.expire(END_OF_SECOND_TURN);
    }
    node
}

/// Stores the second turn at machines that receive it in this order, until a quorum has it; whatever is sent to the
/// others then is lost. Returns the machines.
fn store_second_turn(first_turns: [FirstTurn; 3], order: [u64; 3]) -> Vec<StorageNode> {
    let mut machines: Vec<StorageNode> = (1..)
        .zip(first_turns)
        .map(|(disk, first_turn)| machine(disk, first_turn))
        .collect();
    let second = turn("second", Some("first"));
    let mut write = Write::new(&view(), PROGRAM.to_owned(), put(&second), TOLERATED_LOSSES)
        .with_ancestors(vec![Arc::new(turn("first", None))]);
    let mut requests: VecDeque<u64> = order.into();
    while !write.is_durable() {
        let disk = requests.pop_front().expect("a quorum has the turn");
        let operation = write.operation_for(disk).into_owned();
        let node = &mut machines[disk as usize - 1];
        let answer = answer(node, END_OF_SECOND_TURN, operation);
        if write.record_answer(EPOCH, disk, answer) == FollowUp::Resend {
            requests.push_back(disk);
        }
    }
    machines
}

fn has_complete_chain(node: &StorageNode) -> bool {
    let chain = node.store().chain(PROGRAM, "second", usize::MAX);
    chain.len() == 2
}

#[test]
fn a_turn_outlasts_any_loss_with_what_it_goes_on_from_whatever_has_expired_while_it_ran() {
    for first in FIRST_TURNS {
        for second in FIRST_TURNS {
            for third in FIRST_TURNS {
                for order in ORDERS {
                    let first_turns = [first, second, third];
                    let mut machines = store_second_turn(first_turns, order);
                    for machine in &mut machines {
                        machine.expire(END_OF_SECOND_TURN + RETENTION);
                    }
                    let complete = machines
                        .iter()
                        .filter(|node| has_complete_chain(node))
                        .count();
                    assert!(
                        complete > TOLERATED_LOSSES,
                        "{complete} machines have the chain: {first_turns:?}, received in {order:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_machine_that_lacks_what_a_turn_goes_on_from_does_not_acknowledge_it() {
    for (first_turn, expected) in [
        (FirstTurn::Removed, Answer::missing_ancestors()),
        (FirstTurn::Missed, Answer::missing_ancestors()),
        (FirstTurn::Expired, Answer::Stored),
        (FirstTurn::Retained, Answer::Stored),
    ] {
        let mut node = machine(1, first_turn);
        let second = put(&turn("second", Some("first")));
        assert_eq!(
            answer(&mut node, END_OF_SECOND_TURN, second),
            expected,
            "{first_turn:?}"
        );
    }
}

/// The whole chain is sent once: a machine whose records contradict each other must not be sent it without end.
#[test]
fn a_machine_is_sent_the_complete_chain_once_in_each_epoch() {
    let second = turn("second", Some("first"));
    let ancestors = vec![Arc::new(turn("first", None))];
    let mut write = Write::new(&view(), PROGRAM.to_owned(), put(&second), TOLERATED_LOSSES)
        .with_ancestors(ancestors);
    let missing = Answer::missing_ancestors;
    assert_eq!(write.record_answer(EPOCH, 1, missing()), FollowUp::Resend);
    assert_eq!(write.record_answer(EPOCH, 1, missing()), FollowUp::None);
    let next = StorageView {
        epoch: EPOCH + 1,
        ..view()
    };
    write.restart(&next);
    assert_eq!(write.record_answer(EPOCH, 1, missing()), FollowUp::None);
    assert_eq!(
        write.record_answer(EPOCH + 1, 1, missing()),
        FollowUp::Resend
    );
    assert!(!write.is_durable());
}
