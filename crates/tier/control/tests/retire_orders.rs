//! Orders to retire storage machines, interleaved with changes of the view by the planner, losses of uncommitted
//! changes, and copies of earlier orders. The test calls the decision functions of the program; the chain is a model.
//! Guards against an acknowledged order that is later rejected or forgotten.
//!
//! A script of numbers determines the sequence of events. Two mutations remove a safeguard, and the test must detect
//! each of them: the planner's view replaces any stored view, regardless of the epoch from which it was planned, or
//! an answer is not confirmed after the barrier.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen};
use woadreach_chain::{
    Blob, Command, ControlState, PutStorageView, StoredStorageView, Verdict, WritePosition,
};
use woadreach_control::order::message::Answer;
use woadreach_control::order::retire::{RetireDecision, decide_retire, decode_view, retire_state};
use woadreach_storage::announce::{Announcement, Announcements};
use woadreach_storage::view::plan;
use woadreach_storage::{StorageMember, StorageView};

/// Number of machines that can exist. One further name is used in orders and never announced.
const MACHINES: u8 = 8;
/// Number of machines that send announcements from the start.
const INITIAL_MACHINES: u8 = 4;
/// Number of storage machines that may fail at the same time.
const TOLERATED_LOSSES: usize = 1;
/// Maximum number of orders in flight.
const MAX_ORDERS: usize = 8;
const TICK: Duration = Duration::from_millis(100);
/// Length of a script in events.
const SCRIPT_LENGTH: usize = 600;
/// Number of scripts that each test runs, one per seed.
const SCRIPTS: u64 = 400;

/// Injected bug that removes a safeguard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    /// The planner's view replaces the stored view regardless of its epoch.
    PlannerOverwrites,
    /// An answer is not decided again on the committed view after the barrier.
    AnswersUnconfirmed,
}

/// Slot for an order in flight.
#[derive(Clone, Debug)]
enum OrderSlot {
    Free,
    /// The order is decided. Next, its view is submitted or its answer is confirmed.
    Decided {
        node: String,
        decision: RetireDecision,
    },
    /// The view is submitted. The order is acknowledged when the write at `position` is committed.
    Submitted {
        node: String,
        position: WritePosition,
    },
}

/// State of the planner.
#[derive(Clone, Debug)]
enum Planner {
    Idle,
    Planned(PutStorageView),
}

/// Model of the head of a core, the storage machines and the operator.
struct RetireModel {
    mutation: Option<Mutation>,
    now: Instant,
    epoch: u64,
    committed: ControlState,
    latest: ControlState,
    announcements: Announcements,
    disks: BTreeMap<u8, u64>,
    /// Machines that send no announcements.
    unresponsive: BTreeSet<u8>,
    orders: Vec<OrderSlot>,
    planner: Planner,
    /// Names of the machines whose order to retire was acknowledged.
    acknowledged: BTreeSet<String>,
    /// Names of the machines whose state was reported as `succeeded`.
    succeeded: BTreeSet<String>,
    violations: Vec<String>,
}

fn decode(stored: Option<&StoredStorageView>) -> StorageView {
    decode_view(stored).expect("a view that this test has encoded")
}

fn member(number: u8, disk: u64) -> StorageMember {
    StorageMember {
        node: format!("store-{number}"),
        disk,
        address: ([10, 0, 0, number], 7_000).into(),
        zone: format!("zone-{}", number % 3),
    }
}

impl RetireModel {
    fn new(mutation: Option<Mutation>) -> RetireModel {
        let now = Instant::now();
        let mut model = RetireModel {
            mutation,
            now,
            epoch: 1,
            committed: ControlState::default(),
            latest: ControlState::default(),
            announcements: Announcements::new(now),
            disks: (0..MACHINES)
                .map(|number| (number, u64::from(number) + 1))
                .collect(),
            unresponsive: (INITIAL_MACHINES..MACHINES).collect(),
            orders: vec![OrderSlot::Free; MAX_ORDERS],
            planner: Planner::Idle,
            acknowledged: BTreeSet::new(),
            succeeded: BTreeSet::new(),
            violations: Vec::new(),
        };
        for _ in 0..20 {
            model.advance_time();
            model.advance_planner();
            model.advance_planner();
            model.commit();
        }
        model
    }

