//! The life of one request, from the end of its reading to its answer.
//!
//! The task carries out what the decisions say, reports what came of it, and passes the answer on. Every
//! change of state goes through [`RequestProgress`]; see there for the table.

mod ending;
mod streaming;

use self::ending::RETRY_SOON;
use crate::answer_body::AnswerBody;
use crate::attempt::{AttemptReport, AttemptResult, OpenStream, OutgoingRequest, ReplicaAnswer};
use crate::attempt::{SendOrder, attempt, connection_share, duration};
use crate::client_request::ClientRequest;
use crate::client_side::ClientSide;
use crate::dispatcher::Command;
use crate::event_stream::{EventReader, StreamPosition};
use crate::own_answer::plain;
use crate::proxy::Proxy;
use crate::replica_answer::tells_its_length;
use crate::request_state::{RequestEnd, RequestProgress, RequestState};
use crate::turn_store::{PreparedTurn, TurnError};
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
use woadreach_scheduler::{CallId, FailReason, Outcome};

/// A stream that is being passed on.
struct ActiveStream {
    attempt: u32,
    open: Box<OpenStream>,
    reader: EventReader,
}

impl ActiveStream {
    /// Whether an orderly end of the body is none: a replica that crashes in the middle of an event may end
    /// its connection in order, which looks like the end of a body without a length.
    fn ends_inside_event(&self) -> bool {
        self.reader.is_inside_event() && !tells_its_length(&self.open.head)
    }
}

/// What the task waits for.
enum TaskEvent {
    Command(Command),
    Attempt(Box<AttemptReport>),
    StreamData(Bytes),
    StreamEnded,
    StreamBroke,
    ClientLeft,
    DeadlineReached,
}

/// The life of one request.
pub struct RequestTask {
    proxy: Arc<Proxy>,
    client: ClientRequest,
    id: CallId,
    commands: UnboundedReceiver<Command>,
    side: ClientSide,
    progress: RequestProgress,
    outgoing: Option<Arc<OutgoingRequest>>,
    attempts: JoinSet<AttemptReport>,
    running: Vec<(u32, AbortHandle)>,
    stream: Option<ActiveStream>,
    /// Head that the client's answer has, once a stream has begun.
    stream_head: Option<Parts>,
    position: StreamPosition,
    turn: PreparedTurn,
    last_failure: Option<ReplicaAnswer>,
    deadline: Pin<Box<Sleep>>,
}

impl RequestTask {
    /// A task for a request that has been read whole. Its answer's head goes to `head`.
    pub fn new(
        proxy: Arc<Proxy>,
        client: ClientRequest,
        head: oneshot::Sender<Response<AnswerBody>>,
    ) -> Self {
        let (id, commands) = proxy.dispatcher.register();
        let progress = RequestProgress::new(client.is_repeatable());
        let deadline = Box::pin(sleep_until(client.give_up));
        let turn = PreparedTurn::new(&client);
        RequestTask {
            proxy,
            client,
            id,
            commands,
            side: ClientSide::Unanswered(head),
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
        self.proxy.dispatcher.cancelled(self.id);
        self.proxy.dispatcher.forget(self.id);
        self.proxy.counters.count(end);
        tracing::debug!(
            request = %self.client.facts.request_id,
            program = self.client.facts.program.as_deref(),
            session = self.client.facts.session.as_deref(),
            route = %self.client.route.name,
            ?end,
            events = self.turn.ledger.events(),
            elapsed_ms = self.client.arrived.elapsed().as_millis() as u64,
            "request ended"
        );
    }

    async fn drive(&mut self) -> RequestEnd {
        if let Some(end) = self.prepare().await {
            return end;
        }
        self.change(RequestProgress::admitted);
        let clock = self.proxy.clock;
        self.proxy.dispatcher.arrive(
            self.client
                .call(self.id, |instant| clock.seconds_at(instant)),
        );
        loop {
            let event = self.next_event().await;
            if let Some(end) = self.handle(event).await {
                return end;
            }
        }
    }

    /// Looks up the chain and reserves the budget; an end if the request stops here.
    async fn prepare(&mut self) -> Option<RequestEnd> {
        let RequestTask {
            proxy,
            client,
            side,
            turn,
            deadline,
            ..
        } = self;
        let prepared = tokio::select! {
            prepared = turn.prepare(&proxy.turns, client) => prepared,
            () = side.closed() => return Some(self.end_without_client()),
            () = deadline => Err(TurnError::Unavailable),
        };
        match prepared {
            Ok(body) => {
                self.outgoing = Some(Arc::new(self.client.outgoing(body)));
                None
            }
            Err(TurnError::BudgetSpent) => {
                let answer = plain(
                    StatusCode::PAYMENT_REQUIRED,
                    "the program's budget is spent",
                );
                Some(self.end_with(RequestEnd::BudgetSpent, answer))
            }
            Err(TurnError::UnknownTurn) => {
                let answer = plain(StatusCode::NOT_FOUND, "Previous names no turn");
                Some(self.end_with(RequestEnd::UnknownTurn, answer))
            }
            Err(TurnError::Unavailable) => Some(self.refuse(RETRY_SOON)),
        }
    }

    async fn next_event(&mut self) -> TaskEvent {
        let RequestTask {
            commands,
            attempts,
            stream,
            side,
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
                () = side.closed() => TaskEvent::ClientLeft,
                () = deadline.as_mut() => TaskEvent::DeadlineReached,
            };
        }
    }

