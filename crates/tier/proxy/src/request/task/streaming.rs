//! Forwards a stream of events, and handles its end.

use super::{ActiveStream, RequestTask};
use crate::mutations::{Mutation, is_mutated};
use crate::replica::attempt::OpenStream;
use crate::replica::event_stream::{EventReader, StreamPosition};
use crate::request::state::{Execution, RequestEnd, RequestProgress};
use crate::turns::request_turn::TurnError;
use bytes::Bytes;
use woadreach_scheduler::{FailReason, Outcome, ServerLoad, StartedResponse};

impl RequestTask {
    /// Starts to forward the stream of an attempt, if the scheduler still counts it as in flight. If the scheduler has
    /// given it up, the commands to abort it and to send another one are queued; that one resumes from the position
    /// that the client has now, which this stream must not move.
    pub(super) fn start_stream(
        &mut self,
        attempt: u32,
        open: Box<OpenStream>,
        load: Option<ServerLoad>,
    ) {
        let started = self
            .proxy
            .dispatcher
            .response_started(self.id, attempt, load);
        tracing::debug!(
            request = %self.request.metadata.request_id,
            attempt,
            ?started,
            position = ?self.position,
            streaming_attempt = self.progress.streaming(),
            "stream started"
        );
        if started == StartedResponse::Discard && !is_mutated(Mutation::ForwardAbortedStream) {
            return self.end_attempt(attempt, Execution::MayHaveRun);
        }
        if !self.transition(|progress| progress.stream_started(attempt)) {
            let outcome = self.broken_stream_outcome();
            return self.report_outcome(attempt, outcome, None);
        }
        self.stream_head.get_or_insert_with(|| open.head.clone());
        self.stream = Some(ActiveStream {
            attempt,
            open,
            reader: EventReader::default(),
        });
    }

    /// Forwards the events that these bytes complete.
    pub(super) async fn forward_events(&mut self, data: Bytes) -> Option<RequestEnd> {
        let active = self.stream.as_mut()?;
        let Ok(mut batch) = active.reader.push(data) else {
            return self.handle_broken_stream();
        };
        if let StreamPosition::After(last_id) = self.position {
            batch.skip_through(last_id);
        }
        self.position.advance(&batch.events);
        if batch.bytes.is_empty() {
            return None;
        }
        let head = self.stream_head.as_ref()?;
        let forwarded = tokio::select! {
            forwarded = self.response.send_chunk(head, batch.bytes) => forwarded,
            () = self.deadline.as_mut() => return Some(self.fail(FailReason::TimedOut)),
        };
        if forwarded.is_err() {
            return Some(self.end_disconnected());
        }
        self.turn.add_events(batch.events);
        None
    }

    /// Handles a body that ended as its framing says: stores the turn, then completes the response.
    pub(super) async fn finish_stream(&mut self) -> Option<RequestEnd> {
        if self.stream.as_ref()?.ended_inside_event() {
            return self.handle_broken_stream();
        }
        let active = self.stream.take()?;
        let remainder = active.reader.into_remainder();
        active.open.release();
        self.end_attempt(active.attempt, Execution::MayHaveRun);
        self.report_outcome(active.attempt, Outcome::Answered, None);
        let head = self.stream_head.clone()?;
        if self.response.send_chunk(&head, remainder).await.is_err() {
            return Some(self.end_disconnected());
        }
        self.transition(RequestProgress::committing);
        let stored = tokio::select! {
            stored = self.turn.store(&self.proxy.storage, &self.request) => stored,
            () = self.deadline.as_mut() => Err(TurnError::Unavailable),
        };
        if stored.is_err() {
            return Some(self.abort_response());
        }
        self.response.finish().await;
        Some(self.end(RequestEnd::Answered))
    }

    /// Handles a stream that broke off: another replica resumes it if the scheduler wants that and the position is
    /// known.
    pub(super) fn handle_broken_stream(&mut self) -> Option<RequestEnd> {
        let active = self.stream.take()?;
        self.end_stream_attempt(active.attempt);
        let outcome = self.broken_stream_outcome();
        self.report_outcome(active.attempt, outcome, None);
        self.fail_unless_resumable()
    }

    /// Ends an attempt whose stream was forwarded and is not complete.
    pub(super) fn end_stream_attempt(&mut self, attempt: u32) {
        self.end_attempt(attempt, Execution::MayHaveRun);
        if self.response.is_awaiting_head() {
            // No byte of this replica's body was forwarded, so its head does not belong to the response.
            self.stream_head = None;
        }
    }

    /// Ends the request if no replica could resume the stream at the position that the client has.
    pub(super) fn fail_unless_resumable(&mut self) -> Option<RequestEnd> {
        (self.position == StreamPosition::Unknown).then(|| self.fail(FailReason::MayHaveRun))
    }

    fn broken_stream_outcome(&self) -> Outcome {
        Outcome::Broken {
            sent: true,
            events: self.turn.token_counter.events(),
        }
    }
}
