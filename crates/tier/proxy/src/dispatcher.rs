//! Drives the scheduler: passes it events, and sends each of its actions to the request's task.
//!
//! It stands between the requests' tasks and the decisions, which have neither I/O nor a clock of their own.

use crate::clock::Clock;
use parking_lot::Mutex;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use woadreach_scheduler::{
    Action, Call, CallId, DecisionCounts, FailReason, Outcome, ReplicaSpec, Scheduler,
    SchedulerLoad, ServerLoad, ServiceSpec, StartedResponse,
};

/// What a request's task is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to this replica.
    Send {
        /// Number of the attempt within its request.
        attempt: u32,
        /// Id of the replica.
        replica: Arc<str>,
        /// Time-out of the attempt in seconds.
        timeout: f64,
    },
    /// Respond 503 with `Retry-After`.
    Refuse {
        /// Value of `Retry-After` in seconds.
        retry_after: f64,
    },
    /// Respond that the request has failed.
    Fail {
        /// Why it has failed.
        reason: FailReason,
    },
    /// Abort this attempt, which resets its connection.
    Abort {
        /// Number of the attempt within its request.
        attempt: u32,
    },
}

/// A request that the dispatcher knows.
pub struct RegisteredCall {
    /// Id of its call; never reused within a process.
    pub id: CallId,
    /// Commands for its task, in the order in which they are to be executed.
    pub commands: UnboundedReceiver<Command>,
}

/// What the scheduler has decided and what it holds, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerReport {
    /// How often each decision was made since the process started.
    pub counts: DecisionCounts,
    /// What it holds.
    pub load: SchedulerLoad,
}

struct Inner {
    scheduler: Scheduler,
    /// Senders of the requests that are registered.
    command_senders: HashMap<CallId, UnboundedSender<Command>>,
    /// The id that was given last.
    last_id: u64,
    /// When the timer wakes next, in seconds of the process's clock; `None` if it waits to be rearmed.
    armed_for: Option<f64>,
}

/// The scheduler, with the requests that wait for its decisions.
pub struct Dispatcher {
    inner: Mutex<Inner>,
    /// Notified when the timer has to wake earlier than it would.
    rearm: Notify,
    clock: Clock,
}

impl Dispatcher {
    /// A dispatcher without requests.
    pub fn new(scheduler: Scheduler, clock: Clock) -> Self {
        let inner = Inner {
            scheduler,
            command_senders: HashMap::new(),
            last_id: 0,
            armed_for: None,
        };
        Dispatcher {
            inner: Mutex::new(inner),
            rearm: Notify::new(),
            clock,
        }
    }

    /// Registers a new request.
    pub fn register(&self) -> RegisteredCall {
        let (sender, commands) = unbounded_channel();
        let mut inner = self.inner.lock();
        inner.last_id += 1;
        let id = CallId(inner.last_id);
        inner.command_senders.insert(id, sender);
        RegisteredCall { id, commands }
    }

    /// Removes a request that has ended.
    pub fn unregister(&self, id: CallId) {
        self.inner.lock().command_senders.remove(&id);
    }

    /// Offers a request to the scheduler.
    pub fn submit(&self, call: Call) {
        self.apply(|scheduler, now| scheduler.submit(now, call));
    }

    /// Reports how an attempt has ended, with the load that the replica sent.
    pub fn attempt_ended(
        &self,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
        load: Option<ServerLoad>,
    ) {
        self.apply(|scheduler, now| scheduler.attempt_ended(now, id, attempt, outcome, load));
    }

    /// Reports that the stream of an attempt has started: its head has arrived. Returns whether to forward it, as the
    /// scheduler may have given the attempt up before.
    pub fn response_started(
        &self,
        id: CallId,
        attempt: u32,
        load: Option<ServerLoad>,
    ) -> StartedResponse {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.scheduler.response_started(now, id, attempt, load)
    }

    /// Reports that a request has ended, answered or not: no attempt is wanted for it any more.
    pub fn call_ended(&self, id: CallId) {
        self.apply(|scheduler, now| scheduler.call_ended(now, id));
    }

    /// Replaces the services. `edges` share each replica's connections.
    pub fn update_services(&self, services: &[ServiceSpec], edges: usize) {
        self.apply(|scheduler, _now| {
            scheduler.update_services(services, edges);
            Vec::new()
        });
    }

    /// What the scheduler has decided and what it holds.
    pub fn scheduler_report(&self) -> SchedulerReport {
        let inner = self.inner.lock();
        SchedulerReport {
            counts: inner.scheduler.decision_counts(),
            load: inner.scheduler.load(),
        }
    }

    /// Replaces the names of the configured routes.
    pub fn update_routes(&self, configured: &BTreeSet<&str>) {
        self.apply(|scheduler, _now| {
            scheduler.update_routes(configured);
            Vec::new()
        });
    }

    /// Replaces the replicas.
    pub fn update_replicas(&self, replicas: &[ReplicaSpec]) {
        self.apply(|scheduler, now| {
            scheduler.update_replicas(now, replicas);
            Vec::new()
        });
    }

    /// Wakes the scheduler at the times that it asks for; never returns.
    pub async fn run_timer(&self) {
        loop {
            let armed = self.arm();
            let rearmed = self.rearm.notified();
            match armed {
                None => rearmed.await,
                Some(at) => tokio::select! {
                    () = rearmed => {}
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {
                        self.apply(|scheduler, now| scheduler.wake(now));
                    }
                },
            }
        }
    }

    fn arm(&self) -> Option<f64> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.armed_for = inner.scheduler.next_wake(now);
        inner.armed_for
    }

    fn apply(&self, decide: impl FnOnce(&mut Scheduler, f64) -> Vec<Action>) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = decide(&mut inner.scheduler, now);
        for action in actions {
            let (id, command) = command(action);
            tracing::debug!(call = id.0, ?command, "command queued");
            if let Some(command_sender) = inner.command_senders.get(&id) {
                let _ = command_sender.send(command);
            }
        }
        let wanted = inner.scheduler.next_wake(now);
        let earlier = match (wanted, inner.armed_for) {
            (Some(wanted), Some(armed)) => wanted < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if earlier {
            inner.armed_for = wanted;
            self.rearm.notify_one();
        }
    }
}

fn command(action: Action) -> (CallId, Command) {
    match action {
        Action::Send {
            call,
            attempt,
            replica,
            timeout,
        } => (
            call,
            Command::Send {
                attempt,
                replica,
                timeout,
            },
        ),
        Action::Refuse { call, retry_after } => (call, Command::Refuse { retry_after }),
        Action::Fail { call, reason } => (call, Command::Fail { reason }),
        Action::Abort { call, attempt } => (call, Command::Abort { attempt }),
    }
}
