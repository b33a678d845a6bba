//! A stream that is being passed on.

use super::RequestTask;
use crate::event_stream::StreamPosition;
use crate::request_state::{RequestEnd, RequestProgress};
use crate::turn_store::TurnError;
use bytes::Bytes;
use woadreach_scheduler::{FailReason, Outcome};

impl RequestTask {
    /// Passes on the events that these bytes complete.
    pub(super) async fn take_data(&mut self, data: Bytes) -> Option<RequestEnd> {
        let active = self.stream.as_mut()?;
        let Ok(mut batch) = active.reader.push(data) else {
            return self.drop_broken_stream();
        };
        if let StreamPosition::After(last_id) = self.position {
            batch.skip_through(last_id);
        }
        self.position.advance(&batch.events);
        if batch.bytes.is_empty() {
            return None;
        }
        let head = self.stream_head.as_ref()?;
        let passed = tokio::select! {
            passed = self.side.stream(head, batch.bytes) => passed.is_ok(),
            () = self.deadline.as_mut() => return Some(self.fail(FailReason::TimedOut)),
        };
        if !passed {
            return Some(self.end_without_client());
        }
        self.turn.take_events(batch.events);
        None
    }

    /// The body has ended as its framing says: the turn is made durable, then the answer ends.
    pub(super) async fn finish_stream(&mut self) -> Option<RequestEnd> {
        if self.stream.as_ref()?.ends_inside_event() {
            return self.drop_broken_stream();
        }
        let active = self.stream.take()?;
        let attempt = active.attempt;
        let rest = active.reader.into_rest();
        active.open.release();
        self.change(|progress| progress.attempt_ended(false));
        self.proxy
            .dispatcher
            .outcome(self.id, attempt, Outcome::Answered, None);
        let head = self.stream_head.clone()?;
        if self.side.stream(&head, rest).await.is_err() {
            return Some(self.end_without_client());
        }
        self.change(RequestProgress::committing);
        let committed = tokio::select! {
            committed = self.turn.commit(&self.proxy.turns, &self.client) => committed,
            () = self.deadline.as_mut() => Err(TurnError::Unavailable),
        };
        if committed.is_err() {
            self.side.cut();
            return Some(self.end(RequestEnd::Aborted));
        }
        self.side.finish().await;
        Some(self.end(RequestEnd::Answered))
    }

    /// The stream ended early. It goes on elsewhere if the decisions want that and its place is known.
    pub(super) fn drop_broken_stream(&mut self) -> Option<RequestEnd> {
        let active = self.stream.take()?;
        self.change(|progress| progress.attempt_ended(false));
        if self.side.is_unanswered() {
            // Nothing of this replica's was passed on: its head belongs to no part of the answer.
            self.stream_head = None;
        }
        let outcome = Outcome::Broken {
            sent: true,
            events: self.turn.ledger.events(),
        };
        self.proxy
            .dispatcher
            .outcome(self.id, active.attempt, outcome, None);
        (self.position == StreamPosition::Unknown).then(|| self.fail(FailReason::MayHaveRun))
    }
}
