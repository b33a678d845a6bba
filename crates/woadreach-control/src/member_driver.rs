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
    ControlState, Departure, Durable, Envelope, Input, Member, MemberOptions, Output, Record, Reply, Request,
    RequestId, Status,
};
use woadreach_journal::{Journal, JournalError, Synced};
use woadreach_rpc::{Client, ServiceId};

use crate::durable_log::{RecoveredMember, encode_record, encode_snapshot};

/// A disk that has not synced for so long is not healthy.
const STALL: Duration = Duration::from_secs(1);
/// Pause between two tries to make a failed journal whole.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);
/// The log is replaced by a snapshot when it is longer than this and twice as long as the last snapshot.
const COMPACTION_BYTES: u64 = 8 << 20;

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
    journal: Journal,
    state: Mutex<State>,
    syncs: mpsc::UnboundedSender<PendingSync>,
    wake: Notify,
    changes: watch::Sender<u64>,
}

struct State {
    member: Member,
    /// Number of the record before the member's first one in this life.
    first_number: u64,
    /// Number of the last record that the member made.
    last_number: u64,
    snapshot_bytes: u64,
    /// An append failed: nothing more is appended before a snapshot has made the journal whole.
    is_journal_broken: bool,
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
        let (changes, _) = watch::channel(0);
        let member = Member::new(Duration::ZERO, options, recovered.durable);
        let started = Instant::now();
        let driver = Arc::new(MemberDriver {
            started,
            rpc,
            journal,
            state: Mutex::new(State {
                member,
                first_number: recovered.number,
                last_number: recovered.number,
                snapshot_bytes: 0,
                is_journal_broken: false,
                is_disk_healthy: true,
                replies: HashMap::new(),
                next_request: 0,
                armed: started,
            }),
            syncs,
            wake: Notify::new(),
            changes,
        });
        tokio::spawn(Arc::clone(&driver).await_syncs(pending));
        tokio::spawn(Arc::clone(&driver).keep_time());
        driver
    }

    /// Takes a message of another member.
    pub fn receive(&self, body: &[u8]) {
        match Envelope::decode(body) {
            Ok(envelope) => self.input(Input::Message(envelope)),
            Err(error) => tracing::warn!(%error, "message of another member dropped"),
        }
    }

    /// Gives the member an input and carries its outputs out.
    pub fn input(&self, input: Input) {
        let mut state = self.state.lock();
        let outputs = state.member.handle(self.started.elapsed(), input);
        let is_changed = self.carry_out(&mut state, outputs);
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
                    self.rpc.send(SocketAddr::V4(to), ServiceId::CHAIN, envelope.encode());
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
        if state.is_journal_broken {
            return;
        }
        let is_long = self.journal.log_bytes() > COMPACTION_BYTES.max(2 * state.snapshot_bytes);
        if is_long {
            return self.replace(state);
        }
        let synced = self.journal.append(encode_record(number, record));
        self.expect_sync(number, Box::pin(synced));
    }

    /// Writes a snapshot of everything so far.
    fn replace(&self, state: &mut State) {
        let number = state.last_number;
        let snapshot = encode_snapshot(number, state.member.durable());
        state.snapshot_bytes = snapshot.len() as u64;
        let synced = self.journal.replace(snapshot);
        self.expect_sync(number, Box::pin(synced));
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
        self.state.lock().is_journal_broken = true;
        loop {
            while pending.try_recv().is_ok() {}
            let (number, synced) = {
                let state = self.state.lock();
                let number = state.last_number;
                (number, self.journal.replace(encode_snapshot(number, state.member.durable())))
            };
            match synced.await {
                Ok(_receipt) => {
                    self.report_synced(number);
                    let is_whole = self.end_repair(number);
                    if is_whole {
                        tracing::info!(number, "journal is whole again");
                        return;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "journal still fails");
                    tokio::time::sleep(REPAIR_INTERVAL).await;
                }
            }
        }
    }

    /// Whether nothing came after record `number`, so that records may be appended again.
    fn end_repair(&self, number: u64) -> bool {
        let mut state = self.state.lock();
        let is_whole = state.last_number == number;
        state.is_journal_broken = !is_whole;
        is_whole
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
            let is_healthy = !state.is_journal_broken && self.journal.stalled_for() < STALL;
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
