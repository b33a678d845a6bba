//! One direction of a connection: bytes are written, transmitted as far as the receiver's window lets them,
//! and delivered after the link's latency.

use super::Network;
use crate::clock::{Nanos, ProcessId};
use crate::time::NANOS_PER_SECOND;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::task::Waker;

/// Chunks whose arrival times a connection remembers.
const MAX_ARRIVALS: usize = 64;

/// What is transmitted at once.
enum Chunk {
    Bytes(Vec<u8>),
    /// The end of the stream, as TCP's FIN.
    End,
    /// As TCP's RST.
    Reset,
}

/// A chunk in flight.
struct InFlight {
    arrives_at: Nanos,
    chunk: Chunk,
}

/// When a chunk arrived.
pub(super) struct Arrival {
    /// Bytes that had arrived by then, from the connection's beginning.
    pub(super) total_bytes: u64,
    pub(super) at: Nanos,
}

/// One direction of a connection.
pub(super) struct Pipe {
    pub(super) from: ProcessId,
    pub(super) to: ProcessId,
    pub(super) state: RefCell<PipeState>,
    /// The other direction.
    opposite: RefCell<Weak<Pipe>>,
}

/// The state of one direction, at both of its ends.
#[derive(Default)]
pub(super) struct PipeState {
    /// Written and not yet transmitted; bounded by the configured send buffer.
    pub(super) outgoing: VecDeque<u8>,
    /// Transmitted and not yet received, in the order of arrival.
    in_flight: VecDeque<InFlight>,
    /// Bytes of `in_flight`. Together with `received` they never exceed the configured receive buffer.
    bytes_in_flight: usize,
    /// When the chunk that was transmitted last arrives; no later one arrives before it.
    last_arrival: Nanos,
    /// Received and not yet read.
    pub(super) received: Vec<u8>,
    /// When the last bytes were received, or the connection was opened.
    pub(super) last_data_at: Nanos,
    /// The arrivals of the last chunks, oldest first.
    pub(super) arrivals: VecDeque<Arrival>,
    /// The receiver has got the end of the stream.
    pub(super) ended: bool,
    /// The receiver has got a reset.
    pub(super) reset: bool,
    /// The writer has closed the stream; its end is sent after the last outgoing byte.
    pub(super) close_requested: bool,
    end_sent: bool,
    reset_sent: bool,
    /// Writes fail, because the other side has reset the connection.
    pub(super) broken: bool,
    /// The receiver has dropped its end.
    pub(super) reader_dropped: bool,
    /// Woken when there is something to read.
    pub(super) reader: Option<Waker>,
    /// Woken when the send buffer has capacity again, or writes fail.
    pub(super) writer: Option<Waker>,
}

impl Pipe {
    /// Both directions of a connection that opens `now`: from client to server, and back.
    pub(super) fn pair(client: ProcessId, server: ProcessId, now: Nanos) -> (Rc<Pipe>, Rc<Pipe>) {
        let pipe = |from, to| {
            Rc::new(Pipe {
                from,
                to,
                state: RefCell::new(PipeState {
                    last_data_at: now,
                    ..PipeState::default()
                }),
                opposite: RefCell::default(),
            })
        };
        let (there, back) = (pipe(client, server), pipe(server, client));
        *there.opposite.borrow_mut() = Rc::downgrade(&back);
        *back.opposite.borrow_mut() = Rc::downgrade(&there);
        (there, back)
    }

    fn opposite(&self) -> Option<Rc<Pipe>> {
        self.opposite.borrow().upgrade()
    }

    /// Makes all writes fail, those that wait included.
    fn break_writes(&self) {
        let mut p = self.state.borrow_mut();
        p.broken = true;
        let writer = p.writer.take();
        drop(p);
        if let Some(waker) = writer {
            waker.wake();
        }
    }
}

impl PipeState {
    fn record_arrival(&mut self, bytes: usize, now: Nanos) {
        self.last_data_at = now;
        let total = self.arrivals.back().map_or(0, |a| a.total_bytes) + bytes as u64;
        if self.arrivals.len() == MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(Arrival {
            total_bytes: total,
            at: now,
        });
    }