    /// Applies one event. The number selects the event, and the machine or order that it applies to.
    fn apply_event(&mut self, number: u16) {
        let choice = usize::from(number / 16);
        match number % 16 {
            0..=2 => self.advance_time(),
            3..=5 => self.advance_planner(),
            6..=8 => self.advance_order(choice),
            9 | 10 => self.begin_order(choice),
            11 | 12 => self.commit(),
            13 => self.check_state(choice),
            14 => self.lose_uncommitted(choice),
            _ => self.change_machine(choice),
        }
    }

    /// Advances the time by [`TICK`]. The responsive machines announce that they have pulled the data of the committed
    /// view.
    fn advance_time(&mut self) {
        self.now += TICK;
        let pulled_epoch = self.committed.storage_epoch();
        for (&number, &disk) in self
            .disks
            .iter()
            .filter(|(number, _)| !self.unresponsive.contains(number))
        {
            self.announcements.record(
                self.now,
                Announcement {
                    member: member(number, disk),
                    pulled_epoch,
                    shutting_down: false,
                },
            );
        }
    }

    fn advance_planner(&mut self) {
        match std::mem::replace(&mut self.planner, Planner::Idle) {
            Planner::Idle => {
                let latest = self.latest.storage_view.as_ref();
                let view = decode(latest);
                if let Some(next) = plan(self.now, &view, &self.announcements, TOLERATED_LOSSES) {
                    let expected_epoch = latest.map_or(0, |stored| stored.epoch);
                    let bytes = Blob::from(next.encode());
                    self.planner = Planner::Planned(PutStorageView {
                        expected_epoch,
                        epoch: next.epoch,
                        bytes,
                    });
                }
            }
            Planner::Planned(mut put) => {
                if self.mutation == Some(Mutation::PlannerOverwrites) {
                    put.expected_epoch = self.latest.storage_epoch();
                    put.epoch = put.epoch.max(put.expected_epoch + 1);
                }
                self.submit(put);
            }
        }
    }

    /// Submits a view. Returns the position of the write, or `None` if the view is rejected.
    fn submit(&mut self, put: PutStorageView) -> Option<WritePosition> {
        let command = Command::PutStorageView(put);
        match self.latest.evaluate(&command) {
            Verdict::Apply => {
                let position = WritePosition {
                    epoch: self.epoch,
                    number: self.latest.position.number + 1,
                };
                self.latest.apply(position, &command);
                Some(position)
            }
            Verdict::AlreadyApplied => Some(self.latest.position),
            _ => None,
        }
    }

    fn begin_order(&mut self, choice: usize) {
        let Some(slot) = self
            .orders
            .iter()
            .position(|slot| matches!(slot, OrderSlot::Free))
        else {
            return;
        };
        let node = format!("store-{}", choice % usize::from(MACHINES + 1));
        let stored = self.latest.storage_view.as_ref();
        let decision = decide_retire(stored, &node, TOLERATED_LOSSES);
        self.orders[slot] = OrderSlot::Decided { node, decision };
    }

    /// Executes the next step of an order in the same way as `order::execution`.
    fn advance_order(&mut self, choice: usize) {
        let slot = choice % MAX_ORDERS;
        self.orders[slot] = match self.orders[slot].clone() {
            OrderSlot::Free => OrderSlot::Free,
            OrderSlot::Decided {
                node,
                decision:
                    RetireDecision::ReplaceView {
                        expected_epoch,
                        view,
                    },
            } => {
                let bytes = Blob::from(view.encode());
                let put = PutStorageView {
                    expected_epoch,
                    epoch: view.epoch,
                    bytes,
                };
                self.submit(put)
                    .map_or(OrderSlot::Free, |position| OrderSlot::Submitted {
                        node,
                        position,
                    })
            }
            OrderSlot::Decided { node, decision } => {
                // Barrier: the state on which the decision is based is committed first.
                self.commit();
                let committed = self.committed.storage_view.as_ref();
                let is_confirmed = decide_retire(committed, &node, TOLERATED_LOSSES) == decision
                    || self.mutation == Some(Mutation::AnswersUnconfirmed);
                if is_confirmed && let RetireDecision::Answer(answer) = decision {
                    self.record_answer(&node, &answer);
                }
                OrderSlot::Free
            }
            OrderSlot::Submitted { node, position } if position <= self.committed.position => {
                self.record_answer(&node, &Answer::Done);
                OrderSlot::Free
            }
            waiting @ OrderSlot::Submitted { .. } => waiting,
        };
    }

