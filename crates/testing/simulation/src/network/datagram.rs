//! Datagrams between processes, which the network loses, duplicates, delays and reorders at random.

use super::Network;
use crate::clock::ProcessId;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use woadreach_runtime::Datagrams;

/// Datagrams that one address queues unread; further ones are dropped, as by a full socket buffer.
const MAX_UNREAD_DATAGRAMS: usize = 256;

/// How many datagrams were sent, and their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DatagramTraffic {
    pub(crate) count: u64,
    pub(crate) bytes: u64,
}

struct Datagram {
    from: SocketAddr,
    bytes: Vec<u8>,
}

/// Datagrams that have arrived at one address.
pub(super) struct Inbox {
    pub(super) process: ProcessId,
    unread: RefCell<VecDeque<Datagram>>,
    waker: RefCell<Option<Waker>>,
}

impl Inbox {
    /// Adds a datagram, if there is capacity, and wakes the receiver.
    fn push(&self, datagram: Datagram) {
        let mut unread = self.unread.borrow_mut();
        if unread.len() < MAX_UNREAD_DATAGRAMS {
            unread.push_back(datagram);
        }
        drop(unread);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// A datagram socket of a simulated process.
pub(crate) struct SimDatagrams {
    network: Network,
    address: SocketAddr,
    inbox: Rc<Inbox>,
}

impl SimDatagrams {
    /// Binds an address, if no other socket has it.
    pub(super) fn bind(
        network: &Network,
        process: ProcessId,
        address: SocketAddr,
    ) -> io::Result<SimDatagrams> {
        let mut all = network.0.inboxes.borrow_mut();
        if all.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let inbox = Rc::new(Inbox {
            process,
            unread: RefCell::default(),
            waker: RefCell::default(),
        });
        all.insert(address, inbox.clone());
        Ok(SimDatagrams {
            network: network.clone(),
            address,
            inbox,
        })
    }
}

impl Datagrams for SimDatagrams {
    async fn receive(&self, into: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| match self.inbox.unread.borrow_mut().pop_front() {
            Some(datagram) => {
                let n = datagram.bytes.len().min(into.len());
                into[..n].copy_from_slice(&datagram.bytes[..n]);
                Poll::Ready(Ok((n, datagram.from)))
            }
            None => {
                *self.inbox.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.network
            .send_datagram(self.inbox.process, self.address, to, bytes);
        Ok(())
    }
}

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        let mut all = self.network.0.inboxes.borrow_mut();
        if all
            .get(&self.address)
            .is_some_and(|inbox| Rc::ptr_eq(inbox, &self.inbox))
        {
            all.remove(&self.address);
        }
    }
}

impl Network {
    /// A suspended receiver gets its datagrams when it runs again, as many as its inbox holds.
    fn send_datagram(&self, process: ProcessId, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let sent = self.0.datagrams.get();
        self.0.datagrams.set(DatagramTraffic {
            count: sent.count + 1,
            bytes: sent.bytes + bytes.len() as u64,
        });
        let Some(inbox) = self.0.inboxes.borrow().get(&to).cloned() else {
            return;
        };
        let config = &self.0.config;
        if !self.is_reachable(process, inbox.process) || self.happens(config.datagram_loss) {
            return;
        }
        let deliveries = if self.happens(config.datagram_duplication) {
            2
        } else {
            1
        };
        for _ in 0..deliveries {
            let delay = self.latency(process, inbox.process) + self.draw(config.max_datagram_delay);
            let inbox = inbox.clone();
            let datagram = Datagram {
                from,
                bytes: bytes.to_vec(),
            };
            self.0
                .clock
                .call_at(self.now() + delay, move || inbox.push(datagram));
        }
    }
}
