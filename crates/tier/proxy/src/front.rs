//! Takes clients' connections and serves them.

use crate::client_connection::{Activity, ConnectionTrack, Overdue, TrackedSocket};
use crate::counters::Counters;
use crate::lifecycle::Phase;
use crate::proxy::Proxy;
use crate::request_service::serve_request;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::MissedTickBehavior;
use woadreach_config::ClientLimits;
use woadreach_settings::ProcessLimits;

/// How often connections are looked over.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Descriptors that are not for connections of clients: files, replicas, other processes of the tier.
const OTHER_DESCRIPTORS: u64 = 1400;
/// Memory that a client's connection may need, and the part of the process's memory that they may fill
/// together.
const CONNECTION_BYTES: u64 = 24 * 1024;
const CONNECTIONS_SHARE_OF_MEMORY: u64 = 3;
const FEWEST_CONNECTIONS: u64 = 64;
/// The least that hyper takes as the bound of its buffer.
const LEAST_BUFFER: usize = 8192;

const SLOW_HEAD_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The connections of clients.
pub struct Front {
    proxy: Arc<Proxy>,
    connections: Mutex<BTreeMap<u64, Arc<ConnectionTrack>>>,
    most_connections: usize,
}

/// How many connections of clients a process may hold.
pub fn most_connections(limits: &ProcessLimits) -> usize {
    let by_descriptors = limits
        .max_fds
        .saturating_sub(OTHER_DESCRIPTORS)
        .max(limits.max_fds / 4);
    let by_memory = limits.memory_mb * 1024 * 1024 / CONNECTIONS_SHARE_OF_MEMORY / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(FEWEST_CONNECTIONS) as usize
}

impl Front {
    /// A front for this proxy.
    pub fn new(proxy: Arc<Proxy>, limits: &ProcessLimits) -> Arc<Self> {
        let connections = Mutex::default();
        Arc::new(Front {
            proxy,
            connections,
            most_connections: most_connections(limits),
        })
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.connections.lock().len()
    }

    /// Whether the head of a request is arriving on any connection.
    pub fn is_reading(&self) -> bool {
        let connections = self.connections.lock();
        connections
            .values()
            .any(|track| track.activity().0 == Activity::ReadingHead)
    }

    /// Accepts connections; never returns.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut number = 0;
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    number += 1;
                    self.take(number, socket);
                }
                Err(error) => {
                    tracing::warn!(%error, "a connection could not be accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Looks over the connections from time to time; never returns.
    pub async fn sweep(self: Arc<Self>) {
        let mut interval = tokio::time::interval(SWEEP_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.sweep_once();
            self.proxy.pool.sweep();
        }
    }

    /// Ends connections that are overdue; idle ones too once the process is closing.
    pub fn sweep_once(&self) {
        self.sweep_at(self.proxy.clock.now());
    }

    /// Ends connections that are overdue at this time, in seconds of the process's clock.
    pub fn sweep_at(&self, now: f64) {
        let limits = self.proxy.knowledge().limits();
        let closing = self.proxy.lifecycle.phase() == Phase::Closing;
        for track in self.connections.lock().values() {
            track.sweep(now, &limits, closing);
        }
    }

    fn take(self: &Arc<Self>, number: u64, socket: TcpStream) {
        Counters::add(&self.proxy.counters.connections);
        if self.open_connections() >= self.most_connections && !self.drop_longest_idle() {
            Counters::add(&self.proxy.counters.shed_connections);
            return;
        }
        let _ = socket.set_nodelay(true);
        let track = Arc::new(ConnectionTrack::new(self.proxy.clock));
        self.connections.lock().insert(number, track.clone());
        let front = self.clone();
        tokio::spawn(async move {
            serve_connection(&front.proxy, socket, track).await;
            front.connections.lock().remove(&number);
        });
    }

    /// Makes room by ending the connection that has been idle for longest.
    fn drop_longest_idle(&self) -> bool {
        let connections = self.connections.lock();
        let idle = connections
            .values()
            .filter_map(|track| match track.activity() {
                (Activity::Idle, since) => Some((since, track)),
                _ => None,
            });
        let Some((_, longest)) = idle.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return false;
        };
        let at_once = ClientLimits {
            idle_timeout: Duration::ZERO,
            ..ClientLimits::default()
        };
        longest.sweep(self.proxy.clock.now(), &at_once, true);
        true
    }
}

async fn serve_connection(proxy: &Arc<Proxy>, socket: TcpStream, track: Arc<ConnectionTrack>) {
    let limits = proxy.knowledge().limits();
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER))
        .max_header_size(limits.max_header_bytes)
        .auto_date_header(false)
        .writev(false);
    let service = service_fn(|request| serve_request(proxy.clone(), track.clone(), request));
    let socket = TrackedSocket::new(socket, track.clone());
    let mut connection = builder.serve_connection(socket, service);
    loop {
        let overdue = tokio::select! {
            _ended = &mut connection => return,
            overdue = track.overdue() => overdue,
        };
        match overdue {
            Overdue::Idle => Pin::new(&mut connection).graceful_shutdown(),
            Overdue::SlowHead => {
                connection.into_parts().io.write_last(SLOW_HEAD_ANSWER);
                return;
            }
            Overdue::Stalled => return,
        }
    }
}
