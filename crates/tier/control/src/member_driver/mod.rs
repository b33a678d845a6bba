//! Runs a [`Member`] on the real clock, disk and network. The driver executes the outputs of the member as writes
//! to the disk, messages and replies; each step of a configuration change is such an output.
//!
//! [`MemberDriver::handle`] passes an input to the member and executes the outputs while it still has the lock on
//! the member, so that records are appended to the journal in the order of their numbers. Three background tasks
//! run alongside the callers: one awaits syncs of records, one awaits snapshots (both in `persistence`), and one
//! wakes the member when its next time-out is due.

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

/// Time after which a disk with an unfinished operation counts as unhealthy.
const DISK_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A member with its journal, connections and timer.
pub struct MemberDriver {
    /// Zero of the member's clock.
    started: Instant,
    /// Connections for short messages to other members.
    rpc: Client,
    /// Connections for bulk messages, separate so that short messages do not queue behind them.
    bulk_rpc: Client,
    journal: Journal,
    state: Mutex<DriverState>,
    /// Queue of pending syncs of records in the order of their numbers, read by `await_syncs`.
    syncs: mpsc::UnboundedSender<PendingSync>,
    /// Queue of pending snapshots that replace the log, read by `await_snapshots`.
    snapshots: mpsc::UnboundedSender<SyncFuture>,
    /// Wakes the timer task before `DriverState::timer_deadline`.
    timer: Notify,
    /// Counter of the changes that [`MemberDriver::changes`] reports.
    changes: watch::Sender<u64>,
}

struct DriverState {
    member: Member,
    /// Number of the last record of earlier incarnations. The member numbers its records from 1; adding this
    /// number gives their numbers in the journal.
    recovered_number: u64,
    /// Journal number of the last record that the member has created. Never less than `recovered_number`.
    last_number: u64,
    journal_health: JournalHealth,
    /// Disk health that the member was last notified of.
    is_disk_healthy: bool,
    /// Number of syncs reported to the member since the process started.
    synced_records: u64,
    /// Reply channels of the requests that the member has not answered.
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
    /// Identifier of the next request.
    next_request: u64,
    /// Time at which the timer task wakes without a notification.
    timer_deadline: Instant,
}

/// Snapshot of the journal's state, for metrics.
#[derive(Clone, Copy, Debug)]
pub struct JournalReport {
    /// Length in bytes of the log since the last snapshot.
    pub log_bytes: u64,
    /// Time for which the disk has not finished an operation; zero if none is pending.
    pub stalled_for: Duration,
    /// Whether the last append or repair succeeded and no disk operation exceeds its time limit.
    pub is_healthy: bool,
    /// Number of syncs reported to the member since the process started.
    pub synced_records: u64,
}

/// Cancels a request if its caller drops the future before the reply.
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
    /// Starts the member with the state `recovered`, which must be completely synced to the disk of `journal`.
    /// Must be called within a `tokio` runtime.
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

    /// Decodes and handles a message from another member.
    ///
    /// # Errors
    /// [`DecodeError`] if the message cannot be decoded or is invalid. The state of the member is then unchanged.
    pub fn receive(&self, body: &[u8]) -> Result<(), DecodeError> {
        let envelope = Envelope::decode(body)?;
        envelope.check()?;
        self.handle(Input::Message(envelope));
        Ok(())
    }

    /// Passes an input to the member and executes its outputs.
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

    /// Sends the member a request and waits for its reply without a time limit. A member that is not the head
    /// replies [`Reply::Unavailable`].
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

    /// Returns the current view of the core as known to this member.
    pub fn status(&self) -> Status {
        let now = self.started.elapsed();
        self.state.lock().member.status(now)
    }

    /// Returns whether the process of a departing member may stop.
    pub fn exit_readiness(&self) -> ExitReadiness {
        let now = self.started.elapsed();
        self.state.lock().member.exit_readiness(now)
    }

    /// Returns the newest committed state known to this member.
    pub fn published(&self) -> Arc<ControlState> {
        Arc::clone(self.state.lock().member.published())
    }

    /// Returns the latest storage view, including changes that this head has appended but not committed; `None`
    /// before the first.
    pub fn latest_storage_view(&self) -> Option<StoredStorageView> {
        self.state.lock().member.latest().storage_view.clone()
    }

    /// Returns the storage view in the newest committed state known to this member; `None` before the first.
    pub fn published_storage_view(&self) -> Option<StoredStorageView> {
        self.published().storage_view.clone()
    }

    /// Returns the current state of the journal.
    pub fn journal_report(&self) -> JournalReport {
        let state = self.state.lock();
        JournalReport {
            log_bytes: self.journal.log_bytes(),
            stalled_for: self.journal.stalled_for(),
            is_healthy: state.is_disk_healthy,
            synced_records: state.synced_records,
        }
    }

    /// Returns a counter that is incremented on each change of the committed state, of the view, and of whether
    /// this machine is in quorum.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Executes the outputs of the member. Returns whether the committed state or the view has changed.
    fn execute(&self, state: &mut DriverState, outputs: Vec<Output>) -> bool {
        let mut is_changed = false;
        for output in outputs {
            match output {
                Output::Persist { number, record } => self.persist(state, number, &record),
                Output::Send { to, envelope } => self.send(to, &envelope),
                Output::Reply { id, reply } => {
                    if let Some(sender) = state.replies.remove(&id) {
                        // The send fails if the caller has stopped waiting.
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

    /// Timer task: wakes the member when its next time-out is due, and reports changes of disk health and of
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

    /// Notifies the member if the health of the disk has changed.
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

/// Logs the voters that became suspected or stopped being suspected since the last call, and updates `suspected`.
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

/// Returns the initial state of a machine with an empty disk. A bootstrapping machine starts with a view of the
/// seeds. Any other machine starts without a view, until a running core machine sends it one.
pub fn new_durable(bootstrap: bool, options: &MemberOptions, identity: u64) -> Durable {
    let view = if bootstrap {
        View::bootstrap(&options.seeds)
    } else {
        View::default()
    };
    Durable::new(identity, bootstrap, view)
}
