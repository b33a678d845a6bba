//! Driver of one storage machine: requests, journal, views, pulls and expiry.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadreach_journal::{Journal, JournalError, JournalOptions, Synced};
use woadreach_rpc::{Client, Router, ServiceId};

use crate::announce::Announcement;
use crate::client::random_number;
use crate::member::{Member, Pending, Step};
use crate::message::{Answer, Fence, Operation, Request, Response, decode, encode};
use crate::pull::{Pages, Pull};
use crate::view::{StorageMember, StorageView};

/// How long one request of a pull may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before a source is tried again.
const PULL_RETRY: Duration = Duration::from_millis(150);
/// Interval of expiry and compaction.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);
/// A log shorter than this is never compacted.
const LEAST_LOG_BYTES: u64 = 8 << 20;

/// Why a storage machine cannot run.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The disk does not work.
    #[snafu(display("storage cannot use its disk: {source}"))]
    Disk {
        /// What the journal says.
        source: JournalError,
    },
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
    epoch: watch::Sender<u64>,
    pulled: watch::Sender<u64>,
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

impl Server {
    /// Opens the journal in `folder`. A disk that is empty, or whose content is damaged, begins anew with
    /// another identity and is filled from the other machines. Blocks on the disk.
    ///
    /// # Errors
    /// [`ServerError::Disk`].
    pub async fn open(folder: &Path, rpc: Client, options: ServerOptions) -> Result<Server, ServerError> {
        let bounds = JournalOptions { max_bytes: options.disk_bytes, ..JournalOptions::default() };
        let started = Instant::now();
        let (journal, member) = match recover(folder, bounds, &options) {
            Ok((journal, Some(member))) => (journal, member),
            Ok((journal, None)) => start_anew(journal, folder, bounds, &options).await?,
            Err(error @ (JournalError::Corrupt { .. } | JournalError::Version { .. })) => {
                tracing::error!(%error, "the disk's content is damaged: beginning anew");
                Journal::discard(folder).map_err(|source| ServerError::Disk { source })?;
                let opened = Journal::open(folder, bounds).map_err(|source| ServerError::Disk { source })?;
                start_anew(opened.0, folder, bounds, &options).await?
            }
            Err(source) => return Err(ServerError::Disk { source }),
        };
        let epoch = member.view().epoch;
        let shared = Shared {
            started,
            member: Mutex::new(member),
            journal,
            rpc,
            address: options.address,
            zone: options.zone,
            epoch: watch::Sender::new(epoch),
            pulled: watch::Sender::new(0),
        };
        Ok(Server { shared: Arc::new(shared) })
    }

