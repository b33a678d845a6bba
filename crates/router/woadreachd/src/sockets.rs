//! The budget of file descriptors. Every socket is opened under a [`Permit`], whose drop gives it back.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors that are not sockets of clients, replicas or discovery: standard streams, the listener, the
/// event queue and its wake-up, signals (ten of these in a process at rest), the socket for peers, the file
/// that is read at a SIGHUP, and a client connection that is accepted before it has its permit; one in
/// reserve.
const OTHER_DESCRIPTORS: usize = 14;
/// Descriptors that only discovery has: for a call, and another beside it.
///
/// If idle clients and connections to replicas could hold every descriptor, the call that would report a drain
/// had none.
const DISCOVERY_DESCRIPTORS: usize = 2;
/// Fewest descriptors for clients and replicas, however low the limit.
const MIN_SHARED_DESCRIPTORS: usize = 4;

/// What a socket is for.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Side {
    Clients,
    Replicas,
    Discovery,
    /// Calls of discovery beyond its own two, where a descriptor is free.
    DiscoveryExtra,
}

struct Budget {
    /// Descriptors that clients and replicas share.
    limit: usize,
    clients: Cell<usize>,
    replicas: Cell<usize>,
    discovery: Cell<usize>,
    freed: Notify,
}

/// The budget, shared by all tasks of a process.
#[derive(Clone)]
pub(crate) struct Sockets(Rc<Budget>);

/// Permission to have one socket open.
pub(crate) struct Permit {
    budget: Rc<Budget>,
    side: Side,
}

/// Descriptors in use.
pub(crate) struct SocketUsage {
    pub(crate) clients: usize,
    /// Of replicas and discovery.
    pub(crate) own: usize,
}

impl Sockets {
    /// The budget of a process that may have `limit` descriptors open.
    pub(crate) fn new(limit: usize) -> Self {
        let limit = limit
            .saturating_sub(OTHER_DESCRIPTORS + DISCOVERY_DESCRIPTORS)
            .max(MIN_SHARED_DESCRIPTORS);
        Sockets(Rc::new(Budget {
            limit,
            clients: Cell::new(0),
            replicas: Cell::new(0),
            discovery: Cell::new(0),
            freed: Notify::new(),
        }))
    }

    /// A permit for one socket, if one is left.
    ///
    /// Clients have at most three quarters, so that a flood of clients, or clients that never close, leave
    /// descriptors to ask replicas with. Replicas may use all that is left. The last quarter may lie idle
    /// while clients wait to be accepted.
    pub(crate) fn permit(&self, side: Side) -> Option<Permit> {
        let budget = &self.0;
        let free = budget.clients.get() + budget.replicas.get() < budget.limit;
        let allowed = match side {
            Side::Clients => free && budget.clients.get() < budget.client_limit(),
            Side::Replicas | Side::DiscoveryExtra => free,
            Side::Discovery => budget.discovery.get() < DISCOVERY_DESCRIPTORS,
        };
        if !allowed {
            return None;
        }
        let count = budget.count(side);
        count.set(count.get() + 1);
        Some(Permit {
            budget: budget.clone(),
            side,
        })
    }

    /// Number of descriptors that clients never get.
    pub(crate) fn reserved_for_replicas(&self) -> usize {
        self.0.limit - self.0.client_limit()
    }

    /// Whether clients have a quarter of the descriptors or more, so that responses should end their connections.
    ///
    /// By the protocol clients hold, for requests, at most a third of the descriptors, and stop asking there.
    pub(crate) fn has_many_clients(&self) -> bool {
        self.0.clients.get() >= self.0.limit / 4
    }

    /// Waits until a permit has been given back.
    pub(crate) async fn freed(&self) {
        self.0.freed.notified().await;
    }

    /// Descriptors in use by now.
    pub(crate) fn usage(&self) -> SocketUsage {
        SocketUsage {
            clients: self.0.clients.get(),
            own: self.0.replicas.get() + self.0.discovery.get(),
        }
    }
}

impl Budget {
    fn client_limit(&self) -> usize {
        self.limit / 4 * 3
    }

    fn count(&self, side: Side) -> &Cell<usize> {
        match side {
            Side::Clients => &self.clients,
            Side::Replicas | Side::DiscoveryExtra => &self.replicas,
            Side::Discovery => &self.discovery,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.side);
        count.set(count.get() - 1);
        // Wakes only those that wait now: by the time of a later one the descriptor may be taken, and one
        // more connection would be closed for it.
        self.budget.freed.notify_waiters();
    }
}
