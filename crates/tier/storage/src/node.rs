//! State machine of one storage machine, without I/O or clock: computes the answers to requests and the records for
//! the journal. [`Server`](crate::server::Server) executes its steps.
//!
//! A request is either answered at once or leads to a record that must be synced first; the answer to the latter is
//! built from the receipt of that sync.

use std::time::Duration;

use woadreach_journal::Synced;

use crate::budget::Reservation;
use crate::message::{
    Answer, FencingToken, Operation, ProgramRecords, Request, Response, Settlement, decode, encode,
};
use crate::placement::is_in_group;
use crate::record::{Record, SnapshotWriter, snapshot_records};
use crate::store::{DigestPage, Store};
use crate::turn::TurnRecord;
use crate::view::{StorageMember, StorageView};

/// Upper bound of the bytes of turns in one answer; a single turn may exceed it.
const MAX_ANSWER_BYTES: usize = 512 << 10;
/// Upper bound of the digests in one answer.
const MAX_DIGESTS: usize = 4_000;
/// Bytes of a reservation in a message: 8 for the id, 8 for the tokens, 1 for the settled flag.
const RESERVATION_BYTES: usize = 17;

/// Action that the driver takes for a request.
#[derive(Debug)]
#[must_use]
pub enum Step {
    /// Send this answer.
    Reply(Response),
    /// Append the record to the journal, then build the answer from the receipt of its sync.
    Persist {
        /// Record to append.
        record: Vec<u8>,
        /// Answer to send after the sync.
        pending: Pending,
    },
    /// Replace the journal's snapshot, which makes every record in memory durable, then build the answer from the
    /// receipt.
    PersistSnapshot {
        /// Snapshot of the whole state.
        snapshot: Vec<u8>,
        /// Answer to send after the sync.
        pending: Pending,
    },
}

/// Answer to be sent once its record is synced.
#[derive(Debug)]
pub enum Pending {
    /// Answers with all reservations of this program.
    Reservations(String),
    /// Confirms that the record is stored.
    Stored,
    /// Answers that the turns are stored, but not all turns that they continue.
    MissingAncestors,
    /// Seals this epoch: requests of earlier ones are refused even after a restart.
    Sealed(u64),
    /// Marks the pull for this joint epoch as complete.
    Pulled(u64),
}

/// State of one storage machine.
#[derive(Clone, Debug)]
pub struct StorageNode {
    /// Name of the machine.
    name: String,
    /// Identity of its disk.
    disk: u64,
    /// Number of machines whose simultaneous failure is tolerated.
    tolerated_losses: usize,
    /// The newest view that this machine has received; its epoch is 0 before the first.
    view: StorageView,
    /// Requests of epochs before this one are refused even after a restart. At most the epoch of `view`.
    sealed_epoch: u64,
    /// Latest joint epoch whose pull is complete and synced; 0 if none.
    pulled_epoch: u64,
    /// Whether records in memory are missing from the journal because a write failed.
    has_unsynced_records: bool,
    store: Store,
}

impl StorageNode {
    /// The state of a machine with a new disk, and the record that gives the disk its identity.
    #[must_use]
    pub fn create(name: String, disk: u64, tolerated_losses: usize) -> (StorageNode, Vec<u8>) {
        let node = StorageNode {
            name,
            disk,
            tolerated_losses,
            view: StorageView::default(),
            sealed_epoch: 0,
            pulled_epoch: 0,
            has_unsynced_records: false,
            store: Store::default(),
        };
        (node, encode(&Record::Identity { disk }))
    }

    /// Recovers the state from the journal; `None` if the journal does not begin with the disk's identity or contains
    /// a record that cannot be decoded.
    #[must_use]
    pub fn recover(
        now: Duration,
        name: String,
        tolerated_losses: usize,
        snapshot: Option<&[u8]>,
        records: &[Vec<u8>],
    ) -> Option<StorageNode> {
        let snapshot = snapshot.map_or(Some(Vec::new()), snapshot_records)?;
        let mut all = snapshot
            .into_iter()
            .chain(records.iter().map(Vec::as_slice));
        let Record::Identity { disk } = decode(all.next()?).ok()? else {
            return None;
        };
        let (mut node, _) = StorageNode::create(name, disk, tolerated_losses);
        for bytes in all {
            match decode::<Record>(bytes).ok()? {
                Record::Identity { .. } => return None,
                Record::View(view) => {
                    node.sealed_epoch = view.epoch;
                    node.view = view;
                }
                Record::Program(records) => {
                    node.store.merge(now, records);
                }
            }
        }
        Some(node)
    }