    /// Adds the handler of storage requests.
    #[must_use]
    pub fn routes(&self, router: Router) -> Router {
        let server = self.clone();
        router.route(ServiceId::STORAGE, move |_, body| {
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
        }
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

    /// Pulls in joint epochs, expires and compacts, for as long as the future is polled.
    pub async fn run(&self) {
        tokio::join!(self.pull_in_joint_epochs(), self.upkeep());
    }

    async fn answer(&self, body: Bytes) -> Vec<u8> {
        let Some(request) = decode::<Request>(&body) else {
            let epoch = self.shared.member.lock().view().epoch;
            return encode(&Response { epoch, answer: Answer::Malformed });
        };
        let now = self.now();
        let step = self.shared.member.lock().handle(now, request);
        encode(&self.finish(step).await)
    }

    /// Syncs what a step demands and gives its answer.
    async fn finish(&self, step: Step) -> Response {
        match step {
            Step::Reply(response) => response,
            // Appends are queued in the order of the steps, as one thread makes both without a pause between.
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
            Ok(receipt) => member.complete(pending, receipt),
            Err(error) => {
                tracing::warn!(%error, "a record was not stored");
                member.failed()
            }
        };
        let epoch = member.view().epoch;
        drop(member);
        self.shared.epoch.send_if_modified(|known| std::mem::replace(known, epoch) != epoch);
        response
    }

    async fn pull_in_joint_epochs(&self) {
        let mut epochs = self.shared.epoch.subscribe();
        epochs.mark_changed();
        loop {
            if epochs.changed().await.is_err() {
                return;
            }
            let view = self.shared.member.lock().view().clone();
            let disk = self.shared.member.lock().disk();
            let joins = view.next.iter().flatten().any(|member| member.disk == disk);
            if joins {
                tokio::select! {
                    () = self.pull(&view, disk) => {}
                    () = epoch_other_than(&mut epochs, view.epoch) => {}
                }
                if self.shared.member.lock().view().epoch != view.epoch {
                    epochs.mark_changed();
                }
            }
        }
    }

    /// Pulls from all members of `current` until enough are done.
    async fn pull(&self, view: &StorageView, own: u64) {
        let tolerated = self.shared.member.lock().tolerated();
        let mut progress = Pull::new(view, own, tolerated);
        let mut sources = JoinSet::new();
        for source in view.current.iter().filter(|source| source.disk != own) {
            sources.spawn(pull_from(self.clone(), view.clone(), source.clone()));
        }
        while !progress.complete() {
            let Some(Ok(disk)) = sources.join_next().await else { return };
            progress.finished(disk);
        }
        loop {
            let step = self.shared.member.lock().finish_pull(self.now(), view.epoch);
            if self.finish(step).await.answer == Answer::Stored {
                break;
            }
            sleep(PULL_RETRY).await;
        }
        tracing::info!(epoch = view.epoch, "pulled what this machine should hold");
        self.shared.pulled.send_replace(view.epoch);
        // The rest of the sources are not needed, but may hold copies of what is endangered.
        while sources.join_next().await.is_some() {}
    }

    async fn upkeep(&self) {
        loop {
            sleep(UPKEEP_INTERVAL).await;
            let now = self.now();
            self.shared.member.lock().expire(now);
            let bytes = self.shared.member.lock().store().bytes() as u64;
            if self.shared.journal.log_bytes() > LEAST_LOG_BYTES.max(bytes) {
                let snapshot = self.shared.member.lock().snapshot(now);
                if let Err(error) = self.shared.journal.replace(snapshot).await {
                    tracing::warn!(%error, "the log was not compacted");
                }
            }
        }
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }
}

async fn epoch_other_than(epochs: &mut watch::Receiver<u64>, known: u64) {
    let _ = epochs.wait_for(|epoch| *epoch != known).await;
}

/// Copies everything that this machine should hold from one source; returns the source's disk.
async fn pull_from(server: Server, view: StorageView, source: StorageMember) -> u64 {
    let node = server.shared.member.lock().node().to_owned();
    let fence = Fence { epoch: view.epoch, disk: source.disk };
    let mut pages = Pages::default();
    while let Some(operation) = pages.next(&node) {
        let body = encode(&Request { fence, operation });
        let reply = server.shared.rpc.call(source.address, ServiceId::STORAGE, body, PULL_TIMEOUT).await;
        let response = reply.ok().and_then(|bytes| decode::<Response>(&bytes));
        let records = match response.map(|response| response.answer) {
            Some(Answer::Behind) => {
                let operation = Operation::NewView { view: view.clone() };
                let body = encode(&Request { fence, operation });
                let _ = server.shared.rpc.call(source.address, ServiceId::STORAGE, body, PULL_TIMEOUT).await;
                None
            }
            Some(Answer::Stale { view }) => {
                server.learn_view(view).await;
                None
            }
            Some(answer) => pages.answered(server.shared.member.lock().store(), answer),
            None => None,
        };
        let Some(records) = records else {
            sleep(PULL_RETRY).await;
            continue;
        };
        for program in records {
            store_pulled(&server, program).await;
        }
    }
    source.disk
}

async fn store_pulled(server: &Server, records: crate::message::ProgramRecords) {
    loop {
        let now = server.now();
        let step = server.shared.member.lock().merge(now, records.clone());
        let Some(step) = step else { return };
        if server.finish(step).await.answer == Answer::Stored {
            return;
        }
        sleep(PULL_RETRY).await;
    }
}

fn recover(
    folder: &Path,
    bounds: JournalOptions,
    options: &ServerOptions,
) -> Result<(Journal, Option<Member>), JournalError> {
    let (journal, found) = Journal::open(folder, bounds)?;
    let snapshot = found.snapshot.as_deref();
    let node = options.node.clone();
    let member = Member::recover(Duration::ZERO, node, options.tolerated, snapshot, &found.records);
    if member.is_none() && !found.records.is_empty() {
        tracing::error!("the journal cannot be read: beginning anew");
    }
    Ok((journal, member))
}

/// Gives the disk a new identity.
async fn start_anew(
    journal: Journal,
    folder: &Path,
    bounds: JournalOptions,
    options: &ServerOptions,
) -> Result<(Journal, Member), ServerError> {
    let disk_error = |source| ServerError::Disk { source };
    drop(journal);
    Journal::discard(folder).map_err(disk_error)?;
    let (journal, _) = Journal::open(folder, bounds).map_err(disk_error)?;
    let disk = random_number(&options.node);
    let (member, record) = Member::create(options.node.clone(), disk, options.tolerated);
    let _synced = journal.append(record).await.map_err(disk_error)?;
    Ok((journal, member))
}
