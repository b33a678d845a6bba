//! The one owner of the descriptor budget. Every socket is opened under a permit, which its drop gives back,
//! here and nowhere else. Must never open a socket, nor know what one is for beyond its side.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors that are not sockets of clients, replicas or discovery: standard streams, the listener, the
/// event queue and its wake-up, signals (ten of them in a process at rest), the socket for peers, the file
/// that is read at a hangup, and a client connection that is accepted before it has its permit; one spare.
const OTHERS: usize = 14;
/// Danger: clients that rest, and connections to replicas, hold every descriptor, and the call that would
/// tell of a drain has none. Discovery has its own: a call, and another beside it. Covers any flood. Harm:
/// two fewer for others.
const DISCOVERY: usize = 2;

#[derive(Clone, Copy, PartialEq)]
pub enum Side {
    Clients,
    Replicas,
    Discovery,
    /// Calls of discovery beyond its own two, where there is room.
    DiscoverySpare,
}

struct Budget {
    limit: usize,
    clients: Cell<usize>,
    replicas: Cell<usize>,
    discovery: Cell<usize>,
    freed: Notify,
}

#[derive(Clone)]
pub struct Sockets(Rc<Budget>);

pub struct Permit {
    budget: Rc<Budget>,
    side: Side,
}

impl Sockets {
    pub fn new(limit: usize) -> Self {
        let limit = limit.saturating_sub(OTHERS + DISCOVERY).max(4);
        let (clients, replicas, discovery) = Default::default();
        Sockets(Rc::new(Budget {
            limit,
            clients,
            replicas,
            discovery,
            freed: Notify::new(),
        }))
    }

    /// Danger: a flood of clients leaves no descriptor to ask a replica with, and every search fails. Clients
    /// have at most three quarters; replicas may use what is left. Covers also clients that never close.
    /// Harm: the last quarter may lie idle while clients wait to be accepted.
    pub fn permit(&self, side: Side) -> Option<Permit> {
        let b = &self.0;
        let room = b.clients.get() + b.replicas.get() < b.limit;
        let may = match side {
            Side::Clients => room && b.clients.get() < b.limit / 4 * 3,
            Side::Replicas | Side::DiscoverySpare => room,
            Side::Discovery => b.discovery.get() < DISCOVERY,
        };
        if !may {
            return None;
        }
        b.count(side).set(b.count(side).get() + 1);
        Some(Permit {
            budget: b.clone(),
            side,
        })
    }

    /// Descriptors that clients never get.
    pub fn kept_for_replicas(&self) -> usize {
        self.0.limit - self.0.limit / 4 * 3
    }

    /// LATER: for requests, clients hold at most a third of the descriptors, and stop asking there. At a
    /// quarter their connections are better ended with their answers.
    pub fn many_clients(&self) -> bool {
        self.0.clients.get() >= self.0.limit / 4
    }

    /// Waits until a permit has been given back.
    pub async fn freed(&self) {
        self.0.freed.notified().await;
    }

    /// Usage by clients, and by us.
    pub fn held(&self) -> (usize, usize) {
        (
            self.0.clients.get(),
            self.0.replicas.get() + self.0.discovery.get(),
        )
    }
}

impl Budget {
    fn count(&self, side: Side) -> &Cell<usize> {
        match side {
            Side::Clients => &self.clients,
            Side::Replicas | Side::DiscoverySpare => &self.replicas,
            Side::Discovery => &self.discovery,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let count = self.budget.count(self.side);
        count.set(count.get() - 1);
        // Not for whoever waits later: by then it may be taken, and one more connection would make room.
        self.budget.freed.notify_waiters();
    }
}
