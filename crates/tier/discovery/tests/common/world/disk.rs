//! Disks of core machines, and the departures that the machines write to them.

use std::time::Duration;

use woadreach_discovery::departure_record::{decode_departures, encode_departures};

use super::World;
use super::core_node::core_address;
use super::event::{Event, Message, Node};

/// Duration of a write and its sync.
const SYNC_DURATION: Duration = Duration::from_millis(5);

/// Disk of a core machine. It outlasts the processes of the machine.
#[derive(Default)]
pub(crate) struct CoreDisk {
    /// Records that are synced, oldest first.
    records: Vec<Vec<u8>>,
    /// Whether no write finishes.
    pub(crate) is_stalled: bool,
    /// Whether a process that starts finds nothing on the disk, as before departures were written there.
    pub(crate) forgets: bool,
    /// Whether departures are confirmed before they are synced. Tests use this to show that they detect lost ones.
    pub(crate) confirms_before_sync: bool,
}

impl CoreDisk {
    /// Number of writes since the disk was empty, each with one sync.
    pub(crate) fn writes(&self) -> usize {
        self.records.len()
    }

    /// Bytes of all records since the disk was empty.
    pub(crate) fn bytes(&self) -> usize {
        self.records.iter().map(Vec::len).sum()
    }
}

/// Confirmation of a departure, which waits until it is on disk.
pub(super) struct PendingConfirmation {
    /// Number up to which departures must be synced.
    number: u64,
    confirmation: Confirmation,
}

/// Who waits for a machine's confirmation.
#[derive(Clone, Copy)]
pub(super) enum Confirmation {
    /// Another core machine, which has sent the departure.
    Peer {
        to: Node,
        call: u64,
        incarnation: u64,
    },
    /// The machine itself, which received the departure from the replica.
    Own { call: u64 },
}

impl World {
    /// Replaces the disk of a core machine by an empty one. The process must be down.
    pub(crate) fn lose_disk(&mut self, core: usize) {
        self.cores[core].disk.records.clear();
    }

    pub(crate) fn set_disk_stalled(&mut self, core: usize, is_stalled: bool) {
        self.cores[core].disk.is_stalled = is_stalled;
        self.write_departures(core);
    }

    /// Restores the departures on disk after the process has started.
    pub(super) fn recover_departures(&mut self, core: usize) {
        let now = self.now;
        let node = &mut self.cores[core];
        node.pending_confirmations.clear();
        node.is_writing = false;
        if node.disk.forgets {
            node.disk.records.clear();
        }
        let departures = node
            .disk
            .records
            .iter()
            .flat_map(|record| decode_departures(record).expect("a valid record"))
            .collect();
        node.state.restore_departures(now, departures);
    }

    /// Starts to write the queued departures, unless a write is in progress.
    pub(super) fn write_departures(&mut self, core: usize) {
        let node = &mut self.cores[core];
        if node.is_writing || node.disk.is_stalled {
            return;
        }
        let Some(batch) = node.state.next_departures() else {
            return;
        };
        node.is_writing = true;
        let written = Event::DeparturesWritten {
            core,
            incarnation: node.incarnation,
            number: batch.number,
            record: encode_departures(batch.departures),
        };
        self.schedule(self.now + SYNC_DURATION, written);
    }

    /// Completes a write, unless the disk has stalled meanwhile.
    pub(super) fn departures_written(&mut self, core: usize, number: u64, record: Vec<u8>) {
        let node = &mut self.cores[core];
        let incarnation = node.incarnation;
        if node.disk.is_stalled {
            let retry = Event::DeparturesWritten {
                core,
                incarnation,
                number,
                record,
            };
            return self.schedule(self.now + SYNC_DURATION, retry);
        }
        node.disk.records.push(record);
        node.is_writing = false;
        node.state.record_departures_synced(number);
        let (due, pending) = std::mem::take(&mut node.pending_confirmations)
            .into_iter()
            .partition(|pending: &PendingConfirmation| pending.number <= number);
        node.pending_confirmations = pending;
        for PendingConfirmation { confirmation, .. } in due {
            self.confirm(core, confirmation);
        }
        self.write_departures(core);
    }

    /// Confirms the departures of `ids` once they are on the disk of `core`.
    pub(super) fn confirm_when_on_disk(
        &mut self,
        core: usize,
        ids: &[String],
        confirmation: Confirmation,
    ) {
        let node = &self.cores[core];
        match node.state.unsynced_departure(ids) {
            Some(number) if !node.disk.confirms_before_sync => {
                let pending = PendingConfirmation {
                    number,
                    confirmation,
                };
                self.cores[core].pending_confirmations.push(pending);
            }
            _ => self.confirm(core, confirmation),
        }
    }

    fn confirm(&mut self, core: usize, confirmation: Confirmation) {
        match confirmation {
            Confirmation::Peer {
                to,
                call,
                incarnation,
            } => {
                let confirmed = Message::UrgentAcknowledged { call, incarnation };
                self.send(Node::Core(core), to, confirmed);
            }
            Confirmation::Own { call } => {
                self.departure_confirmed(core, call, core_address(core));
            }
        }
    }
}
