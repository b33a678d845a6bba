//! What a simulated process sees of its machine: the network, the clock and its tasks.

use super::Network;
use super::datagram::SimDatagrams;
use super::listener::SimListener;
use super::stream::SimStream;
use crate::clock::{MILLISECOND, Nanos, ProcessId, Sleep};
use crate::time::{NANOS_PER_SECOND, seconds};
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::oneshot;
use woadreach_runtime::{Net, TaskError};

/// Unix seconds at which every simulated world begins.
pub const BEGIN: f64 = 1_700_000_000.0;
/// tokio's timers have a resolution of a millisecond and never fire early; those of a simulated process do
/// likewise.
const TIMER_RESOLUTION: Nanos = MILLISECOND;

/// The [`Net`] of a simulated process.
#[derive(Clone)]
pub(crate) struct SimNet {
    network: Network,
    process: ProcessId,
}

impl SimNet {
    pub(super) fn new(network: Network, process: ProcessId) -> Self {
        SimNet { network, process }
    }

    /// The process.
    pub(crate) fn process(&self) -> ProcessId {
        self.process
    }

    fn clock_offset(&self) -> f64 {
        self.network
            .0
            .machines
            .borrow()
            .get(&self.process)
            .map_or(0.0, |m| m.clock_offset)
    }
}

/// Completes when its task does.
pub(crate) struct SimTaskHandle {
    outcome: oneshot::Receiver<()>,
}

impl Future for SimTaskHandle {
    type Output = Result<(), TaskError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.outcome).poll(cx).map_err(|_| TaskError {
            reason: "the task has panicked".to_string(),
        })
    }
}

impl Net for SimNet {
    type Stream = SimStream;
    type Listener = SimListener;
    type Datagrams = SimDatagrams;
    type TaskHandle = SimTaskHandle;

    fn now(&self) -> f64 {
        BEGIN + self.clock_offset() + seconds(self.network.now())
    }

    async fn sleep_until(&self, time: f64) {
        let clock = &self.network.0.clock;
        while self.now() < time {
            let wait = ((time - self.now()) * NANOS_PER_SECOND).ceil() as Nanos;
            let due = (clock.now() + wait).div_ceil(TIMER_RESOLUTION) * TIMER_RESOLUTION;
            Sleep::new(clock, due.max(clock.now() + 1)).await;
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> SimTaskHandle {
        let (sender, outcome) = oneshot::channel();
        self.network.0.clock.spawn(self.process, async move {
            task.await;
            let _ = sender.send(());
        });
        SimTaskHandle { outcome }
    }

    async fn yield_now(&self) {
        let mut has_yielded = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut has_yielded, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }

    async fn lookup(&self, name: &str) -> io::Result<SocketAddr> {
        name.parse()
            .map_err(|_| io::Error::new(ErrorKind::NotFound, format!("no address for {name}")))
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        self.network.connect(self.process, to).await
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        SimDatagrams::bind(&self.network, self.process, at)
    }

    fn listen(&self, at: SocketAddr) -> io::Result<SimListener> {
        SimListener::bind(&self.network, self.process, at)
    }
}
