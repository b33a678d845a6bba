//! One simulated storage machine: the real `StorageNode`, its journal on a simulated disk, and group commit.

use std::collections::VecDeque;
use std::time::Duration;

use oorandom::Rand64;
use woadreach_journal::{DiskFault, Engine, JournalError, SimulatedDisk, Synced};
use woadreach_storage::announce::Announcement;
use woadreach_storage::message::{Operation, Request, Response};
use woadreach_storage::node::{Pending, Step, StorageNode};
use woadreach_storage::pull::{Pages, Pull};
use woadreach_storage::{StorageMember, StorageView};

use super::mutation::Mutation;
use super::stops::Stop;

const MAX_BYTES: u64 = 64 << 20;

/// Receiver of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caller {
    /// A call over the network.
    Call(u64),
    /// The machine itself, for a record that was pulled from the disk with this identity.
    PulledFrom(u64),
    /// No receiver: the record is the machine's own.
    Nobody,
}

/// Record to be synced, and the answer that depends on the sync.
pub(crate) struct QueuedRecord {
    record: Record,
    pending: Pending,
    caller: Caller,
}

enum Record {
    Append(Vec<u8>),
    Replace(Vec<u8>),
}

/// Pull from one source.
pub(crate) struct Source {
    pub member: StorageMember,
    pub pages: Pages,
    /// Records of the last page that are not synced yet.
    pub unsynced: usize,
    pub done: bool,
}

/// Pull for one epoch.
pub(crate) struct Pulling {
    pub progress: Pull,
    pub sources: Vec<Source>,
    pub finishing: bool,
}

impl Pulling {
    /// Source with this disk identity.
    pub(crate) fn source_mut(&mut self, disk: u64) -> Option<&mut Source> {
        self.sources
            .iter_mut()
            .find(|source| source.member.disk == disk)
    }
}

/// A running process.
pub(crate) struct Process {
    pub node: StorageNode,
    engine: Engine,
    queue: VecDeque<QueuedRecord>,
    batch: Vec<QueuedRecord>,
    pub pulling: Option<Pulling>,
}

pub(crate) struct Machine {
    pub node: String,
    pub zone: String,
    pub address: std::net::SocketAddr,
    pub disk: SimulatedDisk,
    pub identity: u64,
    /// Incremented at each start, so that events of an earlier process are dropped.
    pub incarnation: u64,
    pub process: Option<Process>,
    pub frozen: bool,
    /// Whether requests and announcements from this machine are dropped.
    pub outbound_partitioned: bool,
    /// Whether requests and views to this machine are dropped.
    pub inbound_partitioned: bool,
    pub stalled: bool,
    pub removed: bool,
    /// Graceful shutdown in progress and the time at which it was requested; `None` without one.
    pub stop: Option<(Stop, Duration)>,
}

impl Machine {
    /// Pull in progress; `None` if the process is down or does not pull.
    pub(crate) fn pulling_mut(&mut self) -> Option<&mut Pulling> {
        self.process.as_mut()?.pulling.as_mut()
    }

    pub(crate) fn announcement(&self) -> Option<Announcement> {
        let process = self.process.as_ref()?;
        let member = self.member(process.node.disk());
        Some(Announcement {
            member,
            pulled_epoch: process.node.pulled_epoch(),
            shutting_down: self.stop.is_some(),
        })
    }

    pub(crate) fn member(&self, disk: u64) -> StorageMember {
        StorageMember {
            node: self.node.clone(),
            disk,
            address: self.address,
            zone: self.zone.clone(),
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.process.is_some() && !self.frozen
    }

    /// Starts the process and recovers its state from the disk.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        tolerated_losses: usize,
        random: &mut Rand64,
        mutation: Mutation,
    ) {
        self.incarnation += 1;
        self.disk.set_fault(match mutation {
            Mutation::EndBeforeSync => DiskFault::IgnoresSync,
            _ => DiskFault::Healthy,
        });
        let opened = Engine::open(Box::new(self.disk.clone()), MAX_BYTES);
        let (mut engine, found) = match opened {
            Ok(opened) => opened,
            Err(JournalError::Corrupt { .. }) => {
                self.disk.wipe();
                Engine::open(Box::new(self.disk.clone()), MAX_BYTES).unwrap()
            }
            Err(error) => panic!("{error}"),
        };
        let snapshot = found.snapshot.as_deref();
        let recovered = StorageNode::recover(
            now,
            self.node.clone(),
            tolerated_losses,
            snapshot,
            &found.records,
        );
        let node = recovered.unwrap_or_else(|| {
            if mutation != Mutation::WipedMachineCounts || self.identity == 0 {
                self.identity = random.rand_u64();
            }
            let (node, record) =
                StorageNode::create(self.node.clone(), self.identity, tolerated_losses);
            let _ = engine.append_batch(&[record]).unwrap();
            node
        });
        self.identity = node.disk();
        let (queue, batch) = (VecDeque::new(), Vec::new());
        self.process = Some(Process {
            node,
            engine,
            queue,
            batch,
            pulling: None,
        });
    }

