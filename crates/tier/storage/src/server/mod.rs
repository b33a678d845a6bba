//! Driver of one storage machine: executes the steps of its [`StorageNode`] on the network and the journal.

mod pulling;
mod recovery;
mod upkeep;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::watch;
use woadreach_journal::{Journal, JournalError, Synced};
use woadreach_rpc::{Client, Router, ServiceId};

use self::upkeep::Upkeep;
use crate::announce::Announcement;
use crate::message::{MessageError, Request, Response, decode, encode};
use crate::node::{Pending, Step, StorageNode};
use crate::view::{StorageMember, StorageView};

/// Reason why a storage machine cannot start.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The journal reported an error of the disk.
    #[snafu(display("storage cannot use its disk: {source}"))]
    Disk {
        /// Error of the journal.
        source: JournalError,
    },
    /// The disk is intact and contains the state of another version of this program. It is left unchanged.
    #[snafu(display("{} holds the state of another version of this program", path.display()))]
    Unreadable {
        /// Folder of the journal.
        path: PathBuf,
    },
}

/// Configuration of a storage machine.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Name of the machine.
    pub node: String,
    /// Address for the tier's own traffic.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Number of machines whose simultaneous failure is tolerated.
    pub tolerated_losses: usize,
    /// Space for data files, in bytes.
    pub disk_bytes: u64,
}

/// One storage machine. Clones share all state.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    /// Reference point of the times that are passed to the node.
    started: Instant,
    node: Mutex<StorageNode>,
    journal: Journal,
    /// Client for pulls from other machines.
    rpc: Client,
    /// Address of this machine for the tier's own traffic.
    address: SocketAddr,
    /// Zone of this machine.
    zone: String,
    /// Reason for the next pull; changes with the view's epoch, and when records may have been missed.
    pull_due: watch::Sender<PullDue>,
    /// Latest joint epoch whose pull is complete; 0 before the first. See [`Server::announcement_changed`].
    pulled_epoch: watch::Sender<u64>,
    upkeep: Mutex<Upkeep>,
    /// Whether the process is shutting down.
    shutting_down: AtomicBool,
    /// Whether the last write to the journal failed; only the first of consecutive failures is logged.
    last_write_failed: AtomicBool,
}

/// The state of a storage machine at one moment.
#[derive(Debug, Clone, Copy)]
pub struct ServerReport {
    /// Epoch of the machine's view; 0 before the first.
    pub epoch: u64,
    /// Latest joint epoch whose pull is complete; 0 before the first.
    pub pulled_epoch: u64,
    /// Whether the machine's disk belongs to a current member of the view.
    pub is_current: bool,
    /// Whether the process is shutting down.
    pub is_shutting_down: bool,
    /// Number of current members of the view.
    pub current_machines: usize,
    /// Number of members of the next membership; 0 outside a joint epoch.
    pub next_machines: usize,
    /// Number of programs with stored records.
    pub programs: usize,
    /// Approximate size of the stored turns, in bytes.
    pub record_bytes: usize,
    /// Length of the journal's log since the last snapshot, in bytes.
    pub log_bytes: u64,
    /// Time for which the pending disk operation has not finished; zero if none is pending.
    pub stalled_for: Duration,
    /// Whether the last write to the journal succeeded; true before the first.
    pub is_disk_healthy: bool,
}

/// Reason for a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PullDue {
    /// Epoch of the machine's view.
    epoch: u64,
    /// Incremented whenever records may have been missed: after a start, a stall or a partition.
    missed: u64,
}

impl Server {
    /// Opens the journal in `folder`. A disk that is empty or corrupt gets a new identity and is filled from the other
    /// machines. Blocks on disk I/O.
    ///
    /// # Errors
    /// See [`ServerError`].
    pub async fn open(
        folder: &Path,
        rpc: Client,
        options: ServerOptions,
    ) -> Result<Server, ServerError> {
        let started = Instant::now();
        let (journal, node) = recovery::recover_or_create(folder, &options).await?;
        let epoch = node.view().epoch;
        let shared = Shared {
            started,
            node: Mutex::new(node),
            journal,
            rpc,
            address: options.address,
            zone: options.zone,
            pull_due: watch::Sender::new(PullDue { epoch, missed: 1 }),
            pulled_epoch: watch::Sender::new(0),
            upkeep: Mutex::new(Upkeep::new(started, &options.node)),
            shutting_down: AtomicBool::new(false),
            last_write_failed: AtomicBool::new(false),
        };
        Ok(Server {
            shared: Arc::new(shared),
        })
    }

