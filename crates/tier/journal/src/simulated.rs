//! In-memory disk for tests that injects lost, torn and failed writes.

use std::io;
use std::sync::Arc;

use oorandom::Rand64;
use parking_lot::Mutex;

use crate::disk::Disk;
use crate::slot::Slot;

/// Fault of a [`SimulatedDisk`], in effect until [`SimulatedDisk::set_fault`] sets another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiskFault {
    /// No fault.
    #[default]
    Healthy,
    /// Writes store the first half of their bytes and fail with [`io::ErrorKind::StorageFull`].
    Full,
    /// Writes store the first half of their bytes and fail, and syncs fail.
    Failing,
    /// Writes succeed and syncs fail.
    FailingSync,
    /// Syncs report success and do nothing. Tests use this fault to show that they detect lost data.
    IgnoresSync,
}

/// Part of one unsynced change that survives a power loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Survival {
    /// The change survives completely.
    Present,
    /// No part of the change survives.
    Missing,
    /// The first half of a write's bytes survives. A truncation does not survive.
    FirstHalf,
    /// The second half of a write's bytes survives. A truncation does not survive.
    LastHalf,
}

impl Survival {
    /// All values.
    pub const ALL: [Survival; 4] = [
        Survival::Present,
        Survival::Missing,
        Survival::FirstHalf,
        Survival::LastHalf,
    ];
}

/// Numbers of operations on a [`SimulatedDisk`], failed ones included.
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
    /// Number of writes, truncations and syncs so far, which is also the number of the next one.
    changes: u64,
    /// Number of the single change that fails, counted from 0. `None` if none is to fail.
    failing_change: Option<u64>,
    /// Number of the change during which power is lost. All later changes fail. `None` while power stays on.
    power_loss_change: Option<u64>,
}

/// Outcome of a write, truncation or sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeOutcome {
    Succeeds,
    /// A write or truncation is applied, unsynced, and an error is returned. A sync is not carried out.
    FailsAfterChange,
    Fails,
}

impl State {
    /// Counts a write, truncation or sync and returns its outcome.
    fn next_outcome(&mut self) -> ChangeOutcome {
        let number = self.changes;
        self.changes += 1;
        if self
            .power_loss_change
            .is_some_and(|power_loss| number > power_loss)
        {
            return ChangeOutcome::Fails;
        }
        let is_failing =
            self.power_loss_change == Some(number) || self.failing_change == Some(number);
        if is_failing {
            ChangeOutcome::FailsAfterChange
        } else {
            ChangeOutcome::Succeeds
        }
    }
}

/// Handle of a simulated disk. Clones share one disk, so that a test can open it again as a restarted process
/// would.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    /// Sets the fault of all later operations.
    pub fn set_fault(&self, fault: DiskFault) {
        self.state.lock().fault = fault;
    }

    /// Numbers of writes and syncs so far.
    #[must_use]
    pub fn operations(&self) -> OperationCounts {
        self.state.lock().operations
    }

    /// Number of writes, truncations and syncs so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.state.lock().changes
    }

    /// Makes one change fail: the one numbered `number`, counted from 0 as in [`SimulatedDisk::changes`]. A
    /// write or truncation is applied despite the error, a sync is not.
    pub fn fail_change(&self, number: u64) {
        self.state.lock().failing_change = Some(number);
    }

    /// Loses power during change `number`. This change and all later ones fail until
    /// [`SimulatedDisk::restore_power`]. If change `number` is a write or truncation, it may survive.
    pub fn lose_power_at(&self, number: u64) {
        self.state.lock().power_loss_change = Some(number);
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

    /// Restores power. `survivals` has one value for each unsynced change: first those of slot A, then those of
    /// slot B, each in the order in which they were made. Changes without a value are missing.
    pub fn restore_power(&self, survivals: impl IntoIterator<Item = Survival>) {
        let mut state = self.state.lock();
        state.failing_change = None;
        state.power_loss_change = None;
        let mut survivals = survivals.into_iter();
        for file in &mut state.files {
            for change in std::mem::take(&mut file.unsynced) {
                let survival = survivals.next().unwrap_or(Survival::Missing);
                apply_survival(&mut file.durable, &change, survival);
            }
        }
    }

    /// Copies the content, unsynced changes included, to a new disk without faults and with counts of 0.
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

    /// Loses power and restores it. Each unsynced change is present, missing or torn at random. With probability
    /// 1/4 per file, all unsynced changes of the file are missing.
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

    /// Deletes the content and the unsynced changes of both files.
    pub fn wipe(&self) {
        self.state.lock().files = Default::default();
    }

    /// Flips one random bit of a slot's synced content. Returns `false` if that content is empty.
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

    /// Total bytes of both files, with unsynced changes applied.
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

/// Applies the part of a change that survives.
fn apply_survival(content: &mut Vec<u8>, change: &Change, survival: Survival) {
    match (survival, change) {
        (Survival::Present, _) => apply(content, change),
        (Survival::Missing, _) | (_, Change::Truncate { .. }) => {}
        (Survival::FirstHalf, Change::Write { offset, bytes }) => {
            apply(content, &write_prefix(*offset, bytes, bytes.len() / 2));
        }
        (Survival::LastHalf, Change::Write { offset, bytes }) => {
            apply(content, &write_suffix(*offset, bytes, bytes.len() / 2));
        }
    }
}

/// Applies, with equal probability, all of a change, nothing of it, or a part. The part of a write is its bytes
/// before or from a random index on; the part of a truncation is nothing.
fn apply_random_survival(content: &mut Vec<u8>, change: &Change, random: &mut Rand64) {
    match random.rand_range(0..3) {
        0 => apply(content, change),
        1 => {}
        _ => {
            if let Change::Write { offset, bytes } = change {
                let index = random.rand_range(0..bytes.len() as u64 + 1);
                let index = usize::try_from(index).expect("an index");
                let survivor = if random.rand_range(0..2) == 0 {
                    write_prefix(*offset, bytes, index)
                } else {
                    write_suffix(*offset, bytes, index)
                };
                apply(content, &survivor);
            }
        }
    }
}

/// The first `index` bytes of a write.
fn write_prefix(offset: u64, bytes: &[u8], index: usize) -> Change {
    Change::Write {
        offset,
        bytes: bytes[..index].to_vec(),
    }
}

/// The bytes of a write from `index` on.
fn write_suffix(offset: u64, bytes: &[u8], index: usize) -> Change {
    Change::Write {
        offset: offset + index as u64,
        bytes: bytes[index..].to_vec(),
    }
}
