//! The task of one request, from its complete reading to its end.
//!
//! The task executes the scheduler's commands, reports the outcome of each attempt, and forwards the response. Start
//! with `drive`: it prepares the turn, offers the request to the scheduler, and then handles one event after the other
//! until one of them ends the request. `streaming` forwards events, `ending` builds the client's response to each end.
//! Every change of state goes through [`RequestProgress`], whose table is in [`crate::request::state`].

mod ending;
mod streaming;

use self::ending::RETRY_AFTER_LOCAL_REFUSAL;
use crate::client::local_response::text_response;
use crate::client::request::ClientRequest;
use crate::client::response_body::ResponseBody;
use crate::client::response_sender::ResponseSender;
use crate::dispatcher::{Command, RegisteredCall};
use crate::mutations::{Mutation, is_mutated};
use crate::proxy::Proxy;
use crate::replica::attempt::{
    AttemptParams, AttemptReport, AttemptResult, OpenStream, OutgoingRequest, ReplicaResponse,
    attempt, duration_from_seconds,
};
use crate::replica::event_stream::{EventReader, StreamPosition};
use crate::replica::pool::ReplicaEndpoint;
use crate::replica::response_head::has_explicit_length;
use crate::request::state::{Execution, InvalidTransition, RequestEnd, RequestProgress};
use crate::turns::request_turn::{RequestTurn, TurnError};
use bytes::Bytes;
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, Sleep, sleep_until};
use woadreach_scheduler::{CallId, FailReason, Outcome, ServerLoad, connections_per_process};

/// A stream that is being forwarded.
struct ActiveStream {
    /// Number of the attempt that it is the response to.
    attempt: u32,
    open: Box<OpenStream>,
    /// Bytes of an event that is not complete yet.
    reader: EventReader,
}

impl ActiveStream {
    /// Whether the body, which has ended in order, is truncated nevertheless: a replica that crashes inside an
    /// event may close its connection in order, which is also the end of a body without an explicit length.
    fn ended_inside_event(&self) -> bool {
        self.reader.is_inside_event() && !has_explicit_length(&self.open.head)
    }
}

/// An attempt whose response has not started.
struct RunningAttempt {
    attempt: u32,
    handle: AbortHandle,
}

/// What the task waits for.
enum TaskEvent {
    /// The scheduler has decided.
    Command(Command),
    /// An attempt has ended, or its stream has started.
    Attempt(Box<AttemptReport>),
    /// Bytes of the stream's body.
    StreamData(Bytes),
    /// The stream's body has ended as its framing says.
    StreamEnded,
    /// The stream's connection ended before its body.
    StreamBroke,
    ClientDisconnected,
    /// The deadline of the request, not of an attempt.
    DeadlineReached,
}

/// The task of one request.
pub struct RequestTask {
    proxy: Arc<Proxy>,
    /// The client's request.
    request: ClientRequest,
    id: CallId,
    commands: UnboundedReceiver<Command>,
    response: ResponseSender,
    progress: RequestProgress,
    /// The request as replicas get it; `None` until it is prepared.
    outgoing: Option<Arc<OutgoingRequest>>,
    /// Tasks of the attempts whose response has not started, and of aborted ones.
    attempts: JoinSet<AttemptReport>,
    /// The attempts whose response has not started. A report of any other attempt is ignored.
    running: Vec<RunningAttempt>,
    /// The stream that is being forwarded.
    stream: Option<ActiveStream>,
    /// Head of the client's response, once a stream has started. Must not change after a byte was forwarded.
    stream_head: Option<Parts>,
    /// How much of the stream the client has.
    position: StreamPosition,
    turn: RequestTurn,
    /// The last error response of a replica itself, which is forwarded if no further attempt is made.
    last_failure: Option<ReplicaResponse>,
    /// Fires when the request must be answered.
    deadline: Pin<Box<Sleep>>,
}

