//! One connection of a client: what it is doing, and its limits in time.
//!
//! Timers would cost a wake-up each; instead every connection notes what it does and since when, and one
//! sweep a few times a second finds those that are overdue.

use crate::deadline::Clock;
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

/// How long a client may leave what was written to it unread.
const WRITE_STALL_LIMIT: Duration = Duration::from_secs(10);
/// After a connection was told to end, how long it may take.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No byte of a next request has come.
    Idle,
    /// A request's head is arriving.
    ReadingHead,
    /// A request is being read or answered.
    InRequest,
}

/// Why a connection must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// It has been idle for too long, or the process is closing.
    Idle,
    /// A head has not come whole in time, and the answers before it have been written whole.
    SlowHead,
    /// It does not read, or did not end when told to.
    Stalled,
}

#[derive(Debug)]
struct Track {
    activity: Activity,
    since: f64,
    blocked_since: Option<f64>,
    told_to_close: Option<f64>,
    overdue: Option<Overdue>,
}

/// What one connection is doing, shared between its task and the sweep.
pub struct ConnectionTrack {
    track: Mutex<Track>,
    notify: Notify,
    clock: Clock,
}

impl ConnectionTrack {
    /// A connection that has just been accepted.
    pub fn new(clock: Clock) -> Self {
        let track = Track {
            activity: Activity::Idle,
            since: clock.now(),
            blocked_since: None,
            told_to_close: None,
            overdue: None,
        };
        ConnectionTrack {
            track: Mutex::new(track),
            notify: Notify::new(),
            clock,
        }
    }

    /// What it is doing, and since when in seconds.
    pub fn activity(&self) -> (Activity, f64) {
        let track = self.track.lock();
        (track.activity, track.since)
    }

    /// A request's head has been read.
    pub fn request_began(&self) {
        self.enter(Activity::InRequest);
    }

    /// A request's answer has been handed over whole, or given up.
    pub fn request_ended(&self) {
        self.enter(Activity::Idle);
    }

    fn enter(&self, activity: Activity) {
        let now = self.clock.now();
        let mut track = self.track.lock();
        track.activity = activity;
        track.since = now;
    }

    fn bytes_arrived(&self) {
        let mut track = self.track.lock();
        if track.activity == Activity::Idle {
            track.activity = Activity::ReadingHead;
            track.since = self.clock.now();
        }
    }

    fn write_blocked(&self, blocked: bool) {
        let mut track = self.track.lock();
        match (blocked, track.blocked_since) {
            (true, None) => track.blocked_since = Some(self.clock.now()),
            (false, Some(_)) => track.blocked_since = None,
            _ => {}
        }
    }

    /// Tells the connection's task to end if a limit is reached.
    pub fn sweep(&self, now: f64, limits: &ClientLimits, closing: bool) {
        let mut track = self.track.lock();
        let age = now - track.since;
        let over = |since: Option<f64>, limit: Duration| {
            since.is_some_and(|at| now - at > limit.as_secs_f64())
        };
        let overdue = if over(track.blocked_since, WRITE_STALL_LIMIT)
            || over(track.told_to_close, CLOSE_LIMIT)
        {
            Some(Overdue::Stalled)
        } else {
            match track.activity {
                Activity::Idle if closing || age > limits.idle_timeout.as_secs_f64() => {
                    Some(Overdue::Idle)
                }
                Activity::ReadingHead if age > limits.header_timeout.as_secs_f64() => {
                    Some(if track.blocked_since.is_some() {
                        Overdue::Stalled
                    } else {
                        Overdue::SlowHead
                    })
                }
                _ => None,
            }
        };
        if let Some(overdue) = overdue
            && track.overdue != Some(overdue)
        {
            track.overdue = Some(overdue);
            track.told_to_close.get_or_insert(now);
            self.notify.notify_one();
        }
    }

    /// Returns when the connection must end.
    pub async fn overdue(&self) -> Overdue {
        loop {
            self.notify.notified().await;
            if let Some(overdue) = self.track.lock().overdue {
                return overdue;
            }
        }
    }
}

/// A connection's socket, which notes what passes.
pub struct TrackedSocket {
    socket: TokioIo<TcpStream>,
    track: Arc<ConnectionTrack>,
}

impl TrackedSocket {
    /// Wraps an accepted socket.
    pub fn new(socket: TcpStream, track: Arc<ConnectionTrack>) -> Self {
        TrackedSocket {
            socket: TokioIo::new(socket),
            track,
        }
    }

    /// Writes a short last message, if there is room for it.
    pub fn write_last(&self, message: &[u8]) {
        let _ = self.socket.inner().try_write(message);
    }
}

impl Read for TrackedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.socket).poll_read(context, buffer);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.track.bytes_arrived();
        }
        result
    }
}

impl Write for TrackedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.track.write_blocked(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
