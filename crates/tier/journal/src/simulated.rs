//! A disk in memory that loses, tears and fails writes on command.

use std::io;
use std::sync::Arc;

use oorandom::Rand64;
use parking_lot::Mutex;

use crate::disk::Disk;
use crate::slot::Slot;

/// A fault of a [`SimulatedDisk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiskFault {
    /// No fault.
    #[default]
    Healthy,
    /// Writes fail with [`io::ErrorKind::StorageFull`] after the first half of their bytes.
    Full,
    /// Writes fail after the first half of their bytes, and syncs fail.
    Failing,
    /// Writes succeed and syncs fail.
    FailingSync,
    /// Syncs report success and do nothing. Tests use it to show that they detect lost data.
    IgnoresSync,
}

/// What a loss of power leaves of one unsynced change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Survival {
    /// The complete change.
    Present,
    /// Nothing of the change.
    Missing,
    /// The first half of a write's bytes; nothing of a truncation.
    FirstHalf,
    /// The second half of a write's bytes; nothing of a truncation.
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

/// Counts of operations on a [`SimulatedDisk`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// Calls of [`Disk::write`].
    pub writes: u64,
    /// Calls of [`Disk::sync`].
    pub syncs: u64,
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
    operations: OperationCounts,
    /// Number of writes, truncations and syncs so far.
    changes: u64,
    /// The change of this number fails.
    failing_change: Option<u64>,
    /// Power is lost during the change of this number, and all later ones fail.
    last_change: Option<u64>,
}

/// Outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeOutcome {
    Succeeds,
    /// The change is made, unsynced, and an error is reported.
    FailsAfterChange,
    Fails,
}

impl State {
    /// Counts a change and returns its outcome.
    fn next_outcome(&mut self) -> ChangeOutcome {
        let number = self.changes;
        self.changes += 1;
        if self.last_change.is_some_and(|last| number > last) {
            return ChangeOutcome::Fails;
        }
        let is_failing = self.last_change == Some(number) || self.failing_change == Some(number);
        if is_failing {
            ChangeOutcome::FailsAfterChange
        } else {
            ChangeOutcome::Succeeds
        }
    }
}

