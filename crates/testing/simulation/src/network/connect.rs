//! Opening a connection, as TCP does it: a SYN is accepted or refused, or retransmitted while it stays unanswered.

use super::Network;
use super::address::process_at;
use super::listener::AcceptQueue;
use super::stream::SimStream;
use crate::clock::{MILLISECOND, Nanos, ProcessId};
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Time to the first retransmission of an unanswered SYN; it doubles with each further one.
const INITIAL_SYN_TIMEOUT: Nanos = 1000 * MILLISECOND;
/// Retransmissions of an unanswered SYN, after which the connect stays pending.
const MAX_SYN_RETRIES: u32 = 6;

/// The outcome of a connect, once there is one.
#[derive(Default)]
struct Connecting {
    result: Option<io::Result<SimStream>>,
    waker: Option<Waker>,
}

type SharedConnecting = Rc<RefCell<Connecting>>;

/// Whether the caller has dropped its connect.
fn is_abandoned(connecting: &SharedConnecting) -> bool {
    Rc::strong_count(connecting) < 2
}

fn complete(connecting: &SharedConnecting, result: io::Result<SimStream>) {
    let mut state = connecting.borrow_mut();
    state.result = Some(result);
    let waker = state.waker.take();
    drop(state);
    if let Some(waker) = waker {
        waker.wake();
    }
}

fn refuse(connecting: &SharedConnecting) {
    complete(connecting, Err(ErrorKind::ConnectionRefused.into()));
}

impl Network {
    /// Opens a connection. Never completes if the other machine can't be reached.
    pub(super) async fn connect(&self, from: ProcessId, to: SocketAddr) -> io::Result<SimStream> {
        let connecting = SharedConnecting::default();
        self.send_syn(from, to, &connecting, 0);
        poll_fn(|cx| {
            let mut state = connecting.borrow_mut();
            match state.result.take() {
                Some(result) => Poll::Ready(result),
                None => {
                    state.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Sends a SYN after this number of retransmissions.
    fn send_syn(
        &self,
        from: ProcessId,
        to: SocketAddr,
        connecting: &SharedConnecting,
        retries: u32,
    ) {
        if (retries > 0 && is_abandoned(connecting)) || !self.0.clock.alive(from) {
            return;
        }
        let queue = self.0.accept_queues.borrow().get(&to).cloned();
        let machine = queue
            .as_ref()
            .map(|q| q.process)
            .or_else(|| self.machine_at(to));
        let reachable =
            machine.filter(|m| self.is_reachable(from, *m) && self.is_reachable(*m, from));
        let Some(machine) = reachable else {
            if retries < MAX_SYN_RETRIES {
                self.retry_syn(
                    INITIAL_SYN_TIMEOUT << retries,
                    from,
                    to,
                    connecting,
                    retries,
                );
            }
            return;
        };
        let there = self.latency(from, machine);
        let back = self.latency(machine, from);
        match queue {
            Some(queue) if !queue.is_full(self.0.config.backlog) => {
                self.establish(from, queue, connecting.clone(), there, back);
            }
            // The kernel drops a SYN when the accept queue is full.
            Some(_) => self.retry_syn(INITIAL_SYN_TIMEOUT, from, to, connecting, retries),
            None => {
                let connecting = connecting.clone();
                self.0
                    .clock
                    .call_at(self.now() + there + back, move || refuse(&connecting));
            }
        }
    }

    fn retry_syn(
        &self,
        after: Nanos,
        from: ProcessId,
        to: SocketAddr,
        connecting: &SharedConnecting,
        retries: u32,
    ) {
        let network = self.clone();
        let connecting = connecting.clone();
        self.0.clock.call_at(self.now() + after, move || {
            network.send_syn(from, to, &connecting, retries + 1);
        });
    }

    /// Puts the connection into the accept queue when the SYN arrives, and completes the connect when the
    /// answer is back.
    fn establish(
        &self,
        from: ProcessId,
        queue: Rc<AcceptQueue>,
        connecting: SharedConnecting,
        there: Nanos,
        back: Nanos,
    ) {
        let network = self.clone();
        let sent_at = self.now();
        self.0.clock.call_at(sent_at + there, move || {
            if !network.0.clock.alive(queue.process) {
                return refuse(&connecting);
            }
            if is_abandoned(&connecting) {
                return;
            }
            let (client, server) = SimStream::pair(&network, from, queue.process);
            queue.push(server);
            network.0.clock.call_at(sent_at + there + back, move || {
                complete(&connecting, Ok(client));
            });
        });
    }

    /// The machine that has an address, whether or not a listener is bound to it.
    fn machine_at(&self, address: SocketAddr) -> Option<ProcessId> {
        let process = process_at(address)?;
        self.0
            .machines
            .borrow()
            .contains_key(&process)
            .then_some(process)
    }
}
