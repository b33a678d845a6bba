//! Accepts clients' connections and serves them.
//!
//! It bounds the number of connections before any byte is read: at the bound the connection that has been idle
//! for longest is closed, and if none is idle the new one is.

use crate::client::connection::{Activity, ConnectionMonitor, ConnectionTimeout, MonitoredSocket};
use crate::client::service::serve_request;
use crate::counters::Counters;
use crate::lifecycle::Phase;
use crate::proxy::Proxy;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::MissedTickBehavior;
use woadreach_settings::ProcessLimits;

/// How often connections are checked against their time-outs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the system could not accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Descriptors reserved for files, replicas and other processes of the tier.
const RESERVED_DESCRIPTORS: u64 = 1400;
/// Memory that one client's connection may need, in bytes.
const CONNECTION_BYTES: u64 = 24 * 1024;
/// Clients' connections together may fill the process's memory divided by this.
const CONNECTIONS_MEMORY_DIVISOR: u64 = 3;
/// Clients' connections that are accepted however small the process's limits are.
const MIN_CONNECTIONS: u64 = 64;
/// The smallest buffer bound that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The listener with the clients' connections that are open.
pub struct ClientListener {
    proxy: Arc<Proxy>,
    /// Open connections by their number, in the order in which they were accepted.
    connections: Mutex<BTreeMap<u64, Arc<ConnectionMonitor>>>,
    /// Limit on the open connections; see [`max_connections`].
    max_connections: usize,
}

/// How many clients' connections a process of these limits may have open.
pub fn max_connections(limits: &ProcessLimits) -> usize {
    let by_descriptors = limits
        .max_fds
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(limits.max_fds / 4);
    let by_memory = limits.memory_mb * 1024 * 1024 / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS) as usize
}

impl ClientListener {
    /// A listener for this proxy, bounded by the process's limits.
    pub fn new(proxy: Arc<Proxy>, limits: &ProcessLimits) -> Arc<Self> {
        Arc::new(ClientListener {
            proxy,
            connections: Mutex::default(),
            max_connections: max_connections(limits),
        })
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.lock().len()
    }

    /// Whether the head of a request is arriving on any connection.
    pub fn is_reading(&self) -> bool {
        let connections = self.connections.lock();
        connections
            .values()
            .any(|monitor| monitor.activity() == Activity::ReadingHead)
    }

    /// Accepts connections; never returns.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut number = 0;
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    number += 1;
                    self.spawn_connection(number, socket);
                }
                Err(error) => {
                    tracing::warn!(%error, "client connection not accepted");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Checks the time-outs of clients' connections, and of those in the replicas' pool, at intervals; never
    /// returns.
    pub async fn sweep(self: Arc<Self>) {
        let mut interval = tokio::time::interval(SWEEP_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.sweep_once();
            self.proxy.pool.sweep();
        }
    }

    /// Closes connections that have timed out; idle ones too once the process is closing.
    pub fn sweep_once(&self) {
        self.sweep_at(self.proxy.clock.now());
    }

    /// Closes connections that have timed out at `now`, in seconds of the process's clock.
    pub fn sweep_at(&self, now: f64) {
        let limits = self.proxy.routing_state().limits();
        let closing = self.proxy.lifecycle.phase() == Phase::Closing;
        for monitor in self.connections.lock().values() {
            monitor.check_timeouts(now, &limits, closing);
        }
    }

    fn spawn_connection(self: &Arc<Self>, number: u64, socket: TcpStream) {
        Counters::add(&self.proxy.counters.connections);
        if self.open_connections() >= self.max_connections && !self.evict_longest_idle() {
            Counters::add(&self.proxy.counters.shed_connections);
            return;
        }
        let _ = socket.set_nodelay(true);
        let monitor = Arc::new(ConnectionMonitor::new(self.proxy.clock));
        self.connections.lock().insert(number, monitor.clone());
        let listener = self.clone();
        tokio::spawn(async move {
            serve_connection(&listener.proxy, socket, monitor).await;
            listener.connections.lock().remove(&number);
        });
    }

    /// Closes the connection that has been idle for longest; whether there was one.
    fn evict_longest_idle(&self) -> bool {
        let connections = self.connections.lock();
        let idle = connections
            .values()
            .filter_map(|monitor| Some((monitor.idle_since()?, monitor)));
        let Some((_, longest_idle)) = idle.min_by(|(a, _), (b, _)| a.total_cmp(b)) else {
            return false;
        };
        longest_idle.close_if_idle(self.proxy.clock.now());
        true
    }
}

async fn serve_connection(proxy: &Arc<Proxy>, socket: TcpStream, monitor: Arc<ConnectionMonitor>) {
    let limits = proxy.routing_state().limits();
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_header_size(limits.max_header_bytes)
        .auto_date_header(false)
        .writev(false);
    let service = service_fn(|request| serve_request(proxy.clone(), monitor.clone(), request));
    let socket = MonitoredSocket::new(socket, monitor.clone());
    let mut connection = builder.serve_connection(socket, service);
    loop {
        let timeout = tokio::select! {
            _closed = &mut connection => return,
            timeout = monitor.timed_out() => timeout,
        };
        match timeout {
            ConnectionTimeout::Idle => Pin::new(&mut connection).graceful_shutdown(),
            ConnectionTimeout::RequestHead => {
                connection.into_parts().io.try_write(HEAD_TIMEOUT_RESPONSE);
                return;
            }
            ConnectionTimeout::Stalled => return,
        }
    }
}
