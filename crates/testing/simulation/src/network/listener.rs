//! Listeners and their accept queues.

use super::Network;
use super::stream::SimStream;
use crate::clock::ProcessId;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use woadreach_runtime::{Listener, Stream};

/// Connections that wait to be accepted at one address.
pub(super) struct AcceptQueue {
    pub(super) process: ProcessId,
    address: SocketAddr,
    waiting: RefCell<VecDeque<SimStream>>,
    waker: RefCell<Option<Waker>>,
}

impl AcceptQueue {
    /// Whether it has as many connections as it takes.
    pub(super) fn is_full(&self, backlog: usize) -> bool {
        self.waiting.borrow().len() >= backlog
    }

    /// Adds a connection and wakes the listener.
    pub(super) fn push(&self, stream: SimStream) {
        self.waiting.borrow_mut().push_back(stream);
        let waker = self.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// A listener of a simulated process.
pub(crate) struct SimListener {
    network: Network,
    queue: Rc<AcceptQueue>,
}

impl SimListener {
    /// Listens at an address, if no other listener does.
    pub(super) fn bind(
        network: &Network,
        process: ProcessId,
        address: SocketAddr,
    ) -> io::Result<SimListener> {
        let mut all = network.0.accept_queues.borrow_mut();
        if all.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let queue = Rc::new(AcceptQueue {
            process,
            address,
            waiting: RefCell::default(),
            waker: RefCell::default(),
        });
        all.insert(address, queue.clone());
        Ok(SimListener {
            network: network.clone(),
            queue,
        })
    }
}

impl Listener for SimListener {
    type Stream = SimStream;

    async fn accept(&self) -> io::Result<SimStream> {
        poll_fn(|cx| match self.queue.waiting.borrow_mut().pop_front() {
            Some(stream) => Poll::Ready(Ok(stream)),
            None => {
                *self.queue.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.queue.address)
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let mut all = self.network.0.accept_queues.borrow_mut();
        if all
            .get(&self.queue.address)
            .is_some_and(|queue| Rc::ptr_eq(queue, &self.queue))
        {
            all.remove(&self.queue.address);
        }
        drop(all);
        let waiting = std::mem::take(&mut *self.queue.waiting.borrow_mut());
        // As a kernel does with connections that were never accepted.
        waiting.iter().for_each(Stream::reset_on_drop);
    }
}
