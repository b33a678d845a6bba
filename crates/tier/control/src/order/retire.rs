//! Orders to retire a storage machine, decided without I/O on a stored view of the storage machines. The head
//! decides one when it executes it (`execution`).
//!
//! | the machine is | `POST /retire/NODE` | `GET /retire/NODE` |
//! | --- | --- | --- |
//! | retired, also if it was removed since | done | `succeeded` |
//! | being retired | done | `running` |
//! | in the view, and enough others stay | a view with the order in it replaces this one | unknown |
//! | in the view, and too few others would stay | too few | unknown |
//! | not in the view | unknown | unknown |

use woadreach_chain::StoredStorageView;
use woadreach_storage::StorageView;
use woadreach_storage::message::MessageError;
use woadreach_storage::view::{RetireError, retire};

use super::message::Answer;

/// What an order to retire a machine requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetireDecision {
    /// The order is done once `view` has replaced the view of `expected_epoch` and is committed.
    ReplaceView {
        /// Epoch of the stored view; 0 if there is none.
        expected_epoch: u64,
        /// The view with the order in it.
        view: StorageView,
    },
    /// The answer, valid once the stored view is confirmed to be committed and the newest.
    Answer(Answer),
}

/// Decides an order to retire `node` on the stored view. `tolerated_losses` is how many storage machines
/// may be lost at once.
#[must_use]
pub fn decide_retire(
    stored: Option<&StoredStorageView>,
    node: &str,
    tolerated_losses: usize,
) -> RetireDecision {
    let Some(view) = decode_or_log(stored) else {
        return RetireDecision::Answer(Answer::UnreadableStorageView);
    };
    match retire(&view, node, tolerated_losses) {
        Ok(changed) if changed.epoch != view.epoch => RetireDecision::ReplaceView {
            expected_epoch: stored.map_or(0, |stored| stored.epoch),
            view: changed,
        },
        Ok(_) => RetireDecision::Answer(Answer::Done),
        Err(RetireError::Unknown) => RetireDecision::Answer(Answer::UnknownNode),
        Err(RetireError::TooFew) => RetireDecision::Answer(Answer::TooFewNodes),
    }
}

/// Progress of the order to retire `node`, according to the stored view.
#[must_use]
pub fn retire_state(stored: Option<&StoredStorageView>, node: &str) -> Answer {
    let Some(view) = decode_or_log(stored) else {
        return Answer::UnreadableStorageView;
    };
    if view.retired.contains(node) {
        Answer::RetireState { is_finished: true }
    } else if view.retiring.contains(node) {
        Answer::RetireState { is_finished: false }
    } else {
        Answer::UnknownNode
    }
}

/// Decodes the stored view; the empty view before the first is stored.
///
/// # Errors
/// [`MessageError`] if the view is of a format that this program doesn't know.
pub fn decode_view(stored: Option<&StoredStorageView>) -> Result<StorageView, MessageError> {
    stored.map_or_else(
        || Ok(StorageView::default()),
        |stored| StorageView::decode(&stored.bytes.0),
    )
}

fn decode_or_log(stored: Option<&StoredStorageView>) -> Option<StorageView> {
    let storage_epoch = stored.map(|stored| stored.epoch);
    decode_view(stored)
        .inspect_err(
            |error| tracing::error!(storage_epoch, %error, "stored storage view not decoded"),
        )
        .ok()
}
