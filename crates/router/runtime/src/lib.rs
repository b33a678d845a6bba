//! Interface of a co-ordinator to time, tasks and sockets. All access goes through [`Net`], so that the same code
//! runs on real sockets and on the virtual clock of the simulation. [`Tokio`] is the implementation on sockets.
//!
//! Each process runs on one thread, so futures need not be `Send`. An implementation may stop a process at an
//! await point, but never while a task is being polled. Times are in Unix seconds.

mod tokio_net;

pub use tokio_net::{TaskHandle, Tokio, TokioDatagrams, TokioListener, TokioStream};

use snafu::Snafu;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;

/// The deadline of [`Net::timeout_at`] or [`Net::timeout`] passed before the future finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// A task panicked or was cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct TaskError {
    /// Panic message, or cause of the cancellation.
    pub reason: String,
}

/// Clock, tasks and sockets of one process.
pub trait Net: Clone + 'static {
    /// Stream connection to a peer.
    type Stream: Stream;
    /// Listening socket for stream connections.
    type Listener: Listener<Stream = Self::Stream>;
    /// Datagram socket.
    type Datagrams: Datagrams;
    /// Future that resolves when the task finishes. Dropping it detaches the task, which continues to run.
    type TaskHandle: Future<Output = Result<(), TaskError>> + Unpin;

    /// Current time in Unix seconds by this machine's clock, which is monotonic.
    fn now(&self) -> f64;

    /// Sleeps until `time` on the clock of [`Net::now`]; returns immediately if it has passed.
    fn sleep_until(&self, time: f64) -> impl Future<Output = ()>;

    /// Starts `task` on the thread of this process.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::TaskHandle;

    /// Yields once, so that other ready tasks and sockets are polled.
    fn yield_now(&self) -> impl Future<Output = ()>;

    /// Resolves `name`, in the form `host:port`, to a socket address.
    fn lookup(&self, name: &str) -> impl Future<Output = io::Result<SocketAddr>>;

    /// Opens a connection that sends small messages without delay.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens on `address`, even if a process that has just exited was using it. The accept backlog is as long as
    /// the implementation and the system allow.
    fn listen(&self, address: SocketAddr) -> io::Result<Self::Listener>;

    /// Opens a datagram socket bound to `address`.
    fn datagrams(&self, address: SocketAddr) -> io::Result<Self::Datagrams>;

    /// Sleeps for `seconds`.
    fn sleep(&self, seconds: f64) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + seconds)
    }

    /// Runs `future` until the time `deadline`. A future that finishes exactly at the deadline has not timed out.
    fn timeout_at<F: Future>(
        &self,
        deadline: f64,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        async move {
            let (mut future, mut timer) = (pin!(future), pin!(self.sleep_until(deadline)));
            std::future::poll_fn(|cx| {
                if let Poll::Ready(output) = future.as_mut().poll(cx) {
                    return Poll::Ready(Ok(output));
                }
                timer.as_mut().poll(cx).map(|()| Err(Elapsed))
            })
            .await
        }
    }

    /// Runs `future` for at most `seconds`.
    fn timeout<F: Future>(
        &self,
        seconds: f64,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + seconds, future)
    }
}

/// Listening socket for stream connections.
pub trait Listener: 'static {
    /// Accepted connection.
    type Stream: Stream;

    /// Accepts the next connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Bound address. Its port is the one that the system assigned if none was requested.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// Datagram socket. A datagram is delivered as a whole or not at all.
pub trait Datagrams: 'static {
    /// Receives the next datagram, truncated to the length of `buffer`; returns its length and sender.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Sends a datagram without waiting. A datagram that cannot be sent immediately is dropped.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// Stream connection. Dropping it closes the connection; bytes already written are still delivered, unless
/// [`Stream::reset_on_drop`] was called.
pub trait Stream: 'static {
    /// Reading half.
    type Reader<'a>: Read
    where
        Self: 'a;
    /// Writing half.
    type Writer<'a>: Write
    where
        Self: 'a;

    /// Splits the connection into a reading and a writing half, which can be used concurrently.
    fn split(&mut self) -> (Self::Reader<'_>, Self::Writer<'_>);

    /// Waits until the connection is readable.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Appends received bytes to `buffer` without waiting and returns their number, which is 0 at end of stream.
    /// Fails with `WouldBlock` if no bytes are available.
    fn try_read(&self, buffer: &mut Vec<u8>) -> io::Result<usize>;

    /// Appends the next received bytes to `buffer` and returns their number, which is 0 at end of stream.
    fn read(&mut self, buffer: &mut Vec<u8>) -> impl Future<Output = io::Result<usize>>;

    /// Writes all of `bytes`.
    fn write_all(&mut self, bytes: &[u8]) -> impl Future<Output = io::Result<()>>;

    /// Shuts down the sending direction.
    fn shutdown(&mut self) -> impl Future<Output = io::Result<()>>;

    /// Seconds since the kernel last received bytes on this connection; 0 if it does not report this.
    fn receive_delay(&self) -> f64;

    /// Makes dropping the connection reset it and discard bytes that have not been sent from this machine.
    fn reset_on_drop(&self);
}

/// Reading half of a connection.
pub trait Read {
    /// Appends the next received bytes to `buffer` and returns their number, which is 0 at end of stream.
    fn read(&mut self, buffer: &mut Vec<u8>) -> impl Future<Output = io::Result<usize>>;

    /// See [`Stream::receive_delay`].
    fn receive_delay(&self) -> f64;

    /// Like [`Read::receive_delay`], for the byte `behind` bytes before the last one read. The default returns the
    /// delay of the connection, for systems that do not report it per byte.
    fn receive_delay_of(&self, behind: usize) -> f64 {
        let _ = behind;
        self.receive_delay()
    }
}

/// Writing half of a connection.
pub trait Write {
    /// Waits until the connection is writable.
    fn writable(&self) -> impl Future<Output = io::Result<()>>;

    /// Writes all of `bytes`.
    fn write_all(&mut self, bytes: &[u8]) -> impl Future<Output = io::Result<()>>;

    /// Number of written bytes that have not been sent, for example because the peer does not read; 0 if the
    /// system does not report this.
    fn unsent(&self) -> usize;
}