    fn record_answer(&mut self, node: &str, answer: &Answer) {
        match answer {
            Answer::Done => {
                self.acknowledged.insert(node.to_owned());
            }
            Answer::UnknownNode | Answer::TooFewNodes if self.acknowledged.contains(node) => {
                self.violations.push(format!(
                    "{node}: {answer:?} after the order was acknowledged"
                ));
            }
            _ => {}
        }
    }

    /// Reads the retire state of a machine as the operator does, and checks it against earlier answers.
    fn check_state(&mut self, choice: usize) {
        let node = format!("store-{}", choice % usize::from(MACHINES + 1));
        let is_acknowledged = self.acknowledged.contains(&node);
        match retire_state(self.committed.storage_view.as_ref(), &node) {
            Answer::RetireState { is_finished: true } => {
                let view = decode(self.committed.storage_view.as_ref());
                if view.members().iter().any(|member| member.node == node) {
                    self.violations.push(format!(
                        "{node}: state is succeeded, but the machine is still in the view"
                    ));
                }
                self.succeeded.insert(node);
            }
            Answer::RetireState { is_finished: false } if self.succeeded.contains(&node) => {
                self.violations
                    .push(format!("{node}: state is running after it was succeeded"));
            }
            Answer::UnknownNode if is_acknowledged => {
                self.violations
                    .push(format!("{node}: the acknowledged order is not stored"));
            }
            _ => {}
        }
    }

    fn commit(&mut self) {
        self.committed = self.latest.clone();
    }

    /// Another head takes over, with or without the uncommitted changes. Orders in flight at the old head are dropped.
    fn lose_uncommitted(&mut self, choice: usize) {
        if choice.is_multiple_of(2) {
            self.latest = self.committed.clone();
        }
        self.epoch += 1;
        self.planner = Planner::Idle;
        self.orders = vec![OrderSlot::Free; MAX_ORDERS];
    }

    /// A machine, possibly a removed one, joins, becomes unresponsive, becomes responsive again, or restarts with an
    /// empty disk.
    fn change_machine(&mut self, choice: usize) {
        let number = (choice % usize::from(MACHINES)) as u8;
        if !self.unresponsive.remove(&number) {
            self.unresponsive.insert(number);
        } else if (choice / usize::from(MACHINES)).is_multiple_of(2)
            && let Some(disk) = self.disks.get_mut(&number)
        {
            *disk += 100;
        }
    }
}

fn run(script: &[u16], mutation: Option<Mutation>) -> RetireModel {
    let mut model = RetireModel::new(mutation);
    for number in script {
        model.apply_event(*number);
    }
    model
}

/// Returns whether the scripts of all seeds run without a violation.
fn has_no_violations(mutation: Option<Mutation>) -> bool {
    (1..=SCRIPTS).all(|seed| {
        let violations = run(&script(seed), mutation).violations;
        if !violations.is_empty() {
            println!("{mutation:?}, seed {seed}: {violations:?}");
        }
        violations.is_empty()
    })
}

fn script(seed: u64) -> Vec<u16> {
    let mut random = Gen::from_size_and_seed(SCRIPT_LENGTH, seed);
    (0..SCRIPT_LENGTH)
        .map(|_| u16::arbitrary(&mut random))
        .collect()
}

#[test]
fn an_acknowledged_order_is_never_rejected_or_forgotten() {
    assert!(has_no_violations(None));
}

#[test]
fn the_check_detects_a_planner_that_overwrites_the_view() {
    assert!(!has_no_violations(Some(Mutation::PlannerOverwrites)));
}

#[test]
fn the_check_detects_answers_that_are_not_confirmed_after_the_barrier() {
    assert!(!has_no_violations(Some(Mutation::AnswersUnconfirmed)));
}

#[test]
fn the_scripts_retire_machines() {
    let retired = |seed| run(&script(seed), None).succeeded.len();
    let retired: usize = (1..=SCRIPTS).map(retired).sum();
    assert!(retired > 100, "{retired}");
}
