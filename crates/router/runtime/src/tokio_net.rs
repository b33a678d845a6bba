//! [`Net`] on tokio's sockets, timers and single-threaded tasks.

use crate::{Datagrams, Listener, Net, Read, Stream, TaskError, Write};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::JoinHandle;

/// Maximum number of connections in the accept queue; the kernel may allow fewer.
const MAX_BACKLOG: u32 = 4096;

/// Sockets of the operating system, and a monotonic clock that starts at the system time.
#[derive(Clone, Copy)]
pub struct Tokio {
    /// Time on this clock at `started`, in Unix seconds.
    start: f64,
    started: Instant,
    /// Seconds on this clock per second on the system's monotonic clock; 1 except in tests.
    rate: f64,
}

impl Tokio {
    /// Creates a clock that starts at the current system time and runs at the system's rate.
    pub fn new() -> Self {
        let start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64();
        Tokio {
            start,
            started: Instant::now(),
            rate: 1.0,
        }
    }

    /// Creates a clock that starts `ahead` seconds ahead of the system time and runs `rate` times as fast. Used by
    /// tests of machines whose clocks differ.
    pub fn skewed(rate: f64, ahead: f64) -> Self {
        let system = Self::new();
        Tokio {
            start: system.start + ahead,
            rate,
            ..system
        }
    }
}

impl Default for Tokio {
    fn default() -> Self {
        Self::new()
    }
}

/// Handle to await the end of a task. Dropping it detaches the task, which continues to run.
pub struct TaskHandle(JoinHandle<()>);

impl Future for TaskHandle {
    type Output = Result<(), TaskError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(cx).map_err(|e| TaskError {
            reason: e.to_string(),
        })
    }
}

impl Net for Tokio {
    type Stream = TokioStream;
    type Listener = TokioListener;
    type Datagrams = TokioDatagrams;
    type TaskHandle = TaskHandle;

    fn now(&self) -> f64 {
        self.start + self.started.elapsed().as_secs_f64() * self.rate
    }

    fn sleep_until(&self, time: f64) -> impl Future<Output = ()> {
        let wait = Duration::try_from_secs_f64((time - self.start) / self.rate).unwrap_or_default();
        tokio::time::sleep_until((self.started + wait).into())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> TaskHandle {
        TaskHandle(tokio::task::spawn_local(task))
    }

    fn yield_now(&self) -> impl Future<Output = ()> {
        tokio::task::yield_now()
    }

    async fn lookup(&self, name: &str) -> io::Result<SocketAddr> {
        // A literal address needs no DNS lookup.
        if let Ok(address) = name.parse() {
            return Ok(address);
        }
        let not_found =
            || io::Error::new(io::ErrorKind::NotFound, format!("no address for {name}"));
        tokio::net::lookup_host(name)
            .await?
            .next()
            .ok_or_else(not_found)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TokioStream> {
        TcpStream::connect(to).await.map(TokioStream::new)
    }

    fn listen(&self, address: SocketAddr) -> io::Result<TokioListener> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        // Allows a restarted process to bind the address of a process that has just exited.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(MAX_BACKLOG).map(TokioListener)
    }

    fn datagrams(&self, address: SocketAddr) -> io::Result<TokioDatagrams> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket).map(TokioDatagrams)
    }
}

/// UDP socket.
pub struct TokioDatagrams(UdpSocket);

impl Datagrams for TokioDatagrams {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.0.recv_from(buffer).await
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.0.try_send_to(bytes, to).map(|_| ())
    }
}

/// Listening TCP socket.
pub struct TokioListener(TcpListener);

impl Listener for TokioListener {
    type Stream = TokioStream;

    async fn accept(&self) -> io::Result<TokioStream> {
        self.0
            .accept()
            .await
            .map(|(stream, _)| TokioStream::new(stream))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// TCP connection, with Nagle's algorithm disabled where the system permits it.
pub struct TokioStream(TcpStream);

impl TokioStream {
    fn new(stream: TcpStream) -> Self {
        // Failure is ignored: it only makes the connection slower.
        let _ = stream.set_nodelay(true);
        TokioStream(stream)
    }
}

impl Stream for TokioStream {
    type Reader<'a> = TokioReader<'a>;
    type Writer<'a> = TokioWriter<'a>;

    fn split(&mut self) -> (TokioReader<'_>, TokioWriter<'_>) {
        let (reader, writer) = self.0.split();
        (TokioReader(reader), TokioWriter(writer))
    }

    async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }

    fn try_read(&self, buffer: &mut Vec<u8>) -> io::Result<usize> {
        self.0.try_read_buf(buffer)
    }

    async fn read(&mut self, buffer: &mut Vec<u8>) -> io::Result<usize> {
        self.0.read_buf(buffer).await
    }

    async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes).await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.0.shutdown().await
    }

    fn receive_delay(&self) -> f64 {
        receive_delay(&self.0)
    }

    fn reset_on_drop(&self) {
        // Failure is ignored: the connection is then closed without a reset.
        let _ = self.0.set_zero_linger();
    }
}

/// Reading half of a TCP connection.
pub struct TokioReader<'a>(ReadHalf<'a>);

impl Read for TokioReader<'_> {
    async fn read(&mut self, buffer: &mut Vec<u8>) -> io::Result<usize> {
        self.0.read_buf(buffer).await
    }

    fn receive_delay(&self) -> f64 {
        receive_delay(self.0.as_ref())
    }
}

/// Writing half of a TCP connection.
pub struct TokioWriter<'a>(WriteHalf<'a>);

impl Write for TokioWriter<'_> {
    async fn writable(&self) -> io::Result<()> {
        self.0.writable().await
    }

    async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes).await
    }

    fn unsent(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        let fd = self.0.as_ref().as_raw_fd();
        // SAFETY: `SIOCOUTQNSD` writes one `c_int` to the given address, which is that of `bytes`, and nothing else.
        let result = unsafe { libc::ioctl(fd, SIOCOUTQNSD, &raw mut bytes) };
        if result == 0 {
            usize::try_from(bytes).unwrap_or(0)
        } else {
            0
        }
    }
}

/// Linux `ioctl` request for the number of unsent bytes in the send queue (`linux/sockios.h`).
const SIOCOUTQNSD: libc::Ioctl = 0x894B;

/// Seconds since the kernel last received bytes on a connection; 0 if it does not report this.
fn receive_delay(socket: &impl AsRawFd) -> f64 {
    // SAFETY: `tcp_info` has only integer fields, so all zeros is a valid value. `getsockopt` writes at most
    // `length` bytes to it.
    let (mut info, mut length) = (unsafe { std::mem::zeroed::<libc::tcp_info>() }, 0);
    length += size_of::<libc::tcp_info>() as libc::socklen_t;
    let info_ptr = (&raw mut info).cast();
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info_ptr,
            &mut length,
        )
    };
    if result == 0 {
        f64::from(info.tcpi_last_data_recv) / 1000.0
    } else {
        0.0
    }
}
