//! Connections to replicas that wait for their next request.
//!
//! The one used last is taken first, so that the others age and are closed. Each replica takes a bounded
//! number of connections from all edges together; this process keeps to its share.

use crate::replica_connection::{ConnectError, ConnectionNumber, ReplicaConnection};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection rests when the replica does not say.
const LONGEST_REST: Duration = Duration::from_secs(30);
/// How long before the replica would close a connection it is given up here.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// The connections of one replica.
#[derive(Default)]
struct ReplicaEntry {
    idle: Vec<ReplicaConnection>,
    open: usize,
}

impl ReplicaEntry {
    /// Closes the idle connections that `keeps` does not name.
    fn keep(&mut self, keeps: impl Fn(&ReplicaConnection) -> bool) {
        let before = self.idle.len();
        self.idle.retain(keeps);
        self.open -= before - self.idle.len();
    }

    /// Closes the connection idle for longest if `most` are open; nothing if all of them are in use.
    fn make_room(&mut self, most: usize) -> Option<()> {
        if self.open >= most {
            if self.idle.is_empty() {
                return None;
            }
            self.idle.remove(0);
            self.open -= 1;
        }
        Some(())
    }
}

/// The pool of all replicas, by address and id.
#[derive(Default)]
pub struct ReplicaPool {
    entries: Mutex<HashMap<(Arc<str>, SocketAddr), ReplicaEntry>>,
}

/// The right to one connection to a replica, and the connection once there is one.
pub struct PooledConnection {
    pool: Arc<ReplicaPool>,
    replica: (Arc<str>, SocketAddr),
    connection: Option<ReplicaConnection>,
}

impl ReplicaPool {
    /// An idle connection, or the right to open one while fewer than `most` are open; otherwise nothing.
    ///
    /// None of `carried` is given: these have carried the request before, and an answer that the replica
    /// sends late or twice bears the same id. If all idle ones have and no more may be opened, one of them
    /// gives way.
    pub fn take(
        self: &Arc<Self>,
        replica: &Arc<str>,
        address: SocketAddr,
        most: usize,
        carried: &[ConnectionNumber],
    ) -> Option<PooledConnection> {
        let key = (replica.clone(), address);
        let mut entries = self.entries.lock();
        let entry = entries.entry(key.clone()).or_default();
        let now = Instant::now();
        entry.keep(|connection| connection.is_usable(now));
        let mut newest_first = (0..entry.idle.len()).rev();
        let fit = newest_first.find(|index| !carried.contains(&entry.idle[*index].number()));
        let connection = fit.map(|index| entry.idle.remove(index));
        if connection.is_none() {
            entry.make_room(most)?;
            entry.open += 1;
        }
        Some(PooledConnection {
            pool: self.clone(),
            replica: key,
            connection,
        })
    }

    /// Closes connections that have rested too long, and forgets replicas without any.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.entries.lock().retain(|_, entry| {
            entry.keep(|connection| {
                connection.is_usable(now)
                    && now.duration_since(connection.idle_since()) < LONGEST_REST
            });
            entry.open > 0
        });
    }

    /// Connections that are open, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.entries.lock().values().map(|entry| entry.open).sum()
    }
}

impl PooledConnection {
    /// Id of the replica.
    pub fn replica(&self) -> &str {
        &self.replica.0
    }

    /// The connection, opened if need be.
    pub async fn connection(&mut self) -> Result<&mut ReplicaConnection, ConnectError> {
        let address = self.replica.1;
        let opened = match self.connection.take() {
            Some(connection) => connection,
            None => ReplicaConnection::open(address).await?,
        };
        Ok(self.connection.insert(opened))
    }

    /// Gives the connection back for the next request.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let now = Instant::now();
        connection.set_idle(
            now,
            keep_alive.map(|time| time.saturating_sub(KEEP_ALIVE_MARGIN)),
        );
        let mut entries = self.pool.entries.lock();
        let entry = entries.entry(self.replica.clone()).or_default();
        if connection.is_usable(now) && connection.has_written_body() {
            entry.idle.push(connection);
            entry.open += 1;
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut entries = self.pool.entries.lock();
        if let Some(entry) = entries.get_mut(&self.replica) {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}