    /// Adds the handler of storage requests to `router`.
    #[must_use]
    pub fn handlers(&self, router: Router) -> Router {
        let server = self.clone();
        router.route_checked(ServiceId::STORAGE, move |_, body| {
            let server = server.clone();
            async move { server.answer(body).await }
        })
    }

    /// The announcement to send to the core.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        let node = self.shared.node.lock();
        Announcement {
            member: StorageMember {
                node: node.name().to_owned(),
                disk: node.disk(),
                address: self.shared.address,
                zone: self.shared.zone.clone(),
            },
            pulled_epoch: node.pulled_epoch(),
            shutting_down: self.shared.shutting_down.load(Ordering::Relaxed),
        }
    }

    /// Begins a graceful shutdown, which is announced to the core at once and with each later announcement.
    pub fn begin_shutdown(&self) {
        self.shared.shutting_down.store(true, Ordering::Relaxed);
        self.shared.pulled_epoch.send_modify(|_| {});
    }

    /// Whether the process may exit during a graceful shutdown; see [`StorageNode::may_shut_down`].
    #[must_use]
    pub fn may_shut_down(&self) -> bool {
        self.shared.node.lock().may_shut_down()
    }

    /// Notifies whenever an announcement should be sent without delay: when a pull is complete or a shutdown begins.
    /// The value is the latest joint epoch whose pull is complete, 0 before the first; a shutdown notifies without
    /// changing it.
    #[must_use]
    pub fn announcement_changed(&self) -> watch::Receiver<u64> {
        self.shared.pulled_epoch.subscribe()
    }

    /// Adopts a committed view if it is newer.
    pub async fn learn_view(&self, view: StorageView) {
        let step = self.shared.node.lock().learn_view(view);
        if let Some(step) = step {
            let _ = self.execute_step(step).await;
        }
    }

    /// The state of this machine for operators.
    #[must_use]
    pub fn report(&self) -> ServerReport {
        let node = self.shared.node.lock();
        let view = node.view();
        ServerReport {
            epoch: view.epoch,
            pulled_epoch: node.pulled_epoch(),
            is_current: view.is_current(node.disk()),
            is_shutting_down: self.shared.shutting_down.load(Ordering::Relaxed),
            current_machines: view.current.len(),
            next_machines: view.next.as_ref().map_or(0, Vec::len),
            programs: node.store().len(),
            record_bytes: node.store().bytes(),
            log_bytes: self.shared.journal.log_bytes(),
            stalled_for: self.shared.journal.stalled_for(),
            is_disk_healthy: !self.shared.last_write_failed.load(Ordering::Relaxed),
        }
    }

    /// Requests a pull from the others, since this machine may have missed records.
    pub fn request_pull(&self) {
        self.shared.pull_due.send_modify(|due| due.missed += 1);
    }

    async fn answer(&self, body: Bytes) -> Result<Vec<u8>, MessageError> {
        let request: Request = decode(&body)?;
        let now = self.now();
        let step = self.shared.node.lock().handle(now, request);
        Ok(encode(&self.execute_step(step).await))
    }

    /// Executes a step and returns its answer. Appends are queued in the order of the steps, since a single
    /// thread computes a step and queues its append without yielding in between.
    async fn execute_step(&self, step: Step) -> Response {
        match step {
            Step::Reply(response) => response,
            Step::Persist { record, pending } => {
                let synced = self.shared.journal.append(record).await;
                self.complete(pending, synced)
            }
            Step::PersistSnapshot { snapshot, pending } => {
                let synced = self.shared.journal.replace(snapshot).await;
                self.complete(pending, synced)
            }
        }
    }

    fn complete(&self, pending: Pending, synced: Result<Synced, JournalError>) -> Response {
        let mut node = self.shared.node.lock();
        let response = match &synced {
            Ok(receipt) => {
                self.shared
                    .last_write_failed
                    .store(false, Ordering::Relaxed);
                node.complete(pending, receipt)
            }
            Err(error) => {
                if !self.shared.last_write_failed.swap(true, Ordering::Relaxed) {
                    tracing::warn!(%error, "journal append failed");
                }
                node.persist_failed()
            }
        };
        let epoch = node.view().epoch;
        drop(node);
        self.shared
            .pull_due
            .send_if_modified(|due| std::mem::replace(&mut due.epoch, epoch) != epoch);
        response
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }
}
