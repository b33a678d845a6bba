//! What a co-ordinator asks of its environment: time, tasks, and connections that can be made, accepted, read
//! and written. All of it goes through [`Net`], so that the code which serves on sockets also runs on the
//! virtual clock of the simulation. [`Tokio`] is the implementation on sockets.
//!
//! Everything runs on one thread: futures need not be `Send`, and an implementation may stop a process
//! between any two waits, but never within one step. Times are Unix seconds.

mod tokio_net;

pub use tokio_net::{TaskHandle, Tokio, TokioDatagrams, TokioListener, TokioStream};

use snafu::Snafu;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;

/// A wait is over before its future has finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Why a task has not ended well.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct TaskError {
    /// The text of its panic, or why it was cancelled.
    pub reason: String,
}

/// Time, tasks and connections of one process.
pub trait Net: Clone + 'static {
    /// A connection.
    type Stream: Stream;
    /// An address on which connections are accepted.
    type Listener: Listener<Stream = Self::Stream>;
    /// A socket for datagrams.
    type Datagrams: Datagrams;
    /// Finishes when the task does. Dropping it lets the task go on by itself.
    type TaskHandle: Future<Output = Result<(), TaskError>> + Unpin;

    /// Unix seconds by this machine's clock, which never goes back.
    fn now(&self) -> f64;

    /// Finishes at this time by the same clock, at once if it has passed.
    fn sleep_until(&self, time: f64) -> impl Future<Output = ()>;

    /// Starts a task.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::TaskHandle;

    /// Yields once to all tasks and sockets that are ready.
    fn yield_now(&self) -> impl Future<Output = ()>;

    /// The address of a host and port by name.
    fn lookup(&self, name: &str) -> impl Future<Output = io::Result<SocketAddr>>;

    /// Opens a connection on which small messages leave at once.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens on an address, also where a process that has just died had it, with as long a backlog as the
    /// system allows.
    fn listen(&self, at: SocketAddr) -> io::Result<Self::Listener>;

    /// Opens a socket for datagrams at this address.
    fn datagrams(&self, at: SocketAddr) -> io::Result<Self::Datagrams>;

    /// Finishes after this time.
    fn sleep(&self, seconds: f64) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + seconds)
    }

    /// Waits for a future until a time. One that finishes at that very time has finished within it.
    fn timeout_at<F: Future>(
        &self,
        until: f64,
        what: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        async move {
            let (mut what, mut over) = (pin!(what), pin!(self.sleep_until(until)));
            std::future::poll_fn(|cx| {
                if let Poll::Ready(done) = what.as_mut().poll(cx) {
                    return Poll::Ready(Ok(done));
                }
                over.as_mut().poll(cx).map(|()| Err(Elapsed))
            })
            .await
        }
    }

    /// Waits for a future for this time.
    fn timeout<F: Future>(
        &self,
        seconds: f64,
        what: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + seconds, what)
    }
}

/// An address on which connections are accepted.
pub trait Listener: 'static {
    /// A connection.
    type Stream: Stream;

    /// Waits for the next connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;

    /// The address, with the port that the system has chosen where none was asked for.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A socket for datagrams, each of which is received completely or not at all.
pub trait Datagrams: 'static {
    /// Waits for the next datagram, cut to the length of `into`: its length and sender.
    fn receive(&self, into: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Sends a datagram. It never waits: one that cannot leave now is lost.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// A connection, which its drop closes: what has been written is still delivered, unless it is to reset.
pub trait Stream: 'static {
    /// The reading half.
    type Reader<'a>: Read
    where
        Self: 'a;
    /// The writing half.
    type Writer<'a>: Write
    where
        Self: 'a;

    /// Both halves, to be used at the same time.
    fn split(&mut self) -> (Self::Reader<'_>, Self::Writer<'_>);

    /// Waits until there is something to read.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Appends what has been received, or fails with `WouldBlock`; 0 at the end of what the other side sends.
    fn try_read(&self, into: &mut Vec<u8>) -> io::Result<usize>;

    /// Appends what is received next; 0 at the end of what the other side sends.
    fn read(&mut self, into: &mut Vec<u8>) -> impl Future<Output = io::Result<usize>>;

    /// Writes all of `bytes`.
    fn write_all(&mut self, bytes: &[u8]) -> impl Future<Output = io::Result<()>>;

    /// Ends what is sent from here.
    fn shutdown(&mut self) -> impl Future<Output = io::Result<()>>;

    /// Seconds since the kernel received the last bytes; 0 where it does not report that.
    fn receive_delay(&self) -> f64;

    /// From now on its drop resets the connection, and discards what has not left this machine.
    fn reset_on_drop(&self);
}

/// The reading half of a connection.
pub trait Read {
    /// Appends to `into`; 0 at the end of what the other side sends.
    fn read(&mut self, into: &mut Vec<u8>) -> impl Future<Output = io::Result<usize>>;

    /// As [`Stream::receive_delay`].
    fn receive_delay(&self) -> f64;

    /// The same of the byte `behind` bytes before the last one read, where the system reports it separately.
    fn receive_delay_of(&self, behind: usize) -> f64 {
        let _ = behind;
        self.receive_delay()
    }
}

/// The writing half of a connection.
pub trait Write {
    /// Waits until something can be written.
    fn writable(&self) -> impl Future<Output = io::Result<()>>;

    /// Writes all of `bytes`.
    fn write_all(&mut self, bytes: &[u8]) -> impl Future<Output = io::Result<()>>;

    /// Bytes that were written and have not left, since the other side takes none; 0 where the system does not
    /// report that.
    fn unsent(&self) -> usize;
}
