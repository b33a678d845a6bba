//! The two ends of a connection: each reads from one pipe and writes to the other.

use super::Network;
use super::pipe::Pipe;
use crate::clock::ProcessId;
use crate::time::seconds;
use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::task::{Context, Poll};
use woadreach_runtime::{Read, Stream, Write};

/// One end of a connection, which a stream shares with its halves.
struct Connection {
    network: Network,
    /// The process that has this end.
    process: ProcessId,
    input: Rc<Pipe>,
    output: Rc<Pipe>,
    /// Whether dropping it resets the connection, rather than closing it after what was written.
    reset_on_drop: Cell<bool>,
}

impl Connection {
    fn try_read(&self, into: &mut Vec<u8>) -> io::Result<usize> {
        let mut p = self.input.state.borrow_mut();
        let n = p.received.len();
        if n > 0 {
            into.append(&mut p.received);
            drop(p);
            // The window has opened: the other side may transmit more.
            self.network.transmit(&self.input);
            return Ok(n);
        }
        if p.reset {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if p.ended {
            Ok(0)
        } else {
            Err(ErrorKind::WouldBlock.into())
        }
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut p = self.input.state.borrow_mut();
        if !p.received.is_empty() || p.reset || p.ended {
            return Poll::Ready(());
        }
        p.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    async fn read(&self, into: &mut Vec<u8>) -> io::Result<usize> {
        loop {
            poll_fn(|cx| self.poll_readable(cx)).await;
            match self.try_read(into) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut p = self.output.state.borrow_mut();
        if p.broken || p.close_requested || p.outgoing.len() < self.network.0.config.send_buffer {
            return Poll::Ready(());
        }
        p.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            poll_fn(|cx| self.poll_writable(cx)).await;
            let mut p = self.output.state.borrow_mut();
            if p.broken || p.close_requested {
                return Err(ErrorKind::BrokenPipe.into());
            }
            let capacity = self.network.0.config.send_buffer - p.outgoing.len();
            let (now, later) = bytes.split_at(bytes.len().min(capacity));
            p.outgoing.extend(now);
            drop(p);
            bytes = later;
            self.network.transmit(&self.output);
        }
        Ok(())
    }

    /// Seconds since the last byte arrived.
    fn since_last_data(&self) -> f64 {
        let last = self.input.state.borrow().last_data_at;
        seconds(self.network.now() - last)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let killed = !self.network.0.clock.alive(self.process);
        let unread = {
            let mut p = self.input.state.borrow_mut();
            p.reader_dropped = true;
            !std::mem::take(&mut p.received).is_empty()
        };
        if killed || unread || self.reset_on_drop.get() {
            self.network.send_reset(&self.output);
        } else {
            self.output.state.borrow_mut().close_requested = true;
            self.network.transmit(&self.output);
        }
    }
}

/// One end of a simulated connection.
pub(crate) struct SimStream(Rc<Connection>);

impl SimStream {
    /// Both ends of a new connection: the client's and the server's.
    pub(super) fn pair(
        network: &Network,
        client: ProcessId,
        server: ProcessId,
    ) -> (SimStream, SimStream) {
        let (there, back) = Pipe::pair(client, server, network.now());
        let end = |process, input: &Rc<Pipe>, output: &Rc<Pipe>| {
            SimStream(Rc::new(Connection {
                network: network.clone(),
                process,
                input: input.clone(),
                output: output.clone(),
                reset_on_drop: Cell::new(false),
            }))
        };
        (end(client, &back, &there), end(server, &there, &back))
    }
}

/// One half of a [`SimStream`]: for reading or for writing.
pub(crate) struct SimHalf(Rc<Connection>);

impl Stream for SimStream {
    type Reader<'a> = SimHalf;
    type Writer<'a> = SimHalf;

    fn split(&mut self) -> (SimHalf, SimHalf) {
        (SimHalf(self.0.clone()), SimHalf(self.0.clone()))
    }

    async fn readable(&self) -> io::Result<()> {
        poll_fn(|cx| self.0.poll_readable(cx)).await;
        Ok(())
    }

    fn try_read(&self, into: &mut Vec<u8>) -> io::Result<usize> {
        self.0.try_read(into)
    }

    async fn read(&mut self, into: &mut Vec<u8>) -> io::Result<usize> {
        self.0.read(into).await
    }

    async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes).await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.0.output.state.borrow_mut().close_requested = true;
        self.0.network.transmit(&self.0.output);
        Ok(())
    }

    fn receive_delay(&self) -> f64 {
        self.0.since_last_data()
    }

    fn reset_on_drop(&self) {
        self.0.reset_on_drop.set(true);
    }
}

impl Read for SimHalf {
    async fn read(&mut self, into: &mut Vec<u8>) -> io::Result<usize> {
        self.0.read(into).await
    }

    fn receive_delay(&self) -> f64 {
        self.0.since_last_data()
    }

    fn receive_delay_of(&self, behind: usize) -> f64 {
        let p = self.0.input.state.borrow();
        let arrived = p.arrivals.back().map_or(0, |a| a.total_bytes);
        let read = arrived - p.received.len() as u64;
        let since = p
            .arrivals
            .iter()
            .find(|a| a.total_bytes + behind as u64 >= read)
            .map_or(p.last_data_at, |a| a.at);
        seconds(self.0.network.now() - since)
    }
}

impl Write for SimHalf {
    async fn writable(&self) -> io::Result<()> {
        poll_fn(|cx| self.0.poll_writable(cx)).await;
        Ok(())
    }

    async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes).await
    }

    fn unsent(&self) -> usize {
        self.0.output.state.borrow().outgoing.len()
    }
}
