//! One storage machine of the model: the real `StorageNode`, its journal records, and its pull.

use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use woadreach_journal::{Engine, SimulatedDisk, Synced};
use woadreach_storage::announce::Announcement;
use woadreach_storage::message::{Answer, FencingToken, Operation, Request, Response};
use woadreach_storage::node::{Step, StorageNode};
use woadreach_storage::pull::Pull;
use woadreach_storage::{StorageMember, StorageView};

/// Time of all operations: the model has no clock.
const NOW: Duration = Duration::ZERO;
const MAX_BYTES: u64 = 1 << 20;

/// Machine with its current process. Syncs complete immediately.
#[derive(Clone)]
pub(crate) struct Machine {
    index: u8,
    pub node: StorageNode,
    /// Records on the disk, oldest first.
    records: Vec<Vec<u8>>,
    /// Progress of the pull for the machine's latest view; `None` before the first view and after a restart.
    pub pull: Option<Pull>,
    /// Hash of the machine's state, for comparing model states; `None` after a change until it is computed again.
    digest: Option<u64>,
}

thread_local! {
    static JOURNAL: RefCell<Engine> = RefCell::new(empty_journal());
}

fn empty_journal() -> Engine {
    Engine::open(Box::new(SimulatedDisk::default()), MAX_BYTES)
        .expect("an empty disk")
        .0
}

/// Receipt of a sync, which only a journal can create.
fn receipt() -> Synced {
    JOURNAL.with_borrow_mut(|journal| {
        journal.append_batch(&[vec![0]]).unwrap_or_else(|_| {
            *journal = empty_journal();
            journal.append_batch(&[vec![0]]).expect("a healthy disk")
        })
    })
}

pub(crate) fn storage_member(index: u8, disk: u64) -> StorageMember {
    StorageMember {
        node: format!("store-{index}"),
        disk,
        address: ([10, 0, 0, index + 1], 7_000).into(),
        zone: format!("zone-{index}"),
    }
}

impl Machine {
    pub(crate) fn create(index: u8, disk: u64, tolerated_losses: usize) -> Machine {
        let (node, record) = StorageNode::create(format!("store-{index}"), disk, tolerated_losses);
        Machine {
            index,
            node,
            records: vec![record],
            pull: None,
            digest: None,
        }
    }

    /// Restarts the process from the records on its disk.
    pub(crate) fn restart(&mut self, tolerated_losses: usize) {
        let node = self.node.name().to_owned();
        self.node = StorageNode::recover(NOW, node, tolerated_losses, None, &self.records)
            .expect("the machine's own records are readable");
        self.pull = None;
        self.digest = None;
    }

    pub(crate) fn identity(&self) -> StorageMember {
        storage_member(self.index, self.node.disk())
    }

    pub(crate) fn announcement(&self) -> Announcement {
        Announcement {
            member: self.identity(),
            pulled_epoch: self.node.pulled_epoch(),
            shutting_down: false,
        }
    }

    fn finish(&mut self, step: Step) -> Response {
        match step {
            Step::Reply(response) => response,
            Step::Persist { record, pending } => {
                self.records.push(record);
                self.node.complete(pending, &receipt())
            }
            Step::PersistSnapshot { .. } => unreachable!("no disk fails in the model"),
        }
    }

    /// Handles a request sent under `epoch` to `disk` and returns the answer.
    pub(crate) fn request(&mut self, epoch: u64, disk: u64, operation: Operation) -> Answer {
        let request = Request {
            fencing_token: FencingToken { epoch, disk },
            operation,
        };
        let step = self.node.handle(NOW, request);
        let answer = self.finish(step).answer;
        self.digest = None;
        answer
    }

    /// Answer to a read-only request; the machine's state is unchanged.
    pub(crate) fn read(&self, epoch: u64, disk: u64, operation: Operation) -> Answer {
        let request = Request {
            fencing_token: FencingToken { epoch, disk },
            operation,
        };
        match self.node.clone().handle(NOW, request) {
            Step::Reply(response) => response.answer,
            step => unreachable!("{step:?}"),
        }
    }

    pub(crate) fn learn(&mut self, view: &StorageView, tolerated_losses: usize) {
        if let Some(step) = self.node.learn_view(view.clone()) {
            let _ = self.finish(step);
            self.pull = Some(Pull::new(view, self.node.disk(), tolerated_losses));
        }
        self.digest = None;
    }

    /// Stores records that were pulled from another machine.
    pub(crate) fn store_pulled(
        &mut self,
        records: Vec<woadreach_storage::message::ProgramRecords>,
    ) {
        for records in records {
            if let Some(step) = self.node.merge(NOW, records) {
                let _ = self.finish(step);
            }
        }
        self.digest = None;
    }

    /// Records that all records of one source are stored; finishes the pull if no further source is needed.
    pub(crate) fn finished_source(&mut self, disk: u64) {
        let Some(pull) = &mut self.pull else { return };
        pull.record_finished(disk);
        self.finish_pull_if_complete();
    }

    pub(crate) fn finish_pull_if_complete(&mut self) {
        let Some(pull) = self.pull.as_ref().filter(|pull| pull.is_complete()) else {
            return;
        };
        let epoch = pull.epoch();
        let disk = self.node.disk();
        let joins = self
            .node
            .view()
            .next
            .iter()
            .flatten()
            .any(|member| member.disk == disk);
        if joins && self.node.pulled_epoch() < epoch {
            let step = self.node.finish_pull(NOW, epoch);
            let _ = self.finish(step);
        }
        self.digest = None;
    }

    pub(crate) fn has_digest(&self) -> bool {
        self.digest.is_some()
    }

    pub(crate) fn compute_digest(&mut self) {
        let mut hasher = DefaultHasher::new();
        self.node.snapshot(NOW).hash(&mut hasher);
        (self.node.pulled_epoch(), format!("{:?}", self.pull)).hash(&mut hasher);
        self.digest = Some(hasher.finish());
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest.expect("computed at the end of each action")
    }
}
