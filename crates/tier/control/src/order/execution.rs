//! Execution of an order at the head of the chain: translates the order into requests to the member, and the
//! replies of the member into the answer.
//!
//! Each function returns `None` if the order has no answer, because this machine is no longer the head or because
//! another change was applied first. The caller then retries.

use woadreach_chain::{
    Blob, Command, PutConfiguration, PutStorageView, Reply, Request, StoredStorageView,
};
use woadreach_storage::StorageView;

use super::message::{Answer, Order};
use super::retire::{RetireDecision, decide_retire, retire_state};
use crate::member_driver::MemberDriver;

/// Executes an order. `tolerated_losses` is the number of storage machines that may fail at the same time.
pub(crate) async fn execute_at_head(
    driver: &MemberDriver,
    tolerated_losses: usize,
    order: &Order,
) -> Option<Answer> {
    match order {
        Order::PutConfiguration(put) => put_configuration(driver, put.clone()).await,
        Order::ReadConfiguration => read_configuration(driver).await,
        Order::Retire { node } => retire_node(driver, node, tolerated_losses).await,
        Order::RetireState { node } => read_retire_state(driver, node).await,
    }
}

async fn put_configuration(driver: &MemberDriver, put: PutConfiguration) -> Option<Answer> {
    let command = Command::PutConfiguration(put);
    match driver.request(Request::Submit(command)).await {
        Reply::Committed | Reply::AlreadyCommitted => Some(Answer::Done),
        Reply::Rejected(rejection) => Some(Answer::Rejected(rejection)),
        Reply::Undecided(undecided) => Some(Answer::Undecided(undecided)),
        _ => None,
    }
}

async fn read_configuration(driver: &MemberDriver) -> Option<Answer> {
    match driver.request(Request::ReadConfiguration).await {
        Reply::Configuration(Some(stored)) => Some(Answer::Configuration {
            generation: stored.generation,
            body: stored.body,
        }),
        Reply::Configuration(None) => Some(Answer::NoConfiguration),
        _ => None,
    }
}

async fn retire_node(driver: &MemberDriver, node: &str, tolerated_losses: usize) -> Option<Answer> {
    let decide =
        |stored: Option<StoredStorageView>| decide_retire(stored.as_ref(), node, tolerated_losses);
    let answer = match decide(driver.latest_storage_view()) {
        RetireDecision::ReplaceView {
            expected_epoch,
            view,
        } => {
            let is_committed = submit_storage_view(driver, expected_epoch, &view).await;
            return is_committed.then_some(Answer::Done);
        }
        RetireDecision::Answer(answer) => answer,
    };
    if driver.request(Request::Confirm).await != Reply::Confirmed {
        return None;
    }
    // The decision is based on the latest view. That view may include uncommitted changes, which may have been lost
    // in a change of the head. The committed view must therefore lead to the same answer.
    let confirmed = decide(driver.published_storage_view());
    (confirmed == RetireDecision::Answer(answer.clone())).then_some(answer)
}

async fn read_retire_state(driver: &MemberDriver, node: &str) -> Option<Answer> {
    if driver.request(Request::Confirm).await != Reply::Confirmed {
        return None;
    }
    Some(retire_state(driver.published_storage_view().as_ref(), node))
}

/// Replaces the storage view with epoch `expected_epoch` by `view`. Returns whether `view` is committed; returns
/// `false` also if this machine is not the head.
pub async fn submit_storage_view(
    driver: &MemberDriver,
    expected_epoch: u64,
    view: &StorageView,
) -> bool {
    let put = PutStorageView {
        expected_epoch,
        epoch: view.epoch,
        bytes: Blob::from(view.encode()),
    };
    let request = Request::Submit(Command::PutStorageView(put));
    let reply = driver.request(request).await;
    matches!(reply, Reply::Committed | Reply::AlreadyCommitted)
}