/// Handle of a simulated disk. Clones share its content, as the successive processes of a machine share its
/// disk.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: DiskFault) {
        self.state.lock().fault = fault;
    }

    /// Writes and syncs so far.
    #[must_use]
    pub fn operations(&self) -> OperationCounts {
        self.state.lock().operations
    }

    /// Number of writes, truncations and syncs so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.state.lock().changes
    }

    /// Lets the change of this number (see [`SimulatedDisk::changes`]) fail, and no other. A write or a
    /// truncation is made all the same, a sync isn't.
    pub fn fail_change(&self, number: u64) {
        self.state.lock().failing_change = Some(number);
    }

    /// Loses power during the change of this number: this and all later changes fail until
    /// [`SimulatedDisk::restore_power`]. A write or a truncation of this very number may survive.
    pub fn lose_power_at(&self, number: u64) {
        self.state.lock().last_change = Some(number);
    }

    /// Number of unsynced writes and truncations of both files.
    #[must_use]
    pub fn unsynced_changes(&self) -> usize {
        self.state
            .lock()
            .files
            .iter()
            .map(|file| file.unsynced.len())
            .sum()
    }

    /// Restores power. `survivals` says, in the order of the files, what is left of each unsynced change;
    /// changes without a value are missing.
    pub fn restore_power(&self, survivals: impl IntoIterator<Item = Survival>) {
        let mut state = self.state.lock();
        state.failing_change = None;
        state.last_change = None;
        let mut survivals = survivals.into_iter();
        for file in &mut state.files {
            for change in std::mem::take(&mut file.unsynced) {
                let survival = survivals.next().unwrap_or(Survival::Missing);
                apply_survival(&mut file.durable, &change, survival);
            }
        }
    }

    /// A disk with the same content and without faults that shares nothing with this one.
    #[must_use]
    pub fn fork(&self) -> SimulatedDisk {
        let state = self.state.lock();
        let copied = State {
            files: state.files.clone(),
            ..State::default()
        };
        SimulatedDisk {
            state: Arc::new(Mutex::new(copied)),
        }
    }

    /// Loses power and restores it. Each unsynced change is present, missing or torn at random; one time in
    /// four all of a file are missing.
    pub fn lose_power(&self, random: &mut Rand64) {
        let mut state = self.state.lock();
        for file in &mut state.files {
            let all_missing = random.rand_range(0..4) == 0;
            for change in std::mem::take(&mut file.unsynced) {
                if !all_missing {
                    apply_random_survival(&mut file.durable, &change, random);
                }
            }
        }
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&self) {
        self.state.lock().files = Default::default();
    }

    /// Flips one bit of a slot's synced content. Returns `false` if there is none.
    pub fn flip_bit(&self, slot: Slot, random: &mut Rand64) -> bool {
        let mut state = self.state.lock();
        let content = &mut state.files[slot.index()].durable;
        if content.is_empty() {
            return false;
        }
        let index = usize::try_from(random.rand_range(0..content.len() as u64)).expect("an index");
        content[index] ^= 1 << random.rand_range(0..8);
        true
    }

    /// Bytes of both files, synced or not.
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
        state.operations.writes += 1;
        let outcome = state.next_outcome();
        if outcome == ChangeOutcome::Fails {
            return Err(io::ErrorKind::Other.into());
        }
        let failure = match state.fault {
            DiskFault::Full => Some(io::ErrorKind::StorageFull),
            DiskFault::Failing => Some(io::ErrorKind::Other),
            DiskFault::Healthy | DiskFault::FailingSync | DiskFault::IgnoresSync => None,
        };
        let written_bytes = if failure.is_some() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        let change = Change::Write {
            offset,
            bytes: bytes[..written_bytes].to_vec(),
        };
        state.files[slot.index()].unsynced.push(change);
        if outcome == ChangeOutcome::FailsAfterChange {
            return Err(io::ErrorKind::Other.into());
        }
        failure.map_or(Ok(()), |kind| Err(kind.into()))
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
        state.operations.syncs += 1;
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

/// Applies what survives of a change.
fn apply_survival(content: &mut Vec<u8>, change: &Change, survival: Survival) {
    match (survival, change) {
        (Survival::Present, _) => apply(content, change),
        (Survival::Missing, _) | (_, Change::Truncate { .. }) => {}
        (Survival::FirstHalf, Change::Write { offset, bytes }) => {
            apply(content, &write_before(*offset, bytes, bytes.len() / 2));
        }
        (Survival::LastHalf, Change::Write { offset, bytes }) => {
            apply(content, &write_behind(*offset, bytes, bytes.len() / 2));
        }
    }
}

/// Applies all of a change, nothing of it, or (of a write) the bytes before or behind a random index.
fn apply_random_survival(content: &mut Vec<u8>, change: &Change, random: &mut Rand64) {
    match random.rand_range(0..3) {
        0 => apply(content, change),
        1 => {}
        _ => {
            if let Change::Write { offset, bytes } = change {
                let index = random.rand_range(0..bytes.len() as u64 + 1);
                let index = usize::try_from(index).expect("an index");
                let survivor = if random.rand_range(0..2) == 0 {
                    write_before(*offset, bytes, index)
                } else {
                    write_behind(*offset, bytes, index)
                };
                apply(content, &survivor);
            }
        }
    }
}

/// The part of a write before `index` of its bytes.
fn write_before(offset: u64, bytes: &[u8], index: usize) -> Change {
    Change::Write {
        offset,
        bytes: bytes[..index].to_vec(),
    }
}

/// The part of a write from `index` of its bytes on.
fn write_behind(offset: u64, bytes: &[u8], index: usize) -> Change {
    Change::Write {
        offset: offset + index as u64,
        bytes: bytes[index..].to_vec(),
    }
}