    async fn handle(&mut self, event: TaskEvent) -> Option<RequestEnd> {
        match event {
            TaskEvent::Command(command) => self.obey(command),
            TaskEvent::Attempt(report) => self.take_report(*report),
            TaskEvent::StreamData(data) => self.take_data(data).await,
            TaskEvent::StreamEnded => self.finish_stream().await,
            TaskEvent::StreamBroke => self.drop_broken_stream(),
            TaskEvent::ClientLeft => Some(self.end_without_client()),
            TaskEvent::DeadlineReached => Some(self.fail(FailReason::TimedOut)),
        }
    }

    fn obey(&mut self, command: Command) -> Option<RequestEnd> {
        match command {
            Command::Send {
                attempt,
                replica,
                timeout,
                priority,
            } => {
                self.send(attempt, replica, timeout, priority);
                None
            }
            Command::Refuse { retry_after } => Some(self.refuse(retry_after)),
            Command::Fail { reason } => Some(self.fail(reason)),
            Command::Abort { attempt } => {
                self.abort(attempt);
                None
            }
        }
    }

    fn send(&mut self, number: u32, replica: Arc<str>, timeout: f64, priority: Option<u8>) {
        let knowledge = self.proxy.knowledge();
        let record = knowledge.replicas.get(&*replica);
        let (Some(record), Some(outgoing)) = (record, self.outgoing.clone()) else {
            self.proxy
                .dispatcher
                .outcome(self.id, number, Outcome::NeverSent, None);
            return;
        };
        if let Err(error) = self.progress.sent() {
            tracing::error!(%error, "a request may not be sent again");
            self.proxy
                .dispatcher
                .outcome(self.id, number, Outcome::NeverSent, None);
            return;
        }
        tracing::debug!(request = %self.client.facts.request_id, attempt = number, %replica, "attempt sent");
        let max_conns = knowledge.max_conns(&record.heartbeat.service);
        let order = SendOrder {
            attempt: number,
            replica,
            address: record.heartbeat.address,
            most_connections: connection_share(max_conns, self.proxy.edges()),
            deadline: (Instant::now() + duration(timeout)).min(self.client.give_up),
            priority,
            resume_after: self.position.resume_after(),
        };
        let handle = self
            .attempts
            .spawn(attempt(self.proxy.pool.clone(), outgoing, order));
        self.running.push((number, handle));
    }

    fn abort(&mut self, number: u32) {
        let Some(index) = self
            .running
            .iter()
            .position(|(running, _)| *running == number)
        else {
            return;
        };
        let (_, handle) = self.running.swap_remove(index);
        handle.abort();
        self.change(|progress| progress.attempt_ended(false));
    }

    fn take_report(&mut self, report: AttemptReport) -> Option<RequestEnd> {
        let AttemptReport {
            attempt,
            result,
            load,
        } = report;
        if let AttemptResult::Failed { outcome, .. } = &result {
            tracing::debug!(request = %self.client.facts.request_id, attempt, ?outcome, "attempt failed");
        }
        let index = self
            .running
            .iter()
            .position(|(running, _)| *running == attempt)?;
        self.running.swap_remove(index);
        match result {
            AttemptResult::Answered(answer) => {
                self.change(|progress| progress.attempt_ended(false));
                self.proxy.dispatcher.first_event(self.id, attempt, load);
                self.proxy
                    .dispatcher
                    .outcome(self.id, attempt, Outcome::Answered, load);
                Some(self.pass_on(answer, RequestEnd::Answered))
            }
            AttemptResult::Streaming(open) => {
                self.change(RequestProgress::stream_began);
                self.proxy.dispatcher.first_event(self.id, attempt, load);
                self.stream_head.get_or_insert_with(|| open.head.clone());
                self.stream = Some(ActiveStream {
                    attempt,
                    open,
                    reader: EventReader::default(),
                });
                None
            }
            AttemptResult::Failed { outcome, answer } => {
                self.change(|progress| progress.attempt_ended(outcome.has_not_run()));
                self.last_failure = answer.or(self.last_failure.take());
                self.proxy
                    .dispatcher
                    .outcome(self.id, attempt, outcome, load);
                None
            }
        }
    }

    fn change(
        &mut self,
        change: impl FnOnce(&mut RequestProgress) -> Result<(), crate::request_state::StateError>,
    ) {
        if let Err(error) = change(&mut self.progress) {
            tracing::error!(%error, request = %self.client.facts.request_id, "unexpected change of state");
        }
    }

    /// Where the request is.
    pub fn state(&self) -> RequestState {
        self.progress.state()
    }
}
