//! Orders to empty a storage machine, judged on a stored view of the storage machines. Without I/O.
//!
//! | the machine is | `POST /retire/NODE` | `GET /retire/NODE` |
//! | --- | --- | --- |
//! | emptied, also if it was taken away since | taken, as before | `succeeded` |
//! | being emptied | taken, as before | `running` |
//! | in the view, and enough others stay | the view with the order replaces this one | unknown |
//! | in the view, and too few others would stay | too few | unknown |
//! | not in the view | unknown | unknown |

use bytes::Bytes;
use woadreach_storage::StorageView;
use woadreach_storage::message::MessageError;
use woadreach_storage::view::{RetireError, retire};

use crate::order::Answer;

/// What is to be done for an order to empty a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetireStep {
    /// The view of `expected_epoch` is to be replaced by `view`; once that is committed, the order is taken.
    Put {
        /// Epoch of the stored view; 0 if there is none.
        expected_epoch: u64,
        /// The view with the order in it.
        view: StorageView,
    },
    /// The answer, once the judged view is known to be committed and the newest.
    Answer(Answer),
}

/// What becomes of an order to empty `node` on the stored view, which is its epoch and bytes.
#[must_use]
pub fn judge_retire(stored: Option<&(u64, Bytes)>, node: &str, tolerated: usize) -> RetireStep {
    let Some(view) = decode(stored) else {
        return RetireStep::Answer(Answer::UnreadableStorageView);
    };
    match retire(&view, node, tolerated) {
        Ok(changed) if changed.epoch != view.epoch => RetireStep::Put {
            expected_epoch: stored.map_or(0, |(epoch, _)| *epoch),
            view: changed,
        },
        Ok(_) => RetireStep::Answer(Answer::Done),
        Err(RetireError::Unknown) => RetireStep::Answer(Answer::UnknownNode),
        Err(RetireError::TooFew) => RetireStep::Answer(Answer::TooFewNodes),
    }
}

/// How far the order to empty `node` is, on the stored view.
#[must_use]
pub fn retire_state(stored: Option<&(u64, Bytes)>, node: &str) -> Answer {
    let Some(view) = decode(stored) else {
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

/// The stored view, the empty one before the first; an error if it is of a format that isn't known here.
pub fn read(stored: Option<&(u64, Bytes)>) -> Result<StorageView, MessageError> {
    stored.map_or_else(
        || Ok(StorageView::default()),
        |(_, bytes)| StorageView::read(bytes),
    )
}

/// The same; nothing where it is an error, which is logged.
pub fn decode(stored: Option<&(u64, Bytes)>) -> Option<StorageView> {
    let epoch = stored.map(|(epoch, _)| *epoch);
    read(stored)
        .inspect_err(
            |error| tracing::error!(epoch, %error, "the stored storage view can't be read"),
        )
        .ok()
}