impl RequestTask {
    /// A task for a complete request. The response goes to `head`.
    pub fn new(
        proxy: Arc<Proxy>,
        request: ClientRequest,
        head: oneshot::Sender<Response<ResponseBody>>,
    ) -> Self {
        let RegisteredCall { id, commands } = proxy.dispatcher.register();
        let progress = RequestProgress::new(request.is_idempotent());
        let deadline = Box::pin(sleep_until(request.deadline));
        let turn = RequestTurn::new(&request);
        RequestTask {
            proxy,
            request,
            id,
            commands,
            response: ResponseSender::AwaitingHead(head),
            progress,
            outgoing: None,
            attempts: JoinSet::new(),
            running: Vec::new(),
            stream: None,
            stream_head: None,
            position: StreamPosition::Start,
            turn,
            last_failure: None,
            deadline,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        let end = self.drive().await;
        self.proxy.dispatcher.call_ended(self.id);
        self.proxy.dispatcher.unregister(self.id);
        self.proxy.counters.count(end);
        tracing::debug!(
            request = %self.request.metadata.request_id,
            program = self.request.metadata.program.as_deref(),
            session = self.request.metadata.session.as_deref(),
            route = %self.request.route.name,
            ?end,
            events = self.turn.token_counter.events(),
            elapsed_ms = self.request.arrived_at.elapsed().as_millis() as u64,
            "request ended"
        );
    }

    /// Prepares the request, offers it to the scheduler and handles events until one ends it.
    async fn drive(&mut self) -> RequestEnd {
        if let Some(end) = self.prepare().await {
            return end;
        }
        self.transition(RequestProgress::admitted);
        let clock = self.proxy.clock;
        self.proxy.dispatcher.submit(
            self.request
                .call(self.id, |instant| clock.seconds_at(instant)),
        );
        loop {
            let event = self.next_event().await;
            if let Some(end) = self.handle(event).await {
                return end;
            }
        }
    }

    /// Loads the stored turns and reserves the budget. Returns an end if the request stops here.
    async fn prepare(&mut self) -> Option<RequestEnd> {
        let RequestTask {
            proxy,
            request,
            response,
            turn,
            deadline,
            ..
        } = self;
        let prepared = tokio::select! {
            prepared = turn.prepare(&proxy.storage, request) => prepared,
            () = response.client_disconnected() => return Some(self.end_disconnected()),
            () = deadline => Err(TurnError::Unavailable),
        };
        match prepared {
            Ok(body) => {
                self.outgoing = Some(Arc::new(self.request.outgoing(body)));
                None
            }
            Err(TurnError::BudgetSpent) => {
                let response = text_response(
                    StatusCode::PAYMENT_REQUIRED,
                    "the program's budget is spent",
                );
                Some(self.end_with(RequestEnd::BudgetSpent, response))
            }
            Err(TurnError::UnknownTurn) => {
                let response = text_response(StatusCode::NOT_FOUND, "Previous names no turn");
                Some(self.end_with(RequestEnd::UnknownTurn, response))
            }
            Err(TurnError::Unavailable) => Some(self.refuse(RETRY_AFTER_LOCAL_REFUSAL)),
        }
    }

    /// Waits for the next event, from whichever side it comes.
    async fn next_event(&mut self) -> TaskEvent {
        let RequestTask {
            commands,
            attempts,
            stream,
            response,
            deadline,
            ..
        } = self;
        loop {
            let frame = async {
                match stream.as_mut() {
                    Some(active) => active.open.body.frame().await,
                    None => std::future::pending().await,
                }
            };
            return tokio::select! {
                Some(command) = commands.recv() => TaskEvent::Command(command),
                Some(joined) = attempts.join_next(), if !attempts.is_empty() => match joined {
                    Ok(report) => TaskEvent::Attempt(Box::new(report)),
                    Err(_aborted) => continue,
                },
                frame = frame => match frame {
                    None => TaskEvent::StreamEnded,
                    Some(Err(_)) => TaskEvent::StreamBroke,
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => TaskEvent::StreamData(data),
                        Err(_trailers) => continue,
                    },
                },
                () = response.client_disconnected() => TaskEvent::ClientDisconnected,
                () = deadline.as_mut() => TaskEvent::DeadlineReached,
            };
        }
    }

    /// Handles one event. Returns an end if the request has ended with it.
    async fn handle(&mut self, event: TaskEvent) -> Option<RequestEnd> {
        match event {
            TaskEvent::Command(command) => self.execute(command),
            TaskEvent::Attempt(report) => self.handle_report(*report),
            TaskEvent::StreamData(data) => self.forward_events(data).await,
            TaskEvent::StreamEnded => self.finish_stream().await,
            TaskEvent::StreamBroke => self.handle_broken_stream(),
            TaskEvent::ClientDisconnected => Some(self.end_disconnected()),
            TaskEvent::DeadlineReached => Some(self.fail(FailReason::TimedOut)),
        }
    }

    fn execute(&mut self, command: Command) -> Option<RequestEnd> {
        match command {
            Command::Send {
                attempt,
                replica,
                timeout,
            } => {
                self.send(attempt, replica, timeout);
                None
            }
            Command::Refuse { retry_after } => Some(self.refuse(retry_after)),
            Command::Fail { reason } => Some(self.fail(reason)),
            Command::Abort { attempt } => self.abort(attempt),
        }
    }

