//! The messages to the successor: probes, writes, and the complete state.

use std::time::Duration;

use super::Replication;
use super::successor::Link;
use crate::message::{Body, Write};
use crate::state::{Command, WritePosition};

/// Upper bound of the bytes of writes in one message. A single write may exceed it.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

impl Replication {
    /// The next message to the successor, if one is due. The caller must send it, and call again until there
    /// is none.
    pub(crate) fn next_message(&mut self, now: Duration, epoch: u64) -> Option<Body> {
        let own = self.persisted_position(epoch)?;
        let is_due = self.successor.is_due(now);
        let is_first = !self.successor.has_content_in_flight();
        let body = match self.successor.link {
            Link::Transferring if self.successor.must_resend => Some(self.transfer(own)),
            Link::Unknown | Link::Transferring => is_due.then(|| self.probe(own)),
            Link::Streaming { persisted, sent } => self.stream(own, persisted, sent, is_due),
        }?;
        self.successor
            .record_sent(now, &body, self.barrier, is_first);
        Some(body)
    }

    /// When the successor is to be probed, unless it is up to date by then.
    pub(crate) fn next_resend(&self, epoch: u64) -> Option<Duration> {
        let own = self.persisted_position(epoch)?;
        (!self.is_chain_up_to_date(own)).then_some(self.successor.next_probe())
    }

    /// Whether the chain behind this member has committed `own`, this member's persisted position, and has
    /// confirmed the newest barrier.
    fn is_chain_up_to_date(&self, own: WritePosition) -> bool {
        let link = self.successor.link;
        matches!(link, Link::Streaming { persisted, .. } if persisted == own)
            && self.committed_position() == Some(own)
            && self.confirmed == self.barrier
    }

    /// The next writes for a successor that has acknowledged those up to `persisted` and was sent those up to
    /// `sent`; the complete state if the writes are no longer retained; `None` if nothing is to be sent.
    fn stream(
        &mut self,
        own: WritePosition,
        persisted: WritePosition,
        sent: WritePosition,
        is_due: bool,
    ) -> Option<Body> {
        let from = if self.successor.must_resend {
            persisted
        } else {
            sent
        };
        let has_new_barrier = self.successor.sent_barrier != self.barrier;
        let is_probe = is_due && !self.is_chain_up_to_date(own);
        if from >= own && !has_new_barrier && !is_probe {
            return None;
        }
        let Some(writes) = self.writes_after(from, own) else {
            self.successor.link = Link::Transferring;
            return Some(self.transfer(own));
        };
        let sent = writes.last().map_or(from, |write| write.position);
        self.successor.link = Link::Streaming { persisted, sent };
        Some(self.replicate(from, writes))
    }

    /// The writes after `from`, up to `own` and to [`MAX_MESSAGE_BYTES`]; `None` if they are no longer
    /// retained.
    fn writes_after(&self, from: WritePosition, own: WritePosition) -> Option<Vec<Write>> {
        let is_retained =
            from == self.base.position || self.pending.iter().any(|write| write.position == from);
        if !is_retained {
            return None;
        }
        let mut bytes = 0;
        let mut writes = Vec::new();
        for write in self
            .pending
            .iter()
            .filter(|write| write.position > from && write.position <= own)
        {
            bytes += command_bytes(&write.command);
            if bytes > MAX_MESSAGE_BYTES && !writes.is_empty() {
                break;
            }
            writes.push(write.clone());
        }
        Some(writes)
    }

    /// A message without writes: the successor reports its progress, and activates the epoch if it has the
    /// same state.
    fn probe(&self, own: WritePosition) -> Body {
        self.replicate(own, Vec::new())
    }

    /// The writes after the position `after`.
    fn replicate(&self, after: WritePosition, writes: Vec<Write>) -> Body {
        Body::Replicate {
            after,
            writes,
            barrier: self.barrier,
        }
    }

    /// The complete state that is on this member's disk.
    fn transfer(&self, own: WritePosition) -> Body {
        let mut state = self.base.clone();
        for write in self.pending.iter().filter(|write| write.position <= own) {
            state.apply(write.position, &write.command);
        }
        Body::Transfer {
            state,
            barrier: self.barrier,
        }
    }
}

fn command_bytes(command: &Command) -> usize {
    match command {
        Command::PutConfiguration(put) => put.body.0.len(),
        Command::PutStorageView(put) => put.bytes.0.len(),
    }
}
