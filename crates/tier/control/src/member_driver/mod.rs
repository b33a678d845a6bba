//! Runs a [`Member`] on the real clock, disk and network: where each step of a configuration change that the
//! member decides becomes a write to the disk, a message or a reply.
//!
//! [`MemberDriver::handle`] gives the member an event and executes its outputs. They are executed under the
//! lock under which they were decided, so that records reach the journal in the order of their numbers. Three
//! tasks run beside the callers: one awaits syncs of records, one awaits snapshots (both in `persistence`),
//! and one wakes the member when its next time-out is due.

mod persistence;

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::Instant;
use woadreach_chain::{
    ControlState, DecodeError, Durable, Envelope, ExitReadiness, Input, Member, MemberOptions,
    Output, Reply, Request, RequestId, Status, StoredStorageView, View,
};
use woadreach_journal::Journal;
use woadreach_rpc::{Client, ClientOptions, ServiceId};

use crate::durable_log::RecoveredMember;
use crate::journal_health::JournalHealth;

use persistence::{PendingSync, SyncFuture};

/// A disk that has not synced for this long is unhealthy.
const DISK_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A member and everything that it needs of its process.
pub struct MemberDriver {
    /// Origin of the member's clock.
    started: Instant,
    /// Connections for short messages.
    rpc: Client,
    /// Connections for bulk messages, so that short messages don't queue behind them.
    bulk_rpc: Client,
    journal: Journal,
    state: Mutex<DriverState>,
    /// Syncs of records, in the order of their numbers, for the task that awaits them.
    syncs: mpsc::UnboundedSender<PendingSync>,
    /// Snapshots that replace the log, for the task that awaits them.
    snapshots: mpsc::UnboundedSender<SyncFuture>,
    /// Wakes the timer's task before `DriverState::timer_deadline`.
    timer: Notify,
    /// Count of the changes that [`MemberDriver::changes`] reports.
    changes: watch::Sender<u64>,
}

struct DriverState {
    member: Member,
    /// Number of the last record of earlier incarnations. The member counts its records from 1; their numbers
    /// in the journal go on from here.
    recovered_number: u64,
    /// Number of the last record that the member has made. Must not be less than `recovered_number`.
    last_number: u64,
    journal_health: JournalHealth,
    /// What the member was last notified of.
    is_disk_healthy: bool,
    /// Records that were synced since the process started.
    synced_records: u64,
    /// Requests that the member has not answered.
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
    /// Number of the next request; rises by one with each.
    next_request: u64,
    /// When the timer's task wakes by itself.
    timer_deadline: Instant,
}

/// The state of a journal at one moment.
#[derive(Clone, Copy, Debug)]
pub struct JournalReport {
    /// Length of the log since the last snapshot.
    pub log_bytes: u64,
    /// For how long the disk has not finished an operation; zero if none is pending.
    pub stalled_for: Duration,
    /// Whether the disk takes records and syncs in time.
    pub is_healthy: bool,
    /// Records that were synced since the process started.
    pub synced_records: u64,
}

/// Cancels a request when its caller stops waiting for the reply.
struct RequestGuard<'a> {
    driver: &'a MemberDriver,
    id: RequestId,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        let is_waiting = self.driver.state.lock().replies.remove(&self.id).is_some();
        if is_waiting {
            self.driver.handle(Input::Cancel(self.id));
        }
    }
}

impl MemberDriver {
    /// Starts the member with the state `recovered`, all of which must be synced to `journal`'s disk. Must be
    /// called within a `tokio` runtime.
    pub fn start(
        options: MemberOptions,
        recovered: RecoveredMember,
        journal: Journal,
        rpc: Client,
    ) -> Arc<MemberDriver> {
        let (syncs, pending) = mpsc::unbounded_channel();
        let (snapshots, pending_snapshots) = mpsc::unbounded_channel();
        let (changes, _) = watch::channel(0);
        let member = Member::new(Duration::ZERO, options, recovered.durable);
        let started = Instant::now();
        let driver = Arc::new(MemberDriver {
            started,
            rpc,
            bulk_rpc: Client::new(ClientOptions::default()),
            journal,
            state: Mutex::new(DriverState {
                member,
                recovered_number: recovered.number,
                last_number: recovered.number,
                journal_health: JournalHealth::new(),
                is_disk_healthy: true,
                synced_records: 0,
                replies: HashMap::new(),
                next_request: 0,
                timer_deadline: started,
            }),
            syncs,
            snapshots,
            timer: Notify::new(),
            changes,
        });
        tokio::spawn(Arc::clone(&driver).await_syncs(pending));
        tokio::spawn(Arc::clone(&driver).await_snapshots(pending_snapshots));
        tokio::spawn(Arc::clone(&driver).run_timer());
        driver
    }

    /// Receives a message of another member.
    ///
    /// # Errors
    /// [`DecodeError`] if the message can't be read or is unsound. The member's state is then unchanged.
    pub fn receive(&self, body: &[u8]) -> Result<(), DecodeError> {
        let envelope = Envelope::decode(body)?;
        envelope.check()?;
        self.handle(Input::Message(envelope));
        Ok(())
    }

