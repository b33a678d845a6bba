//! Driver of one storage machine: requests, journal, views, pulls and upkeep.

mod pulling;
mod start;
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
use crate::member::{Member, Pending, Step};
use crate::message::{MessageError, Request, Response, encode, read};
use crate::view::{StorageMember, StorageView};

/// Why a storage machine cannot run.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The disk does not work.
    #[snafu(display("storage cannot use its disk: {source}"))]
    Disk {
        /// What the journal says.
        source: JournalError,
    },
    /// The disk is whole and holds what this program can't read. It is left as it is.
    #[snafu(display("{} holds the state of another version of this program", path.display()))]
    Unreadable {
        /// Folder of the journal.
        path: PathBuf,
    },
}

/// Who a storage machine is.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Name of the machine.
    pub node: String,
    /// Address for the tier's own traffic.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Machines that may be lost at once.
    pub tolerated: usize,
    /// Space for data files, in bytes.
    pub disk_bytes: u64,
}

/// One storage machine. Clones share everything.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

struct Shared {
    started: Instant,
    member: Mutex<Member>,
    journal: Journal,
    rpc: Client,
    address: SocketAddr,
    zone: String,
    /// Changes with the view's epoch, and when records may have been missed.
    pull_due: watch::Sender<PullDue>,
    pulled: watch::Sender<u64>,
    upkeep: Mutex<Upkeep>,
    /// The process is being stopped.
    shutting_down: AtomicBool,
    /// The last record was refused; told once.
    disk_refuses: AtomicBool,
}

/// Why a pull is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PullDue {
    epoch: u64,
    /// Rises whenever records may have been missed: after a start, a freeze or a cut.
    missed: u64,
}

impl Server {
    /// Opens the journal in `folder`. A disk that is empty, or whose content is damaged, begins anew with
    /// another identity and is filled from the other machines. Blocks on the disk.
    ///
    /// # Errors
    /// [`ServerError::Disk`].
    pub async fn open(
        folder: &Path,
        rpc: Client,
        options: ServerOptions,
    ) -> Result<Server, ServerError> {
        let started = Instant::now();
        let (journal, member) = start::start(folder, &options).await?;
        let epoch = member.view().epoch;
        let shared = Shared {
            started,
            member: Mutex::new(member),
            journal,
            rpc,
            address: options.address,
            zone: options.zone,
            pull_due: watch::Sender::new(PullDue { epoch, missed: 1 }),
            pulled: watch::Sender::new(0),
            upkeep: Mutex::new(Upkeep::new(started, &options.node)),
            shutting_down: AtomicBool::new(false),
            disk_refuses: AtomicBool::new(false),
        };
        Ok(Server {
            shared: Arc::new(shared),
        })
    }

    /// Adds the handler of storage requests.
    #[must_use]
    pub fn routes(&self, router: Router) -> Router {
        let server = self.clone();
        router.route_checked(ServiceId::STORAGE, move |_, body| {
            let server = server.clone();
            async move { server.answer(body).await }
        })
    }

    /// What is to be told to the core.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        let member = self.shared.member.lock();
        Announcement {
            member: StorageMember {
                node: member.node().to_owned(),
                disk: member.disk(),
                address: self.shared.address,
                zone: self.shared.zone.clone(),
            },
            pulled_epoch: member.pulled_epoch(),
            shutting_down: self.shared.shutting_down.load(Ordering::Relaxed),
        }
    }

    /// The process is being stopped: from now on the core is told, at once and with each announcement.
    pub fn begin_shutdown(&self) {
        self.shared.shutting_down.store(true, Ordering::Relaxed);
        self.shared.pulled.send_modify(|_| {});
    }

    /// Whether the process, which is being stopped, may end; see [`Member::may_end`].
    #[must_use]
    pub fn may_shut_down(&self) -> bool {
        self.shared.member.lock().may_shut_down()
    }

    /// Changes whenever the announcement should be sent at once.
    #[must_use]
    pub fn pulled(&self) -> watch::Receiver<u64> {
        self.shared.pulled.subscribe()
    }

    /// Takes a committed view.
    pub async fn learn_view(&self, view: StorageView) {
        let step = self.shared.member.lock().learn_view(view);
        if let Some(step) = step {
            let _ = self.finish(step).await;
        }
    }

    /// This machine may have missed records: they are pulled from the others.
    pub fn missed_records(&self) {
        self.shared.pull_due.send_modify(|due| due.missed += 1);
    }

    /// Pulls what is due, for as long as the future is polled.
    pub async fn run(&self) {
        self.pull_when_due().await;
    }

    /// Expires and compacts; to be called every [`crate::announce::ANNOUNCE_INTERVAL`].
    pub fn tick(&self) {
        self.upkeep();
    }

    async fn answer(&self, body: Bytes) -> Result<Vec<u8>, MessageError> {
        let request: Request = read(&body)?;
        let now = self.now();
        let step = self.shared.member.lock().handle(now, request);
        Ok(encode(&self.finish(step).await))
    }

    /// Syncs what a step demands and gives its answer. Appends are queued in the order of the steps, as one
    /// thread makes both without a pause between.
    async fn finish(&self, step: Step) -> Response {
        match step {
            Step::Reply(response) => response,
            Step::Persist { record, pending } => {
                let synced = self.shared.journal.append(record).await;
                self.complete(pending, synced)
            }
            Step::Compact { snapshot, pending } => {
                let synced = self.shared.journal.replace(snapshot).await;
                self.complete(pending, synced)
            }
        }
    }

    fn complete(&self, pending: Pending, synced: Result<Synced, JournalError>) -> Response {
        let mut member = self.shared.member.lock();
        let response = match &synced {
            Ok(receipt) => {
                self.shared.disk_refuses.store(false, Ordering::Relaxed);
                member.complete(pending, receipt)
            }
            Err(error) => {
                if !self.shared.disk_refuses.swap(true, Ordering::Relaxed) {
                    tracing::warn!(%error, "the disk takes no records");
                }
                member.persist_failed()
            }
        };
        let epoch = member.view().epoch;
        drop(member);
        self.shared
            .pull_due
            .send_if_modified(|due| std::mem::replace(&mut due.epoch, epoch) != epoch);
        response
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }
}