    /// Snapshot of the durable state, for [`StorageNode::recover`].
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Vec<u8> {
        let mut snapshot = SnapshotWriter::new(self.store.bytes());
        snapshot.push(&Record::Identity { disk: self.disk });
        if self.view.epoch > 0 {
            snapshot.push(&Record::View(self.view.clone()));
        }
        for program in self
            .store
            .names()
            .filter_map(|name| self.store.program(now, name))
        {
            snapshot.push(&Record::Program(program));
        }
        snapshot.finish()
    }

    /// Identity of the disk.
    #[must_use]
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Name of the machine.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The newest view that this machine has received.
    #[must_use]
    pub fn view(&self) -> &StorageView {
        &self.view
    }

    /// Number of machines whose simultaneous failure is tolerated.
    #[must_use]
    pub fn tolerated_losses(&self) -> usize {
        self.tolerated_losses
    }

    /// Latest joint epoch whose pull is complete; 0 if none.
    #[must_use]
    pub fn pulled_epoch(&self) -> u64 {
        self.pulled_epoch
    }

    /// Whether a process that is shutting down may exit, even if its disk is never available again: the view no longer
    /// includes this disk, or too few other machines exist to replace it.
    #[must_use]
    pub fn may_shut_down(&self) -> bool {
        let is_here = |member: &StorageMember| member.disk == self.disk;
        if !self.view.members().into_iter().any(is_here) {
            return true;
        }
        let is_being_replaced = !self.view.latest().iter().any(is_here);
        let others = self
            .view
            .latest()
            .iter()
            .filter(|member| member.node != self.name)
            .count();
        !is_being_replaced && others <= 2 * self.tolerated_losses
    }

    /// Ends the pull for `epoch`, whose records are all in memory. Earlier records may not be synced yet, so the step
    /// appends one more record after them, or writes a snapshot if appending any of them failed.
    pub fn finish_pull(&mut self, now: Duration, epoch: u64) -> Step {
        let pending = Pending::Pulled(epoch);
        if self.has_unsynced_records {
            self.has_unsynced_records = false;
            return Step::PersistSnapshot {
                snapshot: self.snapshot(now),
                pending,
            };
        }
        Step::Persist {
            record: encode(&Record::View(self.view.clone())),
            pending,
        }
    }

    /// Turns and budgets of this machine.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Removes turns and budgets that have expired by `now`.
    pub fn expire(&mut self, now: Duration) {
        self.store.expire(now);
    }

    /// Handles a request that was received at `now`.
    pub fn handle(&mut self, now: Duration, request: Request) -> Step {
        if let Operation::NewView { view } = request.operation {
            return self
                .learn_view(view)
                .unwrap_or_else(|| self.reply(Answer::Stored));
        }
        if let Err(answer) = self.admit(request.fencing_token) {
            return self.reply(answer);
        }
        match request.operation {
            Operation::Reserve {
                program,
                reservation,
                max_tokens,
            } => self.reserve(now, program, reservation, max_tokens),
            Operation::Settle {
                program,
                settlement,
            } => self.settle(now, program, settlement),
            Operation::PutTurns {
                program,
                turns,
                settlement,
            } => self.put_turns(now, program, turns, settlement),
            Operation::ReadChain {
                program,
                request_id,
            } => {
                let chain = self.store.chain(&program, &request_id, MAX_ANSWER_BYTES);
                let turns = chain.iter().map(|turn| TurnRecord::clone(turn)).collect();
                self.reply(Answer::Chain { turns })
            }
            Operation::Find { request_id } => self.reply(Answer::Found {
                programs: self.store.programs_of(&request_id),
            }),
            Operation::Digests { node, after } => {
                self.digests(request.fencing_token, &node, after.as_deref())
            }
            Operation::Fetch { programs } => self.fetch(now, &programs),
            Operation::NewView { .. } => unreachable!("handled above"),
        }
    }

    /// Answer to a request whose record is synced.
    #[must_use]
    pub fn complete(&mut self, pending: Pending, _synced: &Synced) -> Response {
        match pending {
            Pending::Reservations(program) => {
                let reservations = self.store.reservations(&program);
                self.response(Answer::Reserved { reservations })
            }
            Pending::Stored => self.response(Answer::Stored),
            Pending::MissingAncestors => self.response(Answer::missing_ancestors()),
            Pending::Sealed(epoch) => {
                self.sealed_epoch = self.sealed_epoch.max(epoch);
                self.response(Answer::Stored)
            }
            Pending::Pulled(epoch) => {
                self.pulled_epoch = self.pulled_epoch.max(epoch);
                self.response(Answer::Stored)
            }
        }
    }

    /// Answer to a request whose record could not be written to disk.
    #[must_use]
    pub fn persist_failed(&mut self) -> Response {
        self.has_unsynced_records = true;
        self.response(Answer::Failed)
    }