    /// Receives the chunks that have arrived by `now`. Returns whether to answer with a reset, because the receiver has
    /// dropped its end.
    fn receive(&mut self, now: Nanos) -> bool {
        let mut needs_reset = false;
        while self.in_flight.front().is_some_and(|f| f.arrives_at <= now)
            && let Some(arrived) = self.in_flight.pop_front()
        {
            match arrived.chunk {
                Chunk::Bytes(bytes) => {
                    self.bytes_in_flight -= bytes.len();
                    self.record_arrival(bytes.len(), now);
                    if self.reader_dropped {
                        needs_reset = true;
                    } else if !self.reset {
                        self.received.extend(bytes);
                    }
                }
                Chunk::End => self.ended = true,
                Chunk::Reset => self.reset = true,
            }
        }
        needs_reset
    }
}

impl Network {
    /// Transmits what the receiver's window lets through, and the end of the stream after the last byte.
    pub(super) fn transmit(&self, pipe: &Rc<Pipe>) {
        let mut p = pipe.state.borrow_mut();
        let unread = p.bytes_in_flight + p.received.len();
        let window = self.0.config.receive_buffer.saturating_sub(unread);
        let n = window.min(p.outgoing.len());
        if n > 0 {
            let bytes: Vec<u8> = p.outgoing.drain(..n).collect();
            p.bytes_in_flight += n;
            self.send_bytes(pipe, &mut p, bytes);
            if let Some(waker) = p.writer.take() {
                waker.wake();
            }
        }
        if p.outgoing.is_empty() && p.close_requested && !p.end_sent {
            p.end_sent = true;
            self.send(pipe, &mut p, Chunk::End);
        }
    }

    /// Sends bytes in one chunk, or sometimes in two.
    fn send_bytes(&self, pipe: &Rc<Pipe>, p: &mut PipeState, mut bytes: Vec<u8>) {
        if bytes.len() > 1 && self.happens(self.0.config.split_ratio) {
            let at = 1 + self.draw(bytes.len() as u64 - 1) as usize;
            let rest = bytes.split_off(at);
            self.send(pipe, p, Chunk::Bytes(bytes));
            self.send(pipe, p, Chunk::Bytes(rest));
        } else {
            self.send(pipe, p, Chunk::Bytes(bytes));
        }
    }

    fn send(&self, pipe: &Rc<Pipe>, p: &mut PipeState, chunk: Chunk) {
        let size = if let Chunk::Bytes(bytes) = &chunk {
            bytes.len()
        } else {
            0
        };
        let transmission = (size as f64 / self.0.config.bandwidth * NANOS_PER_SECOND) as Nanos;
        let arrives_at =
            (self.now() + self.latency(pipe.from, pipe.to) + transmission).max(p.last_arrival);
        p.last_arrival = arrives_at;
        p.in_flight.push_back(InFlight { arrives_at, chunk });
        let network = self.clone();
        let pipe = pipe.clone();
        self.0
            .clock
            .call_at(arrives_at, move || network.deliver(&pipe));
    }

    /// Delivers what has arrived by now, unless the link is partitioned.
    pub(super) fn deliver(&self, pipe: &Rc<Pipe>) {
        let now = self.now();
        let mut p = pipe.state.borrow_mut();
        if p.in_flight.front().is_none_or(|f| f.arrives_at > now) {
            return;
        }
        if !self.is_reachable(pipe.from, pipe.to) {
            drop(p);
            self.0.blocked_pipes.borrow_mut().push(pipe.clone());
            return;
        }
        let needs_reset = p.receive(now);
        let reader = p.reader.take();
        let reset = p.reset;
        drop(p);
        if let Some(waker) = reader {
            waker.wake();
        }
        if reset && let Some(opposite) = pipe.opposite() {
            opposite.break_writes();
        }
        if needs_reset && let Some(opposite) = pipe.opposite() {
            self.send_reset(&opposite);
        }
    }

    /// Discards what was not transmitted and resets the connection.
    pub(super) fn send_reset(&self, pipe: &Rc<Pipe>) {
        let mut p = pipe.state.borrow_mut();
        p.outgoing.clear();
        if !p.reset_sent {
            p.reset_sent = true;
            p.end_sent = true;
            self.send(pipe, &mut p, Chunk::Reset);
        }
    }
}
