//! Runs a [`Member`] on the real clock, disk and network.
//!
//! Outputs are carried out under the lock under which they were decided, so that records reach the journal in
//! the order of their numbers. One task awaits the syncs, one the clock.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::Instant;
use woadreach_chain::{
    ControlState, DecodeError, Departure, Durable, Envelope, Input, Member, MemberOptions, Output,
    Record, Reply, Request, RequestId, Status,
};
use woadreach_journal::{Journal, JournalError, Synced};
use woadreach_rpc::{Client, ClientOptions, ServiceId};

use crate::compaction::Compaction;
use crate::durable_log::{RecoveredMember, encode_record, encode_snapshot};

/// A disk that has not synced for so long is not healthy.
const STALL: Duration = Duration::from_secs(1);
/// Pause between two tries to make a failed journal whole.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

type SyncFuture = Pin<Box<dyn Future<Output = Result<Synced, JournalError>> + Send>>;

/// A sync that is awaited.
struct PendingSync {
    number: u64,
    synced: SyncFuture,
}

/// A member with what drives it.
pub struct MemberDriver {
    started: Instant,
    rpc: Client,
    /// Connections for long messages, behind which nothing short waits.
    bulk: Client,
    journal: Journal,
    state: Mutex<State>,
    syncs: mpsc::UnboundedSender<PendingSync>,
    snapshots: mpsc::UnboundedSender<SyncFuture>,
    wake: Notify,
    changes: watch::Sender<u64>,
}

struct State {
    member: Member,
    /// Number of the record before the member's first one in this life.
    first_number: u64,
    /// Number of the last record that the member made.
    last_number: u64,
    compaction: Compaction,
    is_disk_healthy: bool,
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
    next_request: u64,
    /// When the clock's task wakes by itself.
    armed: Instant,
}

/// Removes a request whose caller has gone.
struct RequestGuard<'a> {
    driver: &'a MemberDriver,
    id: RequestId,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        let is_waiting = self.driver.state.lock().replies.remove(&self.id).is_some();
        if is_waiting {
            self.driver.input(Input::Cancel(self.id));
        }
    }
}

