//! A disk in memory that loses, tears, delays and refuses on command.

use std::io;
use std::sync::Arc;

use oorandom::Rand64;
use parking_lot::Mutex;

use crate::disk::{Disk, Slot};

/// Trouble of a [`SimulatedDisk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiskFault {
    /// None.
    #[default]
    Healthy,
    /// Writes fail for want of room, the first half of each being done.
    Full,
    /// Writes fail, the first half of each being done, and so do syncs.
    Failing,
    /// Writes succeed and syncs fail.
    FailingSync,
    /// Syncs say that they succeeded and do nothing: a broken disk, for tests that must notice it.
    IgnoresSync,
}

/// What a loss of power leaves of one change that no sync covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Survival {
    /// All of it.
    Present,
    /// Nothing of it.
    Missing,
    /// A write's bytes before the middle.
    FirstHalf,
    /// A write's bytes from the middle on.
    LastHalf,
}

impl Survival {
    /// Every outcome.
    pub const ALL: [Survival; 4] = [
        Survival::Present,
        Survival::Missing,
        Survival::FirstHalf,
        Survival::LastHalf,
    ];
}

#[derive(Debug, Clone)]
enum Change {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate { length: u64 },
}

#[derive(Debug, Clone, Default)]
struct SimulatedFile {
    durable: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Debug, Default)]
struct State {
    files: [SimulatedFile; 2],
    fault: DiskFault,
    writes: u64,
    syncs: u64,
    /// Operations that change a file, so far.
    changes: u64,
    /// The change of this number fails.
    failing_change: Option<u64>,
    /// Power is lost in the middle of the change of this number.
    last_change: Option<u64>,
}

/// What becomes of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeOutcome {
    Succeeds,
    /// The change is in the file, unsynced, and an error is reported.
    DoneAndFails,
    Fails,
}

impl State {
    /// Counts a change; what becomes of it.
    fn next_outcome(&mut self) -> ChangeOutcome {
        let number = self.changes;
        self.changes += 1;
        if self.last_change.is_some_and(|last| number > last) {
            return ChangeOutcome::Fails;
        }
        let is_failing = self.last_change == Some(number) || self.failing_change == Some(number);
        if is_failing {
            ChangeOutcome::DoneAndFails
        } else {
            ChangeOutcome::Succeeds
        }
    }
}

/// Handle of a disk; clones share its content, as a machine's processes share its disk over time.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    /// Sets the trouble from now on.
    pub fn set_fault(&self, fault: DiskFault) {
        self.state.lock().fault = fault;
    }

    /// Number of writes and of syncs so far.
    #[must_use]
    pub fn operations(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.writes, state.syncs)
    }

    /// Number of writes, truncations and syncs so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.state.lock().changes
    }

    /// The change of this number (see [`SimulatedDisk::changes`]) fails, and no other. A write or a
    /// truncation is done all the same, a sync isn't.
    pub fn fail_change(&self, number: u64) {
        self.state.lock().failing_change = Some(number);
    }

    /// From the change of this number on everything fails, until [`SimulatedDisk::return_power`]. A write or
    /// a truncation of this very number may be found afterwards.
    pub fn cut_power(&self, number: u64) {
        self.state.lock().last_change = Some(number);
    }

    /// Number of changes of both files that no sync covers.
    #[must_use]
    pub fn unsynced_changes(&self) -> usize {
        self.state
            .lock()
            .files
            .iter()
            .map(|file| file.unsynced.len())
            .sum()
    }

    /// Power is back; of the unsynced changes, in the order of the files, these parts are found.
    pub fn return_power(&self, survivals: impl IntoIterator<Item = Survival>) {
        let mut state = self.state.lock();
        state.failing_change = None;
        state.last_change = None;
        let mut survivals = survivals.into_iter();
        for file in &mut state.files {
            for change in std::mem::take(&mut file.unsynced) {
                let survival = survivals.next().unwrap_or(Survival::Missing);
                survive(&mut file.durable, &change, survival);
            }
        }
    }

    /// A disk with the same content, which goes its own way from here on.
    #[must_use]
    pub fn copy(&self) -> SimulatedDisk {
        let state = self.state.lock();
        let copied = State {
            files: state.files.clone(),
            ..State::default()
        };
        SimulatedDisk {
            state: Arc::new(Mutex::new(copied)),
        }
    }

    /// Loses power: each unsynced change is present, missing or torn; one time in four all are missing.
    pub fn lose_power(&self, random: &mut Rand64) {
        let mut state = self.state.lock();
        for file in &mut state.files {
            let all_missing = random.rand_range(0..4) == 0;
            for change in std::mem::take(&mut file.unsynced) {
                if !all_missing {
                    survive_at_random(&mut file.durable, &change, random);
                }
            }
        }
    }

    /// The disk is gone and an empty one takes its place.
    pub fn wipe(&self) {
        self.state.lock().files = Default::default();
    }

    /// Flips one bit of what a slot holds durably; `false` if it holds nothing.
    pub fn flip_bit(&self, slot: Slot, random: &mut Rand64) -> bool {
        let mut state = self.state.lock();
        let content = &mut state.files[slot.index()].durable;
        if content.is_empty() {
            return false;
        }
        let at = usize::try_from(random.rand_range(0..content.len() as u64)).expect("an index");
        content[at] ^= 1 << random.rand_range(0..8);
        true
    }

    /// Bytes of both files.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        let state = self.state.lock();
        state.files.iter().map(|file| file.content().len()).sum()
    }
}

