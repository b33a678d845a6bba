//! Pulls: in joint epochs, and after this machine may have missed records. Runs [`Pull`], with [`Pages`] for each
//! source.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use woadreach_rpc::ServiceId;

use super::{PullDue, Server};
use crate::message::{
    Answer, FencingToken, Operation, ProgramRecords, Request, Response, decode, encode,
};
use crate::pull::{Pages, Pull};
use crate::view::{StorageMember, StorageView};

/// Timeout of one request of a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay between two attempts to pull from a source.
const PULL_RETRY_INTERVAL: Duration = Duration::from_millis(150);

impl Server {
    /// Runs pulls whenever they are due, for as long as the future is polled. A pull is cancelled when the reason for
    /// pulling changes.
    pub async fn run_pulls(&self) {
        let mut due = self.shared.pull_due.subscribe();
        due.mark_changed();
        while due.changed().await.is_ok() {
            let known = *due.borrow_and_update();
            tokio::select! {
                () = self.pull_for(known) => {}
                () = wait_for_other_reason(&mut due, known) => due.mark_changed(),
            }
        }
    }

    /// Pulls the records that this machine should store under the current view.
    async fn pull_for(&self, due: PullDue) {
        let (view, disk) = {
            let node = self.shared.node.lock();
            (node.view().clone(), node.disk())
        };
        if view.epoch != due.epoch {
            return;
        }
        let joins = view.next.iter().flatten().any(|member| member.disk == disk);
        if !joins && !view.is_current(disk) {
            return;
        }
        let tolerated_losses = self.shared.node.lock().tolerated_losses();
        let mut progress = Pull::new(&view, disk, tolerated_losses);
        let mut sources = JoinSet::new();
        for source in view.current.iter().filter(|source| source.disk != disk) {
            sources.spawn(pull_from(self.clone(), view.clone(), source.clone()));
        }
        while !progress.is_complete() {
            let Some(Ok(source)) = sources.join_next().await else {
                return;
            };
            progress.record_finished(source);
        }
        if joins {
            self.finish_pull(view.epoch).await;
        }
        // The other sources are not needed for a quorum, but may store records that few machines have.
        while sources.join_next().await.is_some() {}
    }

    /// Syncs the completion of the pull for `epoch`, retrying until the disk accepts it, and triggers an announcement.
    async fn finish_pull(&self, epoch: u64) {
        loop {
            let step = self.shared.node.lock().finish_pull(self.now(), epoch);
            if self.execute_step(step).await.answer == Answer::Stored {
                break;
            }
            sleep(PULL_RETRY_INTERVAL).await;
        }
        tracing::info!(storage_epoch = epoch, "storage pull completed");
        self.shared.pulled_epoch.send_replace(epoch);
    }

    /// Sends a request to a source under `epoch`; `None` if no answer is received or it cannot be decoded.
    async fn call_source(
        &self,
        source: &StorageMember,
        epoch: u64,
        operation: Operation,
    ) -> Option<Answer> {
        let fencing_token = FencingToken {
            epoch,
            disk: source.disk,
        };
        let body = encode(&Request {
            fencing_token,
            operation,
        });
        let reply = self
            .shared
            .rpc
            .call(source.address, ServiceId::STORAGE, body, PULL_TIMEOUT)
            .await;
        let response: Response = decode(&reply.ok()?).ok()?;
        Some(response.answer)
    }

    /// Merges and syncs the records of one program, retrying until the disk accepts them.
    async fn store_pulled(&self, records: ProgramRecords) {
        loop {
            let step = self.shared.node.lock().merge(self.now(), records.clone());
            let Some(step) = step else { return };
            if self.execute_step(step).await.answer == Answer::Stored {
                return;
            }
            sleep(PULL_RETRY_INTERVAL).await;
        }
    }
}

/// Waits until the reason for pulling differs from the known one.
async fn wait_for_other_reason(due: &mut watch::Receiver<PullDue>, known: PullDue) {
    let _ = due.wait_for(|due| *due != known).await;
}

/// Copies all records that this machine should store from one source, and returns the source's disk.
async fn pull_from(server: Server, view: StorageView, source: StorageMember) -> u64 {
    let node = server.shared.node.lock().name().to_owned();
    let mut pages = Pages::default();
    while let Some(operation) = pages.next_request(&node) {
        let answer = server.call_source(&source, view.epoch, operation).await;
        let records = match answer {
            Some(Answer::Behind) => {
                let operation = Operation::NewView { view: view.clone() };
                let _ = server.call_source(&source, view.epoch, operation).await;
                None
            }
            Some(Answer::Stale { view }) => {
                server.learn_view(view).await;
                None
            }
            Some(answer) => pages.accept_answer(server.shared.node.lock().store(), answer),
            None => None,
        };
        let Some(records) = records else {
            sleep(PULL_RETRY_INTERVAL).await;
            continue;
        };
        store_all(&server, records).await;
    }
    source.disk
}

/// Stores the records of one page in one sync.
async fn store_all(server: &Server, records: Vec<ProgramRecords>) {
    let mut stored = JoinSet::new();
    for program in records {
        let server = server.clone();
        stored.spawn(async move { server.store_pulled(program).await });
    }
    while stored.join_next().await.is_some() {}
}