    /// Kills the process; with `power`, the disk may lose data that is not synced.
    pub(crate) fn kill(&mut self, random: &mut Rand64, power: bool) {
        if let Some(mut process) = self.process.take() {
            self.disk.set_fault(DiskFault::FailingSync);
            let records = process
                .batch
                .iter()
                .filter_map(|queued| match &queued.record {
                    Record::Append(record) => Some(record.clone()),
                    Record::Replace(_) => None,
                });
            let _ = process.engine.append_batch(&records.collect::<Vec<_>>());
        }
        if power {
            self.disk.lose_power(random);
        }
        self.frozen = false;
        self.stalled = false;
        self.stop = None;
    }

    /// Handles a request; returns the answer unless it depends on a sync.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        mut request: Request,
        call: u64,
        mutation: Mutation,
    ) -> Option<Response> {
        let process = self.process.as_mut()?;
        if mutation == Mutation::Unfenced {
            request.fencing_token.epoch =
                request.fencing_token.epoch.max(process.node.view().epoch);
        }
        let is_reserve = matches!(request.operation, Operation::Reserve { .. });
        process.node.expire(now);
        let mut step = process.node.handle(now, request);
        if mutation == Mutation::ChainNotRequired
            && let Step::Persist { pending, .. } = &mut step
            && matches!(pending, Pending::MissingAncestors)
        {
            *pending = Pending::Stored;
        }
        if mutation == Mutation::ReservationInMemory
            && is_reserve
            && let Step::Persist { pending, .. } = step
        {
            return Some(process.node.complete(pending, &receipt_of_another_disk()));
        }
        self.take(step, Caller::Call(call))
    }

    /// Queues the step's record for a sync, or returns the answer of a step without one.
    pub(crate) fn take(&mut self, step: Step, caller: Caller) -> Option<Response> {
        let process = self.process.as_mut()?;
        let (record, pending) = match step {
            Step::Reply(response) => return Some(response),
            Step::Persist { record, pending } => (Record::Append(record), pending),
            Step::PersistSnapshot { snapshot, pending } => (Record::Replace(snapshot), pending),
        };
        process.queue.push_back(QueuedRecord {
            record,
            pending,
            caller,
        });
        None
    }

    pub(crate) fn learn_view(&mut self, view: StorageView) {
        let Some(process) = self.process.as_mut() else {
            return;
        };
        if let Some(step) = process.node.learn_view(view) {
            let answer = self.take(step, Caller::Nobody);
            assert!(answer.is_none());
        }
    }

    /// Moves queued records into a batch; returns whether a sync starts.
    pub(crate) fn begin_sync(&mut self) -> bool {
        let stalled = self.stalled;
        let Some(process) = self.process.as_mut() else {
            return false;
        };
        if stalled || !process.batch.is_empty() || process.queue.is_empty() {
            return false;
        }
        let first_is_replacement = matches!(process.queue[0].record, Record::Replace(_));
        let appends = process
            .queue
            .iter()
            .take_while(|queued| matches!(queued.record, Record::Append(_)));
        let count = if first_is_replacement {
            1
        } else {
            appends.count()
        };
        process.batch = process.queue.drain(..count).collect();
        true
    }

    /// Completes the sync of the batch and returns the answers to all callers.
    pub(crate) fn end_sync(&mut self) -> Vec<(Caller, Response)> {
        let Some(process) = self.process.as_mut() else {
            return Vec::new();
        };
        let batch = std::mem::take(&mut process.batch);
        let outcome = match &batch[0].record {
            Record::Replace(snapshot) => process.engine.replace(snapshot),
            Record::Append(_) => {
                let records = batch.iter().filter_map(|queued| match &queued.record {
                    Record::Append(record) => Some(record.clone()),
                    Record::Replace(_) => None,
                });
                process.engine.append_batch(&records.collect::<Vec<_>>())
            }
        };
        let answers = batch.into_iter().map(|queued| {
            let response = match &outcome {
                Ok(synced) => process.node.complete(queued.pending, synced),
                Err(_) => process.node.persist_failed(),
            };
            (queued.caller, response)
        });
        answers.collect()
    }
}

/// Receipt for a sync of an unrelated disk, used to acknowledge a record that was not synced.
fn receipt_of_another_disk() -> Synced {
    let (mut engine, _) = Engine::open(Box::new(SimulatedDisk::default()), MAX_BYTES).unwrap();
    engine.append_batch(&[Vec::new()]).unwrap()
}
