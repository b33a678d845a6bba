//! Client connections between two requests: those that can be closed to give their descriptor to another client.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Seconds after its acceptance within which a connection's first request should have been received. One without
/// may never send any.
const FIRST_REQUEST_TIMEOUT: f64 = 0.25;

struct IdleConnection {
    /// When it became idle, in Unix seconds.
    since: f64,
    /// Notified when the connection is to close.
    close: Rc<Notify>,
}

/// Idle connections by their numbers, which ascend with the time since which they are idle.
#[derive(Default)]
pub(super) struct IdleConnections {
    /// Connections that have sent nothing yet.
    unused: RefCell<BTreeMap<u64, IdleConnection>>,
    /// Connections that have been served.
    served: RefCell<BTreeMap<u64, IdleConnection>>,
}

impl IdleConnections {
    /// Adds a connection; it is to close once the returned signal comes.
    pub(super) fn insert(&self, number: u64, unused: bool, now: f64) -> Rc<Notify> {
        let close = Rc::new(Notify::new());
        let idle = IdleConnection {
            since: now,
            close: close.clone(),
        };
        self.set(unused).borrow_mut().insert(number, idle);
        close
    }

    pub(super) fn remove(&self, number: u64, unused: bool) {
        self.set(unused).borrow_mut().remove(&number);
    }

    /// Has one connection closed: one that should have sent its first request by now, else the one that is
    /// idle for longest.
    pub(super) fn close_one(&self, now: f64) {
        let (mut unused, mut served) = (self.unused.borrow_mut(), self.served.borrow_mut());
        let overdue = unused
            .first_key_value()
            .is_some_and(|(_, idle)| now - idle.since > FIRST_REQUEST_TIMEOUT);
        let set = if overdue || served.is_empty() {
            &mut *unused
        } else {
            &mut *served
        };
        if let Some((_, idle)) = set.pop_first() {
            idle.close.notify_one();
        }
    }

    fn set(&self, unused: bool) -> &RefCell<BTreeMap<u64, IdleConnection>> {
        if unused { &self.unused } else { &self.served }
    }
}
