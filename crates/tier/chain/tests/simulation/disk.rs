//! A machine's disk. Synced records are lost only by a wipe. Of the unsynced records, a prefix may survive a crash.

use std::collections::VecDeque;

use woadreach_chain::{Durable, Record};

use super::capacity::record_bytes;

/// A disk with a delay between writing and syncing records.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedDisk {
    /// State with every synced record applied.
    pub synced: Durable,
    /// Unsynced records with their numbers, in ascending order.
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
        // The record is encoded and decoded, as by a real disk.
        let record = Record::decode(&record.encode()).expect("own record");
        self.unsynced.push_back((number, record));
    }

    /// Number of the last unsynced record.
    pub(crate) fn last_unsynced(&self) -> Option<u64> {
        self.unsynced.back().map(|(number, _)| *number)
    }

    /// Completes a sync that began when record `through` was the last one.
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

    /// Crash of the process or of the machine: only the first `retained` of the unsynced records survive.
    pub(crate) fn crash(&mut self, retained: usize) {
        for (_, record) in self.unsynced.drain(..).take(retained) {
            self.synced.apply(&record);
        }
    }

    /// Size of the unsynced records in bytes.
    pub(crate) fn unsynced_bytes(&self) -> u64 {
        self.unsynced
            .iter()
            .map(|(_, record)| record_bytes(record))
            .sum()
    }

    pub(crate) fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }
}
