//! Messages to the successor: probes, writes, and the complete state.

use std::time::Duration;

use super::Replication;
use super::successor::SuccessorState;
use crate::message::{Body, Write};
use crate::state::{Command, WritePosition};

/// Maximum total size of the commands in one message, in bytes. A message with a single write may exceed it.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

impl Replication {
    /// The next message to the successor; `None` if none is due. The caller must send it and call again until
    /// the result is `None`.
    pub(crate) fn next_message(&mut self, now: Duration, epoch: u64) -> Option<Body> {
        let own_persisted = self.persisted_position(epoch)?;
        let is_due = self.successor.is_due(now);
        let is_first = !self.successor.has_content_in_flight();
        let body = match self.successor.state {
            SuccessorState::Transferring if self.successor.must_resend => {
                Some(self.transfer(own_persisted))
            }
            SuccessorState::Unknown | SuccessorState::Transferring => {
                is_due.then(|| self.probe(own_persisted))
            }
            SuccessorState::Streaming { persisted, sent } => {
                self.stream(own_persisted, persisted, sent, is_due)
            }
        }?;
        self.successor
            .record_sent(now, &body, self.barrier, is_first);
        Some(body)
    }

    /// Time at which the successor is next probed; `None` if the chain is up to date.
    pub(crate) fn next_resend(&self, epoch: u64) -> Option<Duration> {
        let own_persisted = self.persisted_position(epoch)?;
        (!self.is_chain_up_to_date(own_persisted)).then_some(self.successor.next_probe())
    }

    /// Whether every write up to `own_persisted`, this member's persisted position, is committed, and the newest
    /// barrier is confirmed.
    fn is_chain_up_to_date(&self, own_persisted: WritePosition) -> bool {
        let state = self.successor.state;
        matches!(state, SuccessorState::Streaming { persisted, .. } if persisted == own_persisted)
            && self.committed_position() == Some(own_persisted)
            && self.confirmed == self.barrier
    }

    /// The next writes for a successor that has acknowledged the writes up to `persisted` and was sent the
    /// writes up to `sent`; the complete state if those writes are no longer retained; `None` if there is
    /// nothing to send.
    fn stream(
        &mut self,
        own_persisted: WritePosition,
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
        let is_probe = is_due && !self.is_chain_up_to_date(own_persisted);
        if from >= own_persisted && !has_new_barrier && !is_probe {
            return None;
        }
        let Some(writes) = self.writes_after(from, own_persisted) else {
            self.successor.state = SuccessorState::Transferring;
            return Some(self.transfer(own_persisted));
        };
        let sent = writes.last().map_or(from, |write| write.position);
        self.successor.state = SuccessorState::Streaming { persisted, sent };
        Some(self.replicate(from, writes))
    }

    /// The writes after `from`, up to `own_persisted` and up to [`MAX_MESSAGE_BYTES`]; `None` if they are no
    /// longer retained.
    fn writes_after(
        &self,
        from: WritePosition,
        own_persisted: WritePosition,
    ) -> Option<Vec<Write>> {
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
            .filter(|write| write.position > from && write.position <= own_persisted)
        {
            bytes += command_bytes(&write.command);
            if bytes > MAX_MESSAGE_BYTES && !writes.is_empty() {
                break;
            }
            writes.push(write.clone());
        }
        Some(writes)
    }

    /// A message without writes. The successor answers it with its progress, and activates the epoch if its
    /// state has the same position.
    fn probe(&self, own_persisted: WritePosition) -> Body {
        self.replicate(own_persisted, Vec::new())
    }

    /// The writes after the position `after`.
    fn replicate(&self, after: WritePosition, writes: Vec<Write>) -> Body {
        Body::Replicate {
            after,
            writes,
            barrier: self.barrier,
        }
    }

    /// The complete state on this member's disk, whose position is `own_persisted`.
    fn transfer(&self, own_persisted: WritePosition) -> Body {
        let mut state = self.base.clone();
        for write in self
            .pending
            .iter()
            .filter(|write| write.position <= own_persisted)
        {
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
