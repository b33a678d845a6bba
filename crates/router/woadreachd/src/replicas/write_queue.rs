//! What waits to be written on a connection. The pool fills the queue, and the connection's task takes from
//! its front.

use crate::frame;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;
use woadreach_routing::api::{AttemptId, Ending};

/// When the last byte of a search's latest attempt was handed to the kernel, in Unix seconds; 0 before. The
/// search and its attempts share it.
pub(crate) type LastWrite = Rc<Cell<f64>>;

/// An attempt that waits to be written.
pub(crate) struct QueuedAttempt {
    pub(crate) attempt: AttemptId,
    /// The part's id on the wire, the same for each of its attempts.
    pub(crate) wire_id: String,
    pub(crate) shard: u64,
    /// The fields that it carries after its time, each with a comma before it; empty but for a second step.
    pub(crate) fields: String,
    /// What its shard is asked, in the client's words.
    pub(crate) text: Rc<str>,
    /// Until when its answer is waited for, in Unix seconds.
    pub(crate) deadline: f64,
    /// It begins to leave before this time, in Unix seconds, or not at all: a retry of a tokened part, within
    /// the window in which replicas recognize it.
    pub(crate) begin_by: f64,
    pub(crate) last_write: LastWrite,
}

impl QueuedAttempt {
    fn is_in_time(&self, now: f64) -> bool {
        self.deadline.min(self.begin_by) > now
    }

    fn bytes(&self, now: f64) -> Vec<u8> {
        let wait_ms = ((self.deadline - now) * 1000.0).floor().max(1.0);
        let fields = format!("d={wait_ms}{}", self.fields);
        frame::part(&self.wire_id, self.shard, &fields, &self.text)
    }
}

/// A message that waits to be written.
pub(super) enum QueuedMessage {
    Call(Vec<QueuedAttempt>),
    /// Cancels the attempt with this wire id.
    Cancel(String),
}

/// How a connection is to end.
///
/// Each connection begins as `Open`. [`WriteQueue::close`] moves it on to a later state of this list, any of
/// them, and never back:
///
/// | to | when |
/// | --- | --- |
/// | `AfterQueue` | nothing is in flight on it, and it was idle for too long or is retired |
/// | `Abort` | an answer on it belongs to no attempt, or has a value that cannot be passed on |
/// | `Reset` | an attempt was given up of which a part, but not all, has left this machine |
///
/// The task acts on the state once the connection is established; one that is being established ends after
/// that, or by its time-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Closing {
    /// It stays open.
    #[default]
    Open,
    /// It closes once its queue is written, or after the time that a message may take.
    AfterQueue,
    /// It closes at once: nothing that waits is of use any more.
    Abort,
    /// It closes at once by a TCP reset, so that what the other machine has not taken yet never arrives there.
    Reset,
}

/// An attempt whose call has been handed to the writer, and not all of it to the kernel.
struct AttemptInWriting {
    attempt: AttemptId,
    last_write: LastWrite,
}

/// The queue of a connection, shared between the pool and the connection's task.
///
/// An attempt that was pushed, and not taken back, is in exactly one of `messages`, `writing` and `expired` until
/// its last byte is handed to the kernel. Only [`WriteQueue::clear`], after which the connection ends, drops some.
#[derive(Default)]
pub(super) struct WriteQueue {
    /// What waits, in the order in which it leaves.
    messages: RefCell<VecDeque<QueuedMessage>>,
    /// The attempts of the call that is being written; empty between two calls and while a cancellation is
    /// written.
    writing: RefCell<Vec<AttemptInWriting>>,
    /// Whether a part of the last message that was written had not been taken by the other machine when its last
    /// byte was handed to the kernel. Independent of `writing`, which is about the message after it.
    unsent: Cell<bool>,
    /// Attempts that were left out of their call, since their time was over when it was written. They stay
    /// until they are taken back.
    expired: RefCell<BTreeSet<AttemptId>>,
    closing: Cell<Closing>,
    /// Notified when a message is pushed or `closing` changes, for the task's writing half.
    changed: Notify,
    /// Notified when `closing` changes, for the part of the task that bounds how long closing takes.
    close_requested: Notify,
}

