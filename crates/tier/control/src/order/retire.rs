//! Decisions on orders to retire a storage machine, made without I/O from a stored storage view. `execution` calls
//! this module at the head.
//!
//! | state of the machine | `POST /retire/NODE` | `GET /retire/NODE` |
//! | --- | --- | --- |
//! | retired, even if removed since | done | `succeeded` |
//! | being retired | done | `running` |
//! | in the view, and enough others remain | a view that contains the order replaces this one | unknown |
//! | in the view, and too few others would remain | too few | unknown |
//! | not in the view | unknown | unknown |

use woadreach_chain::StoredStorageView;
use woadreach_storage::StorageView;
use woadreach_storage::message::MessageError;
use woadreach_storage::view::{RetireError, retire};

use super::message::Answer;

/// Decision on an order to retire a storage machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetireDecision {
    /// `view` must replace the view with epoch `expected_epoch`. The order is done when `view` is committed.
    ReplaceView {
        /// Epoch of the stored view; 0 if there is none.
        expected_epoch: u64,
        /// Storage view that contains the order.
        view: StorageView,
    },
    /// Answer to the order. It is valid only if the stored view is confirmed to be the newest committed one.
    Answer(Answer),
}

/// Decides on an order to retire `node`, from the stored view. `tolerated_losses` is the number of storage machines
/// that may fail at the same time.
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

/// Returns the progress of the order to retire `node`, from the stored view.
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

/// Decodes the stored view. Returns an empty view if none is stored.
///
/// # Errors
/// [`MessageError`] if the stored view cannot be decoded, for example because of an unknown format.
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