impl MemberDriver {
    /// Starts the member that `recovered` describes; all of it must be synced.
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
            bulk: Client::new(ClientOptions::default()),
            journal,
            state: Mutex::new(State {
                member,
                first_number: recovered.number,
                last_number: recovered.number,
                compaction: Compaction::new(),
                is_disk_healthy: true,
                replies: HashMap::new(),
                next_request: 0,
                armed: started,
            }),
            syncs,
            snapshots,
            wake: Notify::new(),
            changes,
        });
        tokio::spawn(Arc::clone(&driver).await_syncs(pending));
        tokio::spawn(Arc::clone(&driver).await_snapshots(pending_snapshots));
        tokio::spawn(Arc::clone(&driver).keep_time());
        driver
    }

    /// Takes a message of another member; nothing of one that can't be read.
    pub fn receive(&self, body: &[u8]) -> Result<(), DecodeError> {
        let envelope = Envelope::decode(body)?;
        envelope.check()?;
        self.input(Input::Message(envelope));
        Ok(())
    }

    /// Gives the member an input and carries its outputs out.
    pub fn input(&self, input: Input) {
        let mut state = self.state.lock();
        let outputs = state.member.handle(self.started.elapsed(), input);
        let is_changed = self.carry_out(&mut state, outputs);
        self.compact(&mut state);
        let wake = self.started + state.member.next_wake();
        let must_wake = wake < state.armed;
        drop(state);
        if must_wake {
            self.wake.notify_one();
        }
        if is_changed {
            self.changes.send_modify(|version| *version += 1);
        }
    }

    /// Asks the member, which must be the head; waits for as long as the chain takes.
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
        self.input(Input::Request(id, request));
        let reply = receiver.await.unwrap_or(Reply::Unavailable);
        drop(guard);
        reply
    }

    /// What the member knows of the core.
    pub fn status(&self) -> Status {
        let now = self.started.elapsed();
        self.state.lock().member.status(now)
    }

    /// Whether the member, which is being stopped, may end.
    pub fn departure(&self) -> Departure {
        let now = self.started.elapsed();
        self.state.lock().member.departure(now)
    }

    /// The newest committed state that is known here.
    pub fn published(&self) -> Arc<ControlState> {
        Arc::clone(self.state.lock().member.published())
    }

    /// Bytes and epoch of the storage view with every change that this head has taken.
    pub fn latest_storage_view(&self) -> Option<(u64, Bytes)> {
        let state = self.state.lock();
        let view = state.member.latest().storage_view.as_ref()?;
        Some((view.epoch, view.bytes.0.clone()))
    }

    /// Bytes and epoch of the storage view in the newest committed state that is known here.
    pub fn published_storage_view(&self) -> Option<(u64, Bytes)> {
        let view = self.published().storage_view.clone()?;
        Some((view.epoch, view.bytes.0))
    }

    /// Changes with the committed state, the view, and whether this machine is in quorum.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn carry_out(&self, state: &mut State, outputs: Vec<Output>) -> bool {
        let mut is_changed = false;
        for output in outputs {
            match output {
                Output::Persist { number, record } => self.persist(state, number, &record),
                Output::Send { to, envelope } => {
                    let client = if envelope.body.is_bulk() {
                        &self.bulk
                    } else {
                        &self.rpc
                    };
                    client.send(SocketAddr::V4(to), ServiceId::CHAIN, envelope.encode());
                }
                Output::Reply { id, reply } => {
                    if let Some(sender) = state.replies.remove(&id) {
                        // The caller may have gone meanwhile.
                        let _ = sender.send(reply);
                    }
                }
                Output::Committed(committed) => {
                    is_changed = true;
                    tracing::info!(
                        generation = committed.generation(),
                        storage_epoch = committed.storage_epoch(),
                        epoch = committed.stamp.epoch,
                        number = committed.stamp.number,
                        "committed"
                    );
                }
                Output::ViewInstalled(view) => {
                    is_changed = true;
                    let (epoch, chain, voters) = (view.epoch, view.chain, view.voters);
                    tracing::info!(epoch, ?chain, ?voters, "view installed");
                }
            }
        }
        is_changed
    }

    fn persist(&self, state: &mut State, member_number: u64, record: &Record) {
        let number = state.first_number + member_number;
        state.last_number = number;
        if !state.compaction.takes_records() {
            return;
        }
        let synced = self.journal.append(encode_record(number, record));
        self.expect_sync(number, Box::pin(synced));
    }

    /// Replaces a long log by a snapshot, while records are appended. Called when every record that the
    /// member has made is appended, so that the snapshot holds none that is still to come.
    fn compact(&self, state: &mut State) {
        if !state
            .compaction
            .is_due(self.started.elapsed(), self.journal.log_bytes())
        {
            return;
        }
        let snapshot = encode_snapshot(state.last_number, state.member.durable());
        state.compaction.begin(snapshot.len() as u64);
        // The receiving task lives as long as this driver.
        let _ = self
            .snapshots
            .send(Box::pin(self.journal.replace(snapshot)));
    }

    /// Awaits the snapshots that replace the log. One that gives way to that of a repair has failed in
    /// nothing.
    async fn await_snapshots(self: Arc<Self>, mut pending: mpsc::UnboundedReceiver<SyncFuture>) {
        while let Some(replaced) = pending.recv().await {
            let outcome = replaced.await;
            let mut state = self.state.lock();
            match outcome {
                Ok(_) | Err(JournalError::Superseded) => state.compaction.end(),
                Err(error) => {
                    tracing::warn!(%error, "the log could not be replaced by a snapshot");
                    state.compaction.fail(self.started.elapsed());
                }
            }
        }
    }

    fn expect_sync(&self, number: u64, synced: SyncFuture) {
        // The receiving task lives as long as this driver.
        let _ = self.syncs.send(PendingSync { number, synced });
    }

    async fn await_syncs(self: Arc<Self>, mut pending: mpsc::UnboundedReceiver<PendingSync>) {
        while let Some(PendingSync { number, synced }) = pending.recv().await {
            match synced.await {
                Ok(_receipt) => self.report_synced(number),
                Err(error) => {
                    tracing::warn!(%error, number, "journal failed");
                    self.repair(&mut pending).await;
                }
            }
        }
    }

    fn report_synced(&self, number: u64) {
        let first = self.state.lock().first_number;
        self.input(Input::Persisted(number - first));
    }

    /// Replaces the journal by a snapshot until that succeeds; what was queued behind the failure is in it.
    async fn repair(&self, pending: &mut mpsc::UnboundedReceiver<PendingSync>) {
        loop {
            let (number, synced) = self.begin_repair(pending);
            match synced.await {
                Ok(_receipt) => {
                    self.state.lock().compaction.end_repair();
                    tracing::info!(number, "journal is whole again");
                    return self.report_synced(number);
                }
                Err(error) => {
                    tracing::warn!(%error, "journal still fails");
                    self.state.lock().compaction.break_off();
                    tokio::time::sleep(REPAIR_INTERVAL).await;
                }
            }
        }
    }

    /// Queues a snapshot of everything so far. Later records are appended behind it, and their syncs count
    /// only once the snapshot's has: until then they may stand behind a gap.
    fn begin_repair(
        &self,
        pending: &mut mpsc::UnboundedReceiver<PendingSync>,
    ) -> (u64, SyncFuture) {
        let mut state = self.state.lock();
        while pending.try_recv().is_ok() {}
        let number = state.last_number;
        let snapshot = encode_snapshot(number, state.member.durable());
        state.compaction.begin_repair(snapshot.len() as u64);
        (number, Box::pin(self.journal.replace(snapshot)))
    }

    async fn keep_time(self: Arc<Self>) {
        let mut was_in_quorum = false;
        loop {
            let wake = {
                let mut state = self.state.lock();
                let wake = self.started + state.member.next_wake();
                state.armed = wake;
                wake
            };
            tokio::select! {
                () = tokio::time::sleep_until(wake) => {}
                () = self.wake.notified() => {}
            }
            self.check_disk();
            self.input(Input::Tick);
            let in_quorum = self.status().in_quorum;
            if in_quorum != was_in_quorum {
                was_in_quorum = in_quorum;
                tracing::info!(in_quorum, "quorum");
                self.changes.send_modify(|version| *version += 1);
            }
        }
    }

    fn check_disk(&self) {
        let is_healthy = {
            let mut state = self.state.lock();
            let is_healthy = state.compaction.is_sound() && self.journal.stalled_for() < STALL;
            if is_healthy == state.is_disk_healthy {
                return;
            }
            state.is_disk_healthy = is_healthy;
            is_healthy
        };
        tracing::warn!(is_healthy, "disk");
        self.input(Input::DiskHealth { is_healthy });
    }
}

/// The state of a disk that is first used.
pub fn new_durable(bootstrap: bool, options: &MemberOptions, identity: u64) -> Durable {
    let view = if bootstrap {
        woadreach_chain::View::bootstrap(&options.seeds)
    } else {
        woadreach_chain::View::default()
    };
    Durable::new(identity, bootstrap, view)
}