impl WriteQueue {
    pub(super) fn push(&self, message: QueuedMessage) {
        self.messages.borrow_mut().push_back(message);
        self.changed.notify_one();
    }

    pub(super) fn pop(&self) -> Option<QueuedMessage> {
        self.messages.borrow_mut().pop_front()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.borrow().is_empty()
    }

    pub(super) fn clear(&self) {
        self.messages.borrow_mut().clear();
    }

    /// Has the connection end in this way, unless an earlier call asked for a later state of [`Closing`].
    pub(super) fn close(&self, closing: Closing) {
        self.closing.set(self.closing.get().max(closing));
        self.changed.notify_one();
        self.close_requested.notify_one();
    }

    pub(super) fn closing(&self) -> Closing {
        self.closing.get()
    }

    /// Waits until a message is pushed or the connection is to end.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the connection is to end.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Removes an attempt; false if it has begun to leave.
    pub(super) fn take_back(&self, attempt: AttemptId) -> bool {
        let queued = self
            .messages
            .borrow_mut()
            .iter_mut()
            .any(|message| match message {
                QueuedMessage::Call(attempts) => {
                    let before = attempts.len();
                    attempts.retain(|a| a.attempt != attempt);
                    attempts.len() < before
                }
                QueuedMessage::Cancel(_) => false,
            });
        queued || self.expired.borrow_mut().remove(&attempt)
    }

    /// Encodes a call at the time at which it leaves; `None` if no attempt of it is in time.
    ///
    /// Where the process was held up, or the replica is slow to read, the time of an attempt may be over: it
    /// has been given up, and is left out.
    pub(super) fn begin_call(&self, attempts: Vec<QueuedAttempt>, now: f64) -> Option<Vec<u8>> {
        let (attempts, expired): (Vec<_>, Vec<_>) =
            attempts.into_iter().partition(|a| a.is_in_time(now));
        self.expired
            .borrow_mut()
            .extend(expired.iter().map(|a| a.attempt));
        if attempts.is_empty() {
            return None;
        }
        let parts: Vec<Vec<u8>> = attempts.iter().map(|a| a.bytes(now)).collect();
        let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        let mut bytes = Vec::new();
        frame::call(&mut bytes, &parts);
        *self.writing.borrow_mut() = attempts
            .into_iter()
            .map(|a| AttemptInWriting {
                attempt: a.attempt,
                last_write: a.last_write,
            })
            .collect();
        Some(bytes)
    }

    /// Records that the kernel has the message. `unsent`: whether the other machine has not taken all of it.
    pub(super) fn written(&self, now: f64, unsent: bool) {
        self.unsent.set(unsent);
        for written in std::mem::take(&mut *self.writing.borrow_mut()) {
            written.last_write.set(now);
        }
    }

    fn is_writing(&self, attempt: AttemptId) -> bool {
        self.writing.borrow().iter().any(|w| w.attempt == attempt)
    }

    /// Whether it has begun to leave and has not all left this machine, as far as the last look tells.
    pub(super) fn is_partly_sent(&self, attempt: AttemptId) -> bool {
        self.unsent.get() || self.is_writing(attempt)
    }

    /// How an attempt that is partly sent ends: without its last byte it cannot have run.
    pub(super) fn partly_sent_ending(&self, attempt: AttemptId) -> Ending {
        if self.is_writing(attempt) {
            Ending::NeverSent
        } else {
            Ending::TimedOut
        }
    }

    /// Attempts whose last byte has not been handed to the kernel.
    pub(super) fn unwritten(&self) -> BTreeSet<AttemptId> {
        let mut attempts = self.expired.borrow().clone();
        attempts.extend(self.writing.borrow().iter().map(|w| w.attempt));
        for message in self.messages.borrow().iter() {
            if let QueuedMessage::Call(queued) = message {
                attempts.extend(queued.iter().map(|a| a.attempt));
            }
        }
        attempts
    }
}
