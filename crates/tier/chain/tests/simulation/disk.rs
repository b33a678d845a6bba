//! A machine's disk: what is synced survives everything but a wipe; of the rest a prefix may.

use std::collections::VecDeque;

use woadreach_chain::{Durable, Record};

use super::capacity::record_bytes;

/// Records with their numbers, on a disk that syncs after a while.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedDisk {
    /// State with every record that is synced.
    pub synced: Durable,
    /// Records that a sync has yet to cover.
    unsynced: VecDeque<(u64, Record)>,
}

impl SimulatedDisk {
    pub(crate) fn new(durable: Durable) -> SimulatedDisk {
        SimulatedDisk {
            synced: durable,
            unsynced: VecDeque::new(),
        }
    }

    pub(crate) fn append(&mut self, number: u64, record: Record) {
        // A record is encoded and decoded, as on its way to a disk and back.
        let record = Record::decode(&record.encode()).expect("own record");
        self.unsynced.push_back((number, record));
    }

    /// Number of the last record that waits.
    pub(crate) fn last_waiting(&self) -> Option<u64> {
        self.unsynced.back().map(|(number, _)| *number)
    }

    /// A sync that began when record `through` was the last one has ended.
    pub(crate) fn sync(&mut self, through: u64) {
        while self
            .unsynced
            .front()
            .is_some_and(|(number, _)| *number <= through)
        {
            let (_, record) = self.unsynced.pop_front().expect("front");
            self.synced.apply(&record);
        }
    }

    /// The process or the machine is gone: of the records that wait, the first `retained` are found again.
    pub(crate) fn lose(&mut self, retained: usize) {
        for (_, record) in self.unsynced.drain(..).take(retained) {
            self.synced.apply(&record);
        }
    }

    /// Bytes of the records that wait.
    pub(crate) fn waiting_bytes(&self) -> u64 {
        self.unsynced
            .iter()
            .map(|(_, record)| record_bytes(record))
            .sum()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.unsynced.len()
    }
}
