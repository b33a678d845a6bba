//! Drives the admission decisions and hands each action to the request that it concerns.

use crate::deadline::Clock;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use woadreach_scheduler::{
    Action, Admission, Call, CallId, FailReason, Outcome, ReplicaSpec, ServerLoad, ServiceSpec,
};

/// What a request is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send to this replica.
    Send {
        /// Number of the attempt.
        attempt: u32,
        /// Id of the replica.
        replica: Arc<str>,
        /// Seconds until the attempt ends.
        timeout: f64,
        /// Rank at the replica.
        priority: Option<u8>,
    },
    /// Answer 503 with `Retry-After` in seconds.
    Refuse {
        /// When to come back.
        retry_after: f64,
    },
    /// Answer that it failed.
    Fail {
        /// Why.
        reason: FailReason,
    },
    /// Drop this attempt.
    Abort {
        /// Number of the attempt.
        attempt: u32,
    },
}

struct Inner {
    admission: Admission,
    mailboxes: HashMap<CallId, UnboundedSender<Command>>,
    next_id: u64,
    armed: Option<f64>,
}

/// The decisions of this process with the requests that wait for them.
pub struct Dispatcher {
    inner: Mutex<Inner>,
    rearm: Notify,
    clock: Clock,
}

impl Dispatcher {
    /// A dispatcher around fresh decisions.
    pub fn new(admission: Admission, clock: Clock) -> Self {
        let inner = Inner {
            admission,
            mailboxes: HashMap::new(),
            next_id: 0,
            armed: None,
        };
        Dispatcher {
            inner: Mutex::new(inner),
            rearm: Notify::new(),
            clock,
        }
    }

    /// A new request's identity and mailbox.
    pub fn register(&self) -> (CallId, UnboundedReceiver<Command>) {
        let (sender, receiver) = unbounded_channel();
        let mut inner = self.inner.lock();
        inner.next_id += 1;
        let id = CallId(inner.next_id);
        inner.mailboxes.insert(id, sender);
        (id, receiver)
    }

    /// Forgets a request that has ended.
    pub fn forget(&self, id: CallId) {
        self.inner.lock().mailboxes.remove(&id);
    }

    /// A request has been read whole and may be sent.
    pub fn arrive(&self, call: Call) {
        self.apply(|admission, now| admission.arrive(now, call));
    }

    /// An attempt has ended.
    pub fn outcome(&self, id: CallId, attempt: u32, outcome: Outcome, load: Option<ServerLoad>) {
        self.apply(|admission, now| admission.outcome(now, id, attempt, outcome, load));
    }

    /// The first event of a stream, or the head of another answer, is here.
    pub fn first_event(&self, id: CallId, attempt: u32, load: Option<ServerLoad>) {
        self.apply(|admission, now| {
            admission.first_event(now, id, attempt, load);
            Vec::new()
        });
    }

    /// The request is over on its own account: nothing more is wanted for it.
    pub fn cancelled(&self, id: CallId) {
        self.apply(|admission, now| admission.cancelled(now, id));
    }

    /// A new list of services.
    pub fn configure(&self, services: &[ServiceSpec], edges: usize) {
        self.apply(|admission, now| {
            admission.configure(now, services, edges);
            Vec::new()
        });
    }

    /// A new list of replicas.
    pub fn replicas(&self, replicas: &[ReplicaSpec]) {
        self.apply(|admission, now| {
            admission.replicas(now, replicas);
            Vec::new()
        });
    }

    /// Wakes the decisions when they want it; never returns.
    pub async fn run_timer(&self) {
        loop {
            let armed = self.arm();
            let rearmed = self.rearm.notified();
            match armed {
                None => rearmed.await,
                Some(at) => tokio::select! {
                    () = rearmed => {}
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {
                        self.apply(|admission, now| admission.wake(now));
                    }
                },
            }
        }
    }

    fn arm(&self) -> Option<f64> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.armed = inner.admission.next_wake(now);
        inner.armed
    }

    fn apply(&self, decide: impl FnOnce(&mut Admission, f64) -> Vec<Action>) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = decide(&mut inner.admission, now);
        for action in actions {
            let (id, command) = command(action);
            if let Some(mailbox) = inner.mailboxes.get(&id) {
                let _ = mailbox.send(command);
            }
        }
        let wanted = inner.admission.next_wake(now);
        let earlier = match (wanted, inner.armed) {
            (Some(wanted), Some(armed)) => wanted < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if earlier {
            inner.armed = wanted;
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
            priority,
        } => (
            call,
            Command::Send {
                attempt,
                replica,
                timeout,
                priority,
            },
        ),
        Action::Refuse { call, retry_after } => (call, Command::Refuse { retry_after }),
        Action::Fail { call, reason } => (call, Command::Fail { reason }),
        Action::Abort { call, attempt } => (call, Command::Abort { attempt }),
    }
}