    /// Gives the member an input and executes its outputs.
    pub fn handle(&self, input: Input) {
        let mut state = self.state.lock();
        let outputs = state.member.handle(self.started.elapsed(), input);
        let is_changed = self.execute(&mut state, outputs);
        self.compact_if_due(&mut state);
        let wake = self.started + state.member.next_wake();
        let must_wake = wake < state.timer_deadline;
        drop(state);
        if must_wake {
            self.timer.notify_one();
        }
        if is_changed {
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Sends the member a request and waits for its reply, however long the chain takes. A member that isn't
    /// the head replies [`Reply::Unavailable`].
    pub async fn request(&self, request: Request) -> Reply {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.lock();
            let id = RequestId(state.next_request);
            state.next_request += 1;
            state.replies.insert(id, sender);
            id
        };
        let guard = RequestGuard { driver: self, id };
        self.handle(Input::Request(id, request));
        let reply = receiver.await.unwrap_or(Reply::Unavailable);
        drop(guard);
        reply
    }

    /// What the member knows of the core at this time.
    pub fn status(&self) -> Status {
        let now = self.started.elapsed();
        self.state.lock().member.status(now)
    }

    /// Whether the process of a member that is leaving may stop.
    pub fn exit_readiness(&self) -> ExitReadiness {
        let now = self.started.elapsed();
        self.state.lock().member.exit_readiness(now)
    }

    /// The newest committed state that this member knows.
    pub fn published(&self) -> Arc<ControlState> {
        Arc::clone(self.state.lock().member.published())
    }

    /// The storage view with every change that this head has appended, committed or not.
    pub fn latest_storage_view(&self) -> Option<StoredStorageView> {
        self.state.lock().member.latest().storage_view.clone()
    }

    /// The storage view in the newest committed state that this member knows.
    pub fn published_storage_view(&self) -> Option<StoredStorageView> {
        self.published().storage_view.clone()
    }

    /// The state of the journal.
    pub fn journal_report(&self) -> JournalReport {
        let state = self.state.lock();
        JournalReport {
            log_bytes: self.journal.log_bytes(),
            stalled_for: self.journal.stalled_for(),
            is_healthy: state.is_disk_healthy,
            synced_records: state.synced_records,
        }
    }

    /// A counter that rises with each change of the committed state, of the view, and of whether this machine
    /// is in quorum.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Executes outputs of the member. Returns whether the committed state or the view has changed.
    fn execute(&self, state: &mut DriverState, outputs: Vec<Output>) -> bool {
        let mut is_changed = false;
        for output in outputs {
            match output {
                Output::Persist { number, record } => self.persist(state, number, &record),
                Output::Send { to, envelope } => self.send(to, &envelope),
                Output::Reply { id, reply } => {
                    if let Some(sender) = state.replies.remove(&id) {
                        // The caller may have stopped waiting.
                        let _ = sender.send(reply);
                    }
                }
                Output::Committed(committed) => {
                    is_changed = true;
                    log_committed(&committed);
                }
                Output::ViewInstalled(view) => {
                    is_changed = true;
                    let (epoch, chain, voters) = (view.epoch, view.chain, view.voters);
                    tracing::info!(epoch, ?chain, ?voters, "view installed");
                }
                Output::ProposalStarted { epoch, reason } => {
                    tracing::info!(epoch, ?reason, "view proposal started");
                }
            }
        }
        is_changed
    }

    fn send(&self, to: SocketAddrV4, envelope: &Envelope) {
        let client = if envelope.body.is_bulk() {
            &self.bulk_rpc
        } else {
            &self.rpc
        };
        client.notify(SocketAddr::V4(to), ServiceId::CHAIN, envelope.encode());
    }

    /// Wakes the member whenever its next time-out is due, and reports changes of the disk's health and of
    /// quorum.
    async fn run_timer(self: Arc<Self>) {
        let mut was_in_quorum = false;
        let mut suspected = Vec::new();
        loop {
            let wake = {
                let mut state = self.state.lock();
                let wake = self.started + state.member.next_wake();
                state.timer_deadline = wake;
                wake
            };
            tokio::select! {
                () = tokio::time::sleep_until(wake) => {}
                () = self.timer.notified() => {}
            }
            self.check_disk();
            self.handle(Input::Tick);
            let status = self.status();
            log_suspicions(&mut suspected, status.suspected_voters);
            let in_quorum = status.in_quorum;
            if in_quorum != was_in_quorum {
                was_in_quorum = in_quorum;
                tracing::info!(in_quorum, "quorum contact changed");
                self.changes.send_modify(|version| *version += 1);
            }
        }
    }

    /// Notifies the member when the disk becomes unhealthy or healthy.
    fn check_disk(&self) {
        let is_healthy = {
            let mut state = self.state.lock();
            let is_healthy = state.journal_health.is_healthy()
                && self.journal.stalled_for() < DISK_STALL_TIMEOUT;
            if is_healthy == state.is_disk_healthy {
                return;
            }
            state.is_disk_healthy = is_healthy;
            is_healthy
        };
        tracing::warn!(is_healthy, "disk health changed");
        self.handle(Input::DiskHealth { is_healthy });
    }
}

/// Logs the voters that are suspected since the last call, and those that are no longer.
fn log_suspicions(suspected: &mut Vec<SocketAddrV4>, now_suspected: Vec<SocketAddrV4>) {
    for voter in &now_suspected {
        if !suspected.contains(voter) {
            tracing::info!(%voter, "voter suspected");
        }
    }
    for voter in suspected.iter() {
        if !now_suspected.contains(voter) {
            tracing::info!(%voter, "voter no longer suspected");
        }
    }
    *suspected = now_suspected;
}

fn log_committed(committed: &ControlState) {
    tracing::info!(
        generation = committed.generation(),
        storage_epoch = committed.storage_epoch(),
        epoch = committed.position.epoch,
        number = committed.position.number,
        "control state committed"
    );
}

/// The initial state of a machine whose disk is empty. A bootstrapping machine starts with a view of the
/// seeds, any other with no view until a running core machine sends it one.
pub fn new_durable(bootstrap: bool, options: &MemberOptions, identity: u64) -> Durable {
    let view = if bootstrap {
        View::bootstrap(&options.seeds)
    } else {
        View::default()
    };
    Durable::new(identity, bootstrap, view)
}