    /// Adopts a newer view: requests of older epochs are refused at once, and pulls are served once it is synced.
    /// `None` if the view is not newer.
    pub fn learn_view(&mut self, view: StorageView) -> Option<Step> {
        // A known view that is not sealed is written again: the earlier write may have failed.
        if view.epoch < self.view.epoch || view.epoch <= self.sealed_epoch {
            return None;
        }
        let epoch = view.epoch;
        let record = encode(&Record::View(view.clone()));
        self.view = view;
        Some(Step::Persist {
            record,
            pending: Pending::Sealed(epoch),
        })
    }

    /// Merges records from another machine; `None` if none of them is new.
    pub fn merge(&mut self, now: Duration, records: ProgramRecords) -> Option<Step> {
        let record = encode(&Record::Program(records.clone()));
        let changed = self.store.merge(now, records);
        changed.then_some(Step::Persist {
            record,
            pending: Pending::Stored,
        })
    }

    fn admit(&self, fencing_token: FencingToken) -> Result<(), Answer> {
        if fencing_token.disk != self.disk {
            return Err(Answer::WrongDisk);
        }
        if fencing_token.epoch < self.view.epoch {
            return Err(Answer::Stale {
                view: self.view.clone(),
            });
        }
        Ok(())
    }

    fn reserve(&mut self, now: Duration, program: String, id: u64, max_tokens: u64) -> Step {
        let reservation = Reservation {
            id,
            tokens: max_tokens,
            settled: false,
        };
        let records = Store::records(program.clone(), vec![reservation], Vec::new());
        self.persist(now, records, Pending::Reservations(program))
    }

    fn settle(&mut self, now: Duration, program: String, settlement: Settlement) -> Step {
        let records = Store::records(program, vec![settled(settlement)], Vec::new());
        self.persist(now, records, Pending::Stored)
    }

    /// Stores turns of a program. A turn counts as stored only together with all turns that it continues: these may
    /// have expired while it was run, or this machine may have missed them. Once they are stored together, they also
    /// expire together.
    fn put_turns(
        &mut self,
        now: Duration,
        program: String,
        turns: Vec<TurnRecord>,
        settlement: Option<Settlement>,
    ) -> Step {
        if turns.iter().any(|turn| turn.program != program) {
            return self.reply(Answer::Malformed);
        }
        let newest = turns.last().map(|turn| turn.request_id.clone());
        let reservations = settlement.map(settled).into_iter().collect();
        let records = Store::records(program.clone(), reservations, turns);
        let record = encode(&Record::Program(records.clone()));
        self.store.merge(now, records);
        let is_complete =
            newest.is_none_or(|newest| self.store.has_complete_chain(&program, &newest));
        let pending = if is_complete {
            Pending::Stored
        } else {
            Pending::MissingAncestors
        };
        Step::Persist { record, pending }
    }

    fn persist(&mut self, now: Duration, records: ProgramRecords, pending: Pending) -> Step {
        let record = encode(&Record::Program(records.clone()));
        self.store.merge(now, records);
        Step::Persist { record, pending }
    }

    fn digests(&self, fencing_token: FencingToken, node: &str, after: Option<&str>) -> Step {
        if self.sealed_epoch < fencing_token.epoch {
            return self.reply(Answer::Behind);
        }
        let wanted =
            |program: &str| is_in_group(self.view.latest(), program, self.tolerated_losses, node);
        let DigestPage { digests, more } = self.store.digests(after, MAX_DIGESTS, wanted);
        self.reply(Answer::DigestPage { digests, more })
    }

    fn fetch(&self, now: Duration, names: &[String]) -> Step {
        let mut programs = Vec::new();
        let mut bytes = 0;
        for name in names {
            if bytes > MAX_ANSWER_BYTES {
                break;
            }
            let expired = || Store::records(name.clone(), Vec::new(), Vec::new());
            let records = self.store.program(now, name).unwrap_or_else(expired);
            bytes += records.turns.iter().map(TurnRecord::size).sum::<usize>()
                + records.reservations.len() * RESERVATION_BYTES;
            programs.push(records);
        }
        self.reply(Answer::Records { programs })
    }

    fn reply(&self, answer: Answer) -> Step {
        Step::Reply(self.response(answer))
    }

    fn response(&self, answer: Answer) -> Response {
        Response {
            epoch: self.view.epoch,
            answer,
        }
    }
}

/// The reservation of a turn that has ended.
fn settled(settlement: Settlement) -> Reservation {
    Reservation {
        id: settlement.reservation,
        tokens: settlement.delivered_tokens,
        settled: true,
    }
}