    /// Starts an attempt. One that cannot be sent is reported as [`Outcome::NeverSent`].
    fn send(&mut self, number: u32, replica: Arc<str>, timeout: f64) {
        let routing_state = self.proxy.routing_state();
        let record = routing_state.replicas.get(&*replica);
        let (Some(record), Some(outgoing)) = (record, self.outgoing.clone()) else {
            self.report_outcome(number, Outcome::NeverSent, None);
            return;
        };
        if let Err(error) = self.progress.sent(number) {
            tracing::error!(%error, request = %self.request.metadata.request_id, "attempt refused");
            self.report_outcome(number, Outcome::NeverSent, None);
            return;
        }
        tracing::debug!(
            request = %self.request.metadata.request_id,
            call = self.id.0,
            attempt = number,
            %replica,
            position = ?self.position,
            "attempt sent"
        );
        let max_conns = routing_state.max_conns(&record.heartbeat.service);
        let params = AttemptParams {
            attempt: number,
            endpoint: ReplicaEndpoint {
                replica,
                address: record.heartbeat.address,
            },
            max_connections: connections_per_process(max_conns, self.proxy.edges()),
            deadline: (Instant::now() + duration_from_seconds(timeout)).min(self.request.deadline),
            resume_after: self.position.resume_after(),
        };
        let handle = self
            .attempts
            .spawn(attempt(self.proxy.pool.clone(), outgoing, params));
        self.running.push(RunningAttempt {
            attempt: number,
            handle,
        });
    }

    /// Aborts an attempt, whether its response has started or not, which resets its connection. It counts as one that
    /// may have run. Ends the request if no other attempt could go on where a stream was aborted.
    fn abort(&mut self, attempt: u32) -> Option<RequestEnd> {
        let running = self.remove_running(attempt);
        tracing::debug!(
            request = %self.request.metadata.request_id,
            attempt,
            was_running = running.is_some(),
            streaming_attempt = self.progress.streaming(),
            "attempt aborted"
        );
        if let Some(running) = running {
            running.handle.abort();
            self.end_attempt(attempt, Execution::MayHaveRun);
            return None;
        }
        if is_mutated(Mutation::ForwardAbortedStream) {
            return None;
        }
        self.stream.take_if(|active| active.attempt == attempt)?;
        self.end_stream_attempt(attempt);
        self.fail_unless_resumable()
    }

    fn remove_running(&mut self, attempt: u32) -> Option<RunningAttempt> {
        let is_wanted = |running: &RunningAttempt| running.attempt == attempt;
        let index = self.running.iter().position(is_wanted)?;
        Some(self.running.swap_remove(index))
    }

    /// Handles the end of an attempt, or the start of its stream.
    fn handle_report(&mut self, report: AttemptReport) -> Option<RequestEnd> {
        let AttemptReport {
            attempt,
            result,
            load,
        } = report;
        if let AttemptResult::Failed { outcome, .. } = &result {
            tracing::debug!(request = %self.request.metadata.request_id, attempt, ?outcome, "attempt failed");
        }
        self.remove_running(attempt)?;
        match result {
            AttemptResult::Answered(response) => {
                self.end_attempt(attempt, Execution::MayHaveRun);
                self.report_outcome(attempt, Outcome::Answered, load);
                Some(self.forward(response, RequestEnd::Answered))
            }
            AttemptResult::Streaming(open) => {
                self.start_stream(attempt, open, load);
                None
            }
            AttemptResult::Failed { outcome, response } => {
                let execution = if outcome.has_not_run() {
                    Execution::HasNotRun
                } else {
                    Execution::MayHaveRun
                };
                self.end_attempt(attempt, execution);
                self.last_failure = response.or(self.last_failure.take());
                self.report_outcome(attempt, outcome, load);
                None
            }
        }
    }

    fn report_outcome(&self, attempt: u32, outcome: Outcome, load: Option<ServerLoad>) {
        let dispatcher = &self.proxy.dispatcher;
        dispatcher.attempt_ended(self.id, attempt, outcome, load);
    }

    fn end_attempt(&mut self, attempt: u32, execution: Execution) {
        self.transition(|progress| progress.attempt_ended(attempt, execution));
    }

    /// Changes the state and returns whether the table allows it. A transition that the table does not name is a fault
    /// of this program, and is logged.
    fn transition(
        &mut self,
        change: impl FnOnce(&mut RequestProgress) -> Result<(), InvalidTransition>,
    ) -> bool {
        let changed = change(&mut self.progress);
        if let Err(error) = &changed {
            tracing::error!(%error, request = %self.request.metadata.request_id, "state transition refused");
        }
        changed.is_ok()
    }
}
