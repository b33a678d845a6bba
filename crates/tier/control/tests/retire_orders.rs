//! Orders to empty storage machines in any order with the planner's changes of the view, losses of what is
//! not committed, and copies of earlier orders; the decisions are the real ones.
//!
//! A script of numbers says what happens next. Two faults can be mutated: the planner's view is put in place
//! without a look at the epoch that it was planned on, and an answer is given by what was judged before the
//! barrier alone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};
use woadreach_chain::{Blob, Command, ControlState, PutStorageView, Stamp, Verdict};
use woadreach_control::order::Answer;
use woadreach_control::retire_order::{RetireStep, decode, judge_retire, retire_state};
use woadreach_storage::StorageMember;
use woadreach_storage::announce::{Announcement, Announcements};
use woadreach_storage::view::plan;

/// Machines that there may be; one more name is never heard.
const MACHINES: u8 = 8;
/// Machines that are there from the start.
const FIRST_MACHINES: u8 = 4;
const TOLERATED: usize = 1;
/// Orders under way at once.
const PLACES: usize = 8;
const TICK: Duration = Duration::from_millis(100);
/// Length of a script.
const STEPS: usize = 600;
/// Scripts that are played.
const SCRIPTS: u64 = 400;

/// A defence that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutated {
    Nothing,
    /// The planner's view replaces whichever view is there.
    Overwriting,
    /// What was judged is not looked at again once the barrier is through.
    NoSecondLook,
}

/// An order under way.
#[derive(Clone, Debug)]
enum Place {
    Free,
    /// Judged; its view is to be put, or its answer to be confirmed.
    Judged {
        node: String,
        step: RetireStep,
    },
    /// Waits for the commit of a stamp.
    Submitted {
        node: String,
        stamp: Stamp,
    },
}

/// What the planner is at.
#[derive(Clone, Debug)]
enum Planner {
    Idle,
    Planned(PutStorageView),
}

/// The head of a core, the storage machines that announce themselves, and the operator.
struct Scene {
    mutated: Mutated,
    now: Instant,
    epoch: u64,
    committed: ControlState,
    latest: ControlState,
    heard: Announcements,
    disks: BTreeMap<u8, u64>,
    silent: BTreeSet<u8>,
    places: Vec<Place>,
    planner: Planner,
    /// Orders that were acknowledged, and those of which `succeeded` was told.
    acknowledged: BTreeSet<String>,
    succeeded: BTreeSet<String>,
    violations: Vec<String>,
}

fn stored(state: &ControlState) -> Option<(u64, Bytes)> {
    state
        .storage_view
        .as_ref()
        .map(|view| (view.epoch, view.bytes.0.clone()))
}

fn member(number: u8, disk: u64) -> StorageMember {
    StorageMember {
        node: format!("store-{number}"),
        disk,
        address: ([10, 0, 0, number], 7_000).into(),
        zone: format!("zone-{}", number % 3),
    }
}

impl Scene {
    fn new(mutated: Mutated) -> Scene {
        let now = Instant::now();
        let mut scene = Scene {
            mutated,
            now,
            epoch: 1,
            committed: ControlState::default(),
            latest: ControlState::default(),
            heard: Announcements::new(now),
            disks: (0..MACHINES)
                .map(|number| (number, u64::from(number) + 1))
                .collect(),
            silent: (FIRST_MACHINES..MACHINES).collect(),
            places: vec![Place::Free; PLACES],
            planner: Planner::Idle,
            acknowledged: BTreeSet::new(),
            succeeded: BTreeSet::new(),
            violations: Vec::new(),
        };
        for _ in 0..20 {
            scene.pass_time();
            scene.move_planner();
            scene.move_planner();
            scene.commit();
        }
        scene
    }

    /// One thing happens; the number says which and to whom.
    fn happen(&mut self, number: u16) {
        let choice = usize::from(number / 16);
        match number % 16 {
            0..=2 => self.pass_time(),
            3..=5 => self.move_planner(),
            6..=8 => self.move_order(choice),
            9 | 10 => self.begin_order(choice),
            11 | 12 => self.commit(),
            13 => self.ask_state(choice),
            14 => self.lose_uncommitted(choice),
            _ => self.strike(choice),
        }
    }

    /// The machines announce themselves; those that are heard have pulled for the committed view.
    fn pass_time(&mut self) {
        self.now += TICK;
        let pulled_epoch = self.committed.storage_epoch();
        for (&number, &disk) in self
            .disks
            .iter()
            .filter(|(number, _)| !self.silent.contains(number))
        {
            self.heard.record(
                self.now,
                Announcement {
                    member: member(number, disk),
                    pulled_epoch,
                    shutting_down: false,
                },
            );
        }
    }

    fn move_planner(&mut self) {
        match std::mem::replace(&mut self.planner, Planner::Idle) {
            Planner::Idle => {
                let latest = stored(&self.latest);
                let view = decode(latest.as_ref()).expect("own bytes");
                if let Some(next) = plan(self.now, &view, &self.heard, TOLERATED) {
                    let expected_epoch = latest.map_or(0, |(epoch, _)| epoch);
                    let bytes = Blob::from(next.encode());
                    self.planner = Planner::Planned(PutStorageView {
                        expected_epoch,
                        epoch: next.epoch,
                        bytes,
                    });
                }
            }
            Planner::Planned(mut put) => {
                if self.mutated == Mutated::Overwriting {
                    put.expected_epoch = self.latest.storage_epoch();
                    put.epoch = put.epoch.max(put.expected_epoch + 1);
                }
                self.submit(put);
            }
        }
    }