impl SimulatedFile {
    fn content(&self) -> Vec<u8> {
        let mut content = self.durable.clone();
        for change in &self.unsynced {
            apply(&mut content, change);
        }
        content
    }
}

impl Disk for SimulatedDisk {
    fn read(&mut self, slot: Slot) -> io::Result<Vec<u8>> {
        Ok(self.state.lock().files[slot.index()].content())
    }

    fn write(&mut self, slot: Slot, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state.lock();
        state.writes += 1;
        let outcome = state.next_outcome();
        if outcome == ChangeOutcome::Fails {
            return Err(io::ErrorKind::Other.into());
        }
        let refused = match state.fault {
            DiskFault::Full => Some(io::ErrorKind::StorageFull),
            DiskFault::Failing => Some(io::ErrorKind::Other),
            DiskFault::Healthy | DiskFault::FailingSync | DiskFault::IgnoresSync => None,
        };
        let done = if refused.is_some() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        let change = Change::Write {
            offset,
            bytes: bytes[..done].to_vec(),
        };
        state.files[slot.index()].unsynced.push(change);
        if outcome == ChangeOutcome::DoneAndFails {
            return Err(io::ErrorKind::Other.into());
        }
        refused.map_or(Ok(()), |kind| Err(kind.into()))
    }

    fn truncate(&mut self, slot: Slot, length: u64) -> io::Result<()> {
        let mut state = self.state.lock();
        let outcome = state.next_outcome();
        if outcome != ChangeOutcome::Fails {
            state.files[slot.index()]
                .unsynced
                .push(Change::Truncate { length });
        }
        if outcome == ChangeOutcome::Succeeds {
            Ok(())
        } else {
            Err(io::ErrorKind::Other.into())
        }
    }

    fn sync(&mut self, slot: Slot) -> io::Result<()> {
        let mut state = self.state.lock();
        state.syncs += 1;
        if state.next_outcome() != ChangeOutcome::Succeeds {
            return Err(io::ErrorKind::Other.into());
        }
        match state.fault {
            DiskFault::Failing | DiskFault::FailingSync => return Err(io::ErrorKind::Other.into()),
            DiskFault::IgnoresSync => return Ok(()),
            DiskFault::Healthy | DiskFault::Full => {}
        }
        let file = &mut state.files[slot.index()];
        for change in std::mem::take(&mut file.unsynced) {
            apply(&mut file.durable, &change);
        }
        Ok(())
    }
}

fn apply(content: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write { offset, bytes } => {
            let start = usize::try_from(*offset).expect("an offset in memory");
            let end = start + bytes.len();
            if content.len() < end {
                content.resize(end, 0);
            }
            content[start..end].copy_from_slice(bytes);
        }
        Change::Truncate { length } => {
            content.resize(usize::try_from(*length).expect("a length in memory"), 0);
        }
    }
}

/// Does what is left of a change.
fn survive(content: &mut Vec<u8>, change: &Change, survival: Survival) {
    match (survival, change) {
        (Survival::Present, _) => apply(content, change),
        (Survival::Missing, _) | (_, Change::Truncate { .. }) => {}
        (Survival::FirstHalf, Change::Write { offset, bytes }) => {
            let kept = bytes[..bytes.len() / 2].to_vec();
            apply(
                content,
                &Change::Write {
                    offset: *offset,
                    bytes: kept,
                },
            );
        }
        (Survival::LastHalf, Change::Write { offset, bytes }) => {
            let cut = bytes.len() / 2;
            let kept = bytes[cut..].to_vec();
            apply(
                content,
                &Change::Write {
                    offset: offset + cut as u64,
                    bytes: kept,
                },
            );
        }
    }
}

/// Present, missing, or (a write) torn into a random part of itself.
fn survive_at_random(content: &mut Vec<u8>, change: &Change, random: &mut Rand64) {
    match random.rand_range(0..3) {
        0 => apply(content, change),
        1 => {}
        _ => {
            if let Change::Write { offset, bytes } = change {
                let cut = random.rand_range(0..bytes.len() as u64 + 1);
                let at = usize::try_from(cut).expect("an index");
                let kept = if random.rand_range(0..2) == 0 {
                    Change::Write {
                        offset: *offset,
                        bytes: bytes[..at].to_vec(),
                    }
                } else {
                    Change::Write {
                        offset: offset + cut,
                        bytes: bytes[at..].to_vec(),
                    }
                };
                apply(content, &kept);
            }
        }
    }
}
