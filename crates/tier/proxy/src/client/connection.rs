//! Time-outs of one client's connection.
//!
//! Timers would cost a wake-up each. Instead every connection records what it does and since when, and one sweep
//! a few times a second finds those whose time is over.

use crate::clock::Clock;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use woadreach_config::ClientLimits;

/// How long a client may leave written bytes unread.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may take to close after its task was notified.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No byte of a next request has arrived.
    Idle,
    /// A request's head is arriving.
    ReadingHead,
    /// A request is being read or answered.
    InRequest,
}

/// Why a connection must close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionTimeout {
    /// It has been idle for too long, or the process is closing.
    Idle,
    /// A head was not complete in time, and the responses before it have been written completely.
    RequestHead,
    /// The client does not read, or the connection did not close after its task was notified.
    Stalled,
}

/// What a connection is doing, and since when, in seconds of the process's clock.
#[derive(Debug)]
struct ConnectionState {
    activity: Activity,
    activity_since: f64,
    /// Since when the client has not read what was written; `None` while the socket accepts bytes.
    write_blocked_since: Option<f64>,
    /// When the connection's task was first notified of a time-out. Must not change once set.
    close_requested_at: Option<f64>,
    /// The time-out of which the task was notified last.
    timeout: Option<ConnectionTimeout>,
}

impl ConnectionState {
    /// The limit that is exceeded at `now`, if any.
    fn exceeded_timeout(
        &self,
        now: f64,
        limits: &ClientLimits,
        closing: bool,
    ) -> Option<ConnectionTimeout> {
        let exceeds = |since: Option<f64>, limit: Duration| {
            since.is_some_and(|at| now - at > limit.as_secs_f64())
        };
        if exceeds(self.write_blocked_since, WRITE_STALL_TIMEOUT)
            || exceeds(self.close_requested_at, CLOSE_TIMEOUT)
        {
            return Some(ConnectionTimeout::Stalled);
        }
        let exceeds = |limit: Duration| now - self.activity_since > limit.as_secs_f64();
        match self.activity {
            Activity::Idle if closing || exceeds(limits.idle_timeout) => {
                Some(ConnectionTimeout::Idle)
            }
            Activity::ReadingHead if exceeds(limits.header_timeout) => {
                Some(if self.write_blocked_since.is_some() {
                    ConnectionTimeout::Stalled
                } else {
                    ConnectionTimeout::RequestHead
                })
            }
            _ => None,
        }
    }
}

/// What one connection is doing, shared between its task and the sweep.
pub struct ConnectionMonitor {
    state: Mutex<ConnectionState>,
    notify: Notify,
    clock: Clock,
}

impl ConnectionMonitor {
    /// The monitor of a connection that has just been accepted.
    pub fn new(clock: Clock) -> Self {
        let state = ConnectionState {
            activity: Activity::Idle,
            activity_since: clock.now(),
            write_blocked_since: None,
            close_requested_at: None,
            timeout: None,
        };
        ConnectionMonitor {
            state: Mutex::new(state),
            notify: Notify::new(),
            clock,
        }
    }

    /// What the connection is doing.
    pub fn activity(&self) -> Activity {
        self.state.lock().activity
    }

    /// Since when the connection is idle, in seconds of the process's clock; `None` if it is not, or is closing.
    pub fn idle_since(&self) -> Option<f64> {
        let state = self.state.lock();
        let is_idle = state.activity == Activity::Idle && state.close_requested_at.is_none();
        is_idle.then_some(state.activity_since)
    }

    /// Records that a request's head has been read.
    pub fn request_started(&self) {
        self.enter(Activity::InRequest);
    }

    /// Records that hyper has taken a request's complete response, or dropped it.
    pub fn request_finished(&self) {
        self.enter(Activity::Idle);
    }

    fn enter(&self, activity: Activity) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.activity = activity;
        state.activity_since = now;
    }

    fn bytes_received(&self) {
        let mut state = self.state.lock();
        if state.activity == Activity::Idle {
            state.activity = Activity::ReadingHead;
            state.activity_since = self.clock.now();
        }
    }

    fn write_blocked(&self, blocked: bool) {
        let mut state = self.state.lock();
        match (blocked, state.write_blocked_since) {
            (true, None) => state.write_blocked_since = Some(self.clock.now()),
            (false, Some(_)) => state.write_blocked_since = None,
            _ => {}
        }
    }

    /// Notifies the connection's task if a limit is exceeded at `now`, in seconds of the process's clock.
    /// `closing`: idle connections close at once.
    pub fn check_timeouts(&self, now: f64, limits: &ClientLimits, closing: bool) {
        let mut state = self.state.lock();
        let Some(timeout) = state.exceeded_timeout(now, limits, closing) else {
            return;
        };
        if state.timeout != Some(timeout) {
            state.timeout = Some(timeout);
            state.close_requested_at.get_or_insert(now);
            self.notify.notify_one();
        }
    }

    /// Notifies the connection's task if the connection is idle, or stalled at `now`, in seconds of the process's
    /// clock.
    pub fn close_if_idle(&self, now: f64) {
        self.check_timeouts(now, &ClientLimits::default(), true);
    }

    /// Returns when the connection must close.
    pub async fn timed_out(&self) -> ConnectionTimeout {
        loop {
            self.notify.notified().await;
            if let Some(timeout) = self.state.lock().timeout {
                return timeout;
            }
        }
    }
}

/// A connection's socket, which records reads and blocked writes in the connection's monitor.
pub struct MonitoredSocket {
    socket: TokioIo<TcpStream>,
    monitor: Arc<ConnectionMonitor>,
}

impl MonitoredSocket {
    /// Wraps an accepted socket.
    pub fn new(socket: TcpStream, monitor: Arc<ConnectionMonitor>) -> Self {
        MonitoredSocket {
            socket: TokioIo::new(socket),
            monitor,
        }
    }

    /// Writes a short message as far as the socket's buffer takes it, without waiting.
    pub fn try_write(&self, message: &[u8]) {
        let _ = self.socket.inner().try_write(message);
    }
}

impl Read for MonitoredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.socket).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.monitor.bytes_received();
        }
        result
    }
}

impl Write for MonitoredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.monitor.write_blocked(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
