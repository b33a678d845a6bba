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

    /// Loses power: each unsynced change is present, missing or torn; one time in four all are missing.
    pub fn lose_power(&self, random: &mut Rand64) {
        let mut state = self.state.lock();
        for file in &mut state.files {
            let all_missing = random.rand_range(0..4) == 0;
            for change in std::mem::take(&mut file.unsynced) {
                if !all_missing {
                    survive(&mut file.durable, &change, random);
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
        let refused = match state.fault {
            DiskFault::Full => Some(io::ErrorKind::StorageFull),
            DiskFault::Failing => Some(io::ErrorKind::Other),
            DiskFault::Healthy | DiskFault::FailingSync | DiskFault::IgnoresSync => None,
        };
        let done = if refused.is_some() { bytes.len() / 2 } else { bytes.len() };
        let change = Change::Write { offset, bytes: bytes[..done].to_vec() };
        state.files[slot.index()].unsynced.push(change);
        refused.map_or(Ok(()), |kind| Err(kind.into()))
    }

    fn truncate(&mut self, slot: Slot, length: u64) -> io::Result<()> {
        self.state.lock().files[slot.index()].unsynced.push(Change::Truncate { length });
        Ok(())
    }

    fn sync(&mut self, slot: Slot) -> io::Result<()> {
        let mut state = self.state.lock();
        state.syncs += 1;
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

/// Present, missing, or (a write) torn into a random part of itself.
fn survive(content: &mut Vec<u8>, change: &Change, random: &mut Rand64) {
    match random.rand_range(0..3) {
        0 => apply(content, change),
        1 => {}
        _ => {
            if let Change::Write { offset, bytes } = change {
                let cut = random.rand_range(0..bytes.len() as u64 + 1);
                let at = usize::try_from(cut).expect("an index");
                let kept = if random.rand_range(0..2) == 0 {
                    Change::Write { offset: *offset, bytes: bytes[..at].to_vec() }
                } else {
                    Change::Write { offset: offset + cut, bytes: bytes[at..].to_vec() }
                };
                apply(content, &kept);
            }
        }
    }
}
