//! The seam under a co-ordinator: all that it asks of the outside. Time, tasks, and connections that can be
//! made, accepted, read and written go through [`Net`] and nothing else, so that the code which serves on
//! sockets also runs on a virtual clock. [`Tokio`] is the implementation on sockets. Owns nothing; must never
//! know what the bytes mean.
//!
//! Everything runs on one thread: futures need not be `Send`, and an implementation may stop a process
//! between any two waits, but never within one step. Times are Unix seconds.

mod tokio_net;

pub use tokio_net::{Joined, Tokio, TokioDatagrams, TokioListener, TokioStream};

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;

/// What was waited for has not come in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

pub trait Net: Clone + 'static {
    type Stream: Stream;
    type Listener: Listener<Stream = Self::Stream>;
    type Datagrams: Datagrams;
    /// Ends when the task does: with an error that says why if it has not ended well. To drop it lets the
    /// task go on by itself.
    type Joined: Future<Output = Result<(), String>> + Unpin;

    /// Unix seconds by this machine's clock; never goes back.
    fn now(&self) -> f64;

    /// Over at this time by the same clock, at once if that has passed.
    fn sleep_until(&self, time: f64) -> impl Future<Output = ()>;

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Joined;

    /// Lets all that is ready go first.
    fn turn(&self) -> impl Future<Output = ()>;

    fn lookup(&self, name: &str) -> impl Future<Output = io::Result<SocketAddr>>;

    /// A connection on which small messages leave at once.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Takes an address that a process which has just died had, and holds as many that wait as it may.
    fn listen(&self, at: SocketAddr) -> io::Result<Self::Listener>;

    /// Datagrams that come to and leave from this address.
    fn datagrams(&self, at: SocketAddr) -> io::Result<Self::Datagrams>;

    fn sleep(&self, seconds: f64) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + seconds)
    }

    /// What comes at the same moment as the end of the wait has come in time.
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

    fn timeout<F: Future>(
        &self,
        seconds: f64,
        what: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + seconds, what)
    }
}

pub trait Listener: 'static {
    type Stream: Stream;

    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;

    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A place from which datagrams leave and to which they come, each whole or not at all.
pub trait Datagrams: 'static {
    /// What has come next, cut to the length of `into`, and from where.
    fn receive(&self, into: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Never waits: one that cannot leave now is lost.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// One connection. Its drop closes it: what has been written still arrives, unless it was told to reset.
pub trait Stream: 'static {
    type Reader<'a>: Read
    where
        Self: 'a;
    type Writer<'a>: Write
    where
        Self: 'a;

    fn split(&mut self) -> (Self::Reader<'_>, Self::Writer<'_>);

    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Appends what has come, or says `WouldBlock`; 0 at the end of what the other side sends.
    fn try_read(&self, into: &mut Vec<u8>) -> io::Result<usize>;

    fn read(&mut self, into: &mut Vec<u8>) -> impl Future<Output = io::Result<usize>>;

    fn write_all(&mut self, bytes: &[u8]) -> impl Future<Output = io::Result<()>>;

    /// Nothing more is sent from here.
    fn shutdown(&mut self) -> impl Future<Output = io::Result<()>>;

    /// For how many seconds the last bytes have lain unread, or there have been none; 0 where that cannot be
    /// told.
    fn waited(&self) -> f64;

    /// From now on its drop throws away what has not left this machine.
    fn reset_on_drop(&self);
}

pub trait Read {
    /// Appends to `into`; 0 at the end of what the other side sends.
    fn read(&mut self, into: &mut Vec<u8>) -> impl Future<Output = io::Result<usize>>;

    /// As `Stream::waited`.
    fn waited(&self) -> f64;

    /// The same of the byte that lies so many before the last one read, where it can be told apart.
    fn waited_for(&self, behind: usize) -> f64 {
        let _ = behind;
        self.waited()
    }
}

pub trait Write {
    fn writable(&self) -> impl Future<Output = io::Result<()>>;

    fn write_all(&mut self, bytes: &[u8]) -> impl Future<Output = io::Result<()>>;

    /// Bytes taken to be sent that have not left, since the other side takes none; 0 where that cannot be
    /// told.
    fn unsent(&self) -> usize;
}