    /// Stamp of the write, if it is taken.
    fn submit(&mut self, put: PutStorageView) -> Option<Stamp> {
        let command = Command::PutStorageView(put);
        match self.latest.judge(&command) {
            Verdict::Take => {
                let stamp = Stamp {
                    epoch: self.epoch,
                    number: self.latest.stamp.number + 1,
                };
                self.latest.apply(stamp, &command);
                Some(stamp)
            }
            Verdict::AlreadyTaken => Some(self.latest.stamp),
            _ => None,
        }
    }

    fn begin_order(&mut self, choice: usize) {
        let Some(place) = self
            .places
            .iter()
            .position(|place| matches!(place, Place::Free))
        else {
            return;
        };
        let node = format!("store-{}", choice % usize::from(MACHINES + 1));
        let step = judge_retire(stored(&self.latest).as_ref(), &node, TOLERATED);
        self.places[place] = Place::Judged { node, step };
    }

    /// Takes an order one step on, as `order.rs` does.
    fn move_order(&mut self, choice: usize) {
        let place = choice % PLACES;
        self.places[place] = match self.places[place].clone() {
            Place::Free => Place::Free,
            Place::Judged {
                node,
                step:
                    RetireStep::Put {
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
                    .map_or(Place::Free, |stamp| Place::Submitted { node, stamp })
            }
            Place::Judged { node, step } => {
                // The barrier: what was judged is committed first.
                self.commit();
                let confirmed = judge_retire(stored(&self.committed).as_ref(), &node, TOLERATED);
                let is_confirmed = confirmed == step || self.mutated == Mutated::NoSecondLook;
                if is_confirmed && let RetireStep::Answer(answer) = step {
                    self.told(&node, &answer);
                }
                Place::Free
            }
            Place::Submitted { node, stamp } if stamp <= self.committed.stamp => {
                self.told(&node, &Answer::Done);
                Place::Free
            }
            waiting @ Place::Submitted { .. } => waiting,
        };
    }

    fn told(&mut self, node: &str, answer: &Answer) {
        match answer {
            Answer::Done => {
                self.acknowledged.insert(node.to_owned());
            }
            Answer::UnknownNode | Answer::TooFewNodes if self.acknowledged.contains(node) => {
                self.violations
                    .push(format!("{node}: {answer:?} though it was taken"));
            }
            _ => {}
        }
    }

    fn ask_state(&mut self, choice: usize) {
        let node = format!("store-{}", choice % usize::from(MACHINES + 1));
        let is_acknowledged = self.acknowledged.contains(&node);
        match retire_state(stored(&self.committed).as_ref(), &node) {
            Answer::RetireState { is_finished: true } => {
                let view = decode(stored(&self.committed).as_ref()).expect("own bytes");
                if view.members().iter().any(|member| member.node == node) {
                    self.violations
                        .push(format!("{node}: succeeded, yet in the view"));
                }
                self.succeeded.insert(node);
            }
            Answer::RetireState { is_finished: false } if self.succeeded.contains(&node) => {
                self.violations.push(format!("{node}: running again"));
            }
            Answer::UnknownNode if is_acknowledged => {
                self.violations
                    .push(format!("{node}: the order is forgotten"));
            }
            _ => {}
        }
    }

    fn commit(&mut self) {
        self.committed = self.latest.clone();
    }

    /// Another head takes over, with or without what was not committed; nobody waits for the old one.
    fn lose_uncommitted(&mut self, choice: usize) {
        if choice.is_multiple_of(2) {
            self.latest = self.committed.clone();
        }
        self.epoch += 1;
        self.planner = Planner::Idle;
        self.places = vec![Place::Free; PLACES];
    }

    /// A machine joins, falls silent, comes back, or comes back with an empty disk, also one that was taken
    /// away.
    fn strike(&mut self, choice: usize) {
        let number = (choice % usize::from(MACHINES)) as u8;
        if !self.silent.remove(&number) {
            self.silent.insert(number);
        } else if (choice / usize::from(MACHINES)).is_multiple_of(2)
            && let Some(disk) = self.disks.get_mut(&number)
        {
            *disk += 100;
        }
    }
}

fn play(script: &[u16], mutated: Mutated) -> Scene {
    let mut scene = Scene::new(mutated);
    for number in script {
        scene.happen(*number);
    }
    scene
}

/// Whether every script of `SCRIPTS` seeds is without a violation.
fn is_sound(mutated: Mutated) -> bool {
    (1..=SCRIPTS).all(|seed| {
        let violations = play(&script(seed), mutated).violations;
        if !violations.is_empty() {
            println!("{mutated:?}, seed {seed}: {violations:?}");
        }
        violations.is_empty()
    })
}

fn script(seed: u64) -> Vec<u16> {
    let mut random = Gen::from_size_and_seed(STEPS, seed);
    (0..STEPS).map(|_| u16::arbitrary(&mut random)).collect()
}

#[test]
fn an_order_that_was_taken_is_never_refused_or_forgotten() {
    assert!(is_sound(Mutated::Nothing));
}

#[test]
fn a_planner_that_overwrites_is_found() {
    assert!(!is_sound(Mutated::Overwriting));
}

#[test]
fn an_answer_by_what_was_judged_before_the_barrier_is_found() {
    assert!(!is_sound(Mutated::NoSecondLook));
}

#[test]
fn machines_are_emptied_in_these_runs() {
    let emptied = |seed| play(&script(seed), Mutated::Nothing).succeeded.len();
    let emptied: usize = (1..=SCRIPTS).map(emptied).sum();
    assert!(emptied > 100, "{emptied}");
}
