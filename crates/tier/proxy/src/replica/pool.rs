//! Pool of keep-alive connections to replicas.
//!
//! The connection used last is checked out first, so that the others age and are closed. Each replica accepts a
//! bounded number of connections from all edges together; this process keeps to its share.

use crate::replica::connection::{ConnectError, ConnectionId, ReplicaConnection};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an idle connection stays open if the replica sends no `Keep-Alive`.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long before a replica would close an idle connection it is closed here, so that no request races the close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// A replica at an address. A new incarnation has another id, even at the same address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaEndpoint {
    /// Id of the replica.
    pub replica: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
}

/// The connections of one replica.
#[derive(Default)]
struct EndpointConnections {
    /// Idle connections, the one used last at the end.
    idle: Vec<ReplicaConnection>,
    /// Number of open connections; never less than the number of idle ones.
    open: usize,
}

impl EndpointConnections {
    /// Closes the idle connections for which `is_retained` is false.
    fn retain_idle(&mut self, is_retained: impl Fn(&ReplicaConnection) -> bool) {
        let before = self.idle.len();
        self.idle.retain(is_retained);
        self.open -= before - self.idle.len();
    }

    /// Closes the connection idle for longest if `max_connections` are open; `None` if all of them are in use.
    fn evict_idle_if_full(&mut self, max_connections: usize) -> Option<()> {
        if self.open >= max_connections {
            if self.idle.is_empty() {
                return None;
            }
            self.idle.remove(0);
            self.open -= 1;
        }
        Some(())
    }
}

/// The pool of all replicas.
#[derive(Default)]
pub struct ReplicaPool {
    endpoints: Mutex<HashMap<ReplicaEndpoint, EndpointConnections>>,
}

/// A connection that is checked out of the pool. It counts as open from the start, though it may connect later.
pub struct PooledConnection {
    pool: Arc<ReplicaPool>,
    endpoint: ReplicaEndpoint,
    connection: Option<ReplicaConnection>,
}

impl ReplicaPool {
    /// Checks out an idle connection, or the right to open one while fewer than `max_connections` are open.
    ///
    /// None of `excluded` is returned: the request was sent over these before, and a late or duplicate response
    /// to that send has the same id. If all idle connections are excluded and no more may be opened, the one idle
    /// for longest is closed to make room. `None` if all connections are in use.
    pub fn check_out(
        self: &Arc<Self>,
        endpoint: &ReplicaEndpoint,
        max_connections: usize,
        excluded: &[ConnectionId],
    ) -> Option<PooledConnection> {
        let mut endpoints = self.endpoints.lock();
        let connections = endpoints.entry(endpoint.clone()).or_default();
        let now = Instant::now();
        connections.retain_idle(|connection| connection.is_usable(now));
        let mut newest_first = (0..connections.idle.len()).rev();
        let eligible =
            newest_first.find(|index| !excluded.contains(&connections.idle[*index].id()));
        let connection = eligible.map(|index| connections.idle.remove(index));
        if connection.is_none() {
            connections.evict_idle_if_full(max_connections)?;
            connections.open += 1;
        }
        Some(PooledConnection {
            pool: self.clone(),
            endpoint: endpoint.clone(),
            connection,
        })
    }

    /// Closes connections that have been idle for too long, and forgets replicas without any.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.endpoints.lock().retain(|_, connections| {
            connections.retain_idle(|connection| {
                connection.is_usable(now)
                    && now.duration_since(connection.idle_since()) < IDLE_TIMEOUT
            });
            connections.open > 0
        });
    }

    /// Number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        let endpoints = self.endpoints.lock();
        endpoints.values().map(|connections| connections.open).sum()
    }
}

impl PooledConnection {
    /// Id of the replica.
    pub fn replica(&self) -> &str {
        &self.endpoint.replica
    }

    /// The connection, which is opened if there was no idle one.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if it cannot be opened.
    pub async fn connection(&mut self) -> Result<&mut ReplicaConnection, ConnectError> {
        let opened = match self.connection.take() {
            Some(connection) => connection,
            None => ReplicaConnection::open(self.endpoint.address).await?,
        };
        Ok(self.connection.insert(opened))
    }

    /// Returns the connection for the next request. `keep_alive` is the replica's own idle time-out.
    pub fn return_to_pool(mut self, keep_alive: Option<Duration>) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let now = Instant::now();
        connection.mark_idle(
            now,
            keep_alive.map(|timeout| timeout.saturating_sub(KEEP_ALIVE_MARGIN)),
        );
        let mut endpoints = self.pool.endpoints.lock();
        let connections = endpoints.entry(self.endpoint.clone()).or_default();
        if connection.is_usable(now) && connection.is_body_written() {
            connections.idle.push(connection);
            // Dropping `self` takes off the one that it counted while it was checked out.
            connections.open += 1;
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut endpoints = self.pool.endpoints.lock();
        if let Some(connections) = endpoints.get_mut(&self.endpoint) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}
