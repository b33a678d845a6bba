//! The simulated network: machines, the ways between their zones, listeners and connections. Owns every byte
//! that is on its way. Must never look into bytes, nor draw chance from anywhere but its own seeded stream.
//!
//! What it shows: latency with jitter, bandwidth, windows that shut, partial writes and reads, half-open
//! connections, resets, refused and silent connects, ways cut in one direction, accept queues. What it does
//! not show stands in `docs/faults.md`.

use crate::clock::{Clock, MILLISECOND, Nanos, ProcessId, Sleep};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use woadreach_runtime::{Datagrams, Listener, Net, Read, Stream, Write};

/// Unix seconds at which every world begins.
pub const BEGIN: f64 = 1_700_000_000.0;
/// tokio's timers count in milliseconds and never come early; those of a simulated process do likewise.
const TICK: Nanos = MILLISECOND;
/// TCP asks again for a connection after one second, then after twice as long each time.
const FIRST_SYN_AGAIN: Nanos = 1000 * MILLISECOND;
const SYN_TRIES: u32 = 6;
/// After a way has been cut, what was lost is sent again so long after its return.
const RETRANSMIT: Nanos = 50 * MILLISECOND;

/// Datagrams that wait unread at one address; further ones are lost.
const INBOX: usize = 256;
/// Chunks of which a connection remembers when they came.
const CAME: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Zone(pub usize);

/// What holds for every connection of a world.
#[derive(Clone, Debug)]
pub struct NetworkConfig {
    /// One way, in nanoseconds: at least, and how much more at most. Within a zone, and between two.
    pub near: (Nanos, Nanos),
    pub far: (Nanos, Nanos),
    /// Bytes a second on one connection.
    pub bandwidth: f64,
    /// Bytes that a receiver holds unread, and that a sender holds unsent.
    pub receive_buffer: usize,
    pub send_buffer: usize,
    /// Connections that wait to be accepted.
    pub backlog: usize,
    /// The share of chunks that come in two pieces.
    pub split: f64,
    /// The shares of datagrams that are lost, and that come twice; the longest that one is late beyond its
    /// way.
    pub lost: f64,
    pub doubled: f64,
    pub late: Nanos,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig {
            near: (50_000, 100_000),
            far: (400_000, 600_000),
            bandwidth: 125e6,
            receive_buffer: 128 * 1024,
            send_buffer: 64 * 1024,
            backlog: 256,
            split: 0.02,
            lost: 0.0,
            doubled: 0.0,
            late: 0,
        }
    }
}

struct Machine {
    zone: Zone,
    /// Its clock is ahead of the world's by so many seconds.
    ahead: f64,
    /// Says and hears nothing: cut off, or vanished.
    silent: bool,
    open: usize,
    most_open: usize,
}

struct Inner {
    clock: Clock,
    figures: NetworkConfig,
    chance: RefCell<Pcg64Mcg>,
    machines: RefCell<BTreeMap<ProcessId, Machine>>,
    cuts: RefCell<BTreeSet<(Zone, Zone)>>,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<Listening>>>,
    inboxes: RefCell<BTreeMap<SocketAddr, Rc<Inbox>>>,
    /// Datagrams sent and their bytes.
    datagrams: Cell<(u64, u64)>,
    /// Pipes that hold back what was sent while their way was cut.
    held_back: RefCell<Vec<Rc<Pipe>>>,
    bytes: Cell<u64>,
    connects: Cell<u64>,
}

/// All clones are one network.
#[derive(Clone)]
pub struct Network(Rc<Inner>);

impl Network {
    pub fn new(clock: &Clock, seed: u64, figures: NetworkConfig) -> Self {
        Network(Rc::new(Inner {
            clock: clock.clone(),
            figures,
            chance: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            machines: RefCell::default(),
            cuts: RefCell::default(),
            listeners: RefCell::default(),
            inboxes: RefCell::default(),
            datagrams: Cell::default(),
            held_back: RefCell::default(),
            bytes: Cell::new(0),
            connects: Cell::new(0),
        }))
    }

    pub fn clock(&self) -> &Clock {
        &self.0.clock
    }

    /// A process on a machine of its own.
    pub fn machine(&self, zone: Zone, ahead: f64) -> SimNet {
        let process = self.0.clock.add_process();
        let machine = Machine {
            zone,
            ahead,
            silent: false,
            open: 0,
            most_open: 0,
        };
        self.0.machines.borrow_mut().insert(process, machine);
        SimNet {
            network: self.clone(),
            process,
        }
    }

    /// One that is there already.
    pub fn process(&self, process: ProcessId) -> SimNet {
        SimNet {
            network: self.clone(),
            process,
        }
    }

    /// Ends a process outright: its listeners are gone and its connections reset, which a silent machine
    /// tells nobody.
    pub fn kill(&self, process: ProcessId) {
        self.0
            .listeners
            .borrow_mut()
            .retain(|_, l| l.process != process);
        self.0
            .inboxes
            .borrow_mut()
            .retain(|_, i| i.process != process);
        self.0.clock.kill(process);
    }

    /// From now on it says and hears nothing, or does again.
    pub fn silence(&self, process: ProcessId, silent: bool) {
        if let Some(m) = self.0.machines.borrow_mut().get_mut(&process) {
            m.silent = silent;
        }
        if !silent {
            self.mend();
        }
    }

    /// Cuts the way from one zone to another, in this direction, or mends it.
    pub fn cut(&self, from: Zone, to: Zone, cut: bool) {
        if cut {
            self.0.cuts.borrow_mut().insert((from, to));
        } else {
            self.0.cuts.borrow_mut().remove(&(from, to));
            self.mend();
        }
    }

    /// What was held back is sent again.
    fn mend(&self) {
        let pipes = std::mem::take(&mut *self.0.held_back.borrow_mut());
        for pipe in pipes {
            let network = self.clone();
            self.0
                .clock
                .call_at(self.0.clock.now() + RETRANSMIT, move || {
                    network.deliver(&pipe)
                });
        }
    }

    /// Connections a process has open now, and the most that it had.
    pub fn open(&self, process: ProcessId) -> (usize, usize) {
        self.0
            .machines
            .borrow()
            .get(&process)
            .map_or((0, 0), |m| (m.open, m.most_open))
    }

    /// Bytes and connections so far.
    pub fn traffic(&self) -> (u64, u64) {
        (self.0.bytes.get(), self.0.connects.get())
    }

    /// Datagrams so far, and their bytes.
    pub fn datagrams(&self) -> (u64, u64) {
        self.0.datagrams.get()
    }

    /// A datagram comes late, twice or not at all, and past others; what a machine that stands still is sent
    /// waits for it, as long as there is room.
    fn post(&self, process: ProcessId, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let (n, size) = self.0.datagrams.get();
        self.0.datagrams.set((n + 1, size + bytes.len() as u64));
        let Some(inbox) = self.0.inboxes.borrow().get(&to).cloned() else {
            return;
        };
        if !self.passes(process, inbox.process) || self.happens(self.0.figures.lost) {
            return;
        }
        for _ in 0..if self.happens(self.0.figures.doubled) {
            2
        } else {
            1
        } {
            let way = self.latency(process, inbox.process) + self.draw(self.0.figures.late);
            let (inbox, bytes) = (inbox.clone(), bytes.to_vec());
            self.0.clock.call_at(self.0.clock.now() + way, move || {
                let mut waiting = inbox.waiting.borrow_mut();
                if waiting.len() < INBOX {
                    waiting.push_back((from, bytes));
                }
                drop(waiting);
                if let Some(waker) = inbox.waker.borrow_mut().take() {
                    waker.wake();
                }
            });
        }
    }

    fn count(&self, process: ProcessId, open: bool) {
        if let Some(m) = self.0.machines.borrow_mut().get_mut(&process) {
            m.open = if open {
                m.open + 1
            } else {
                m.open.saturating_sub(1)
            };
            m.most_open = m.most_open.max(m.open);
        }
    }

    fn draw(&self, below: u64) -> u64 {
        if below == 0 {
            0
        } else {
            self.0.chance.borrow_mut().random_range(0..below)
        }
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.0.chance.borrow_mut().random_bool(share.min(1.0))
    }

    fn latency(&self, from: ProcessId, to: ProcessId) -> Nanos {
        let same = {
            let machines = self.0.machines.borrow();
            machines.get(&from).map(|m| m.zone) == machines.get(&to).map(|m| m.zone)
        };
        let (least, more) = if same {
            self.0.figures.near
        } else {
            self.0.figures.far
        };
        least + self.draw(more)
    }

    fn passes(&self, from: ProcessId, to: ProcessId) -> bool {
        let machines = self.0.machines.borrow();
        let (Some(a), Some(b)) = (machines.get(&from), machines.get(&to)) else {
            return false;
        };
        !a.silent && !b.silent && !self.0.cuts.borrow().contains(&(a.zone, b.zone))
    }

    /// Sends what the window lets through.
    fn pump(&self, pipe: &Rc<Pipe>) {
        let mut p = pipe.state.borrow_mut();
        let window = self
            .0
            .figures
            .receive_buffer
            .saturating_sub(p.flying + p.unread());
        let n = window.min(p.outgoing.len());
        if n > 0 {
            let bytes: Vec<u8> = p.outgoing.drain(..n).collect();
            self.0.bytes.set(self.0.bytes.get() + n as u64);
            p.flying += n;
            if n > 1 && self.happens(self.0.figures.split) {
                let at = 1 + self.draw(n as u64 - 1) as usize;
                let rest = bytes[at..].to_vec();
                self.fly(pipe, &mut p, Chunk::Bytes(bytes[..at].to_vec()));
                self.fly(pipe, &mut p, Chunk::Bytes(rest));
            } else {
                self.fly(pipe, &mut p, Chunk::Bytes(bytes));
            }
            if let Some(waker) = p.writer.take() {
                waker.wake();
            }
        }
        if p.outgoing.is_empty() && p.end_wanted && !p.end_sent {
            p.end_sent = true;
            self.fly(pipe, &mut p, Chunk::End);
        }
    }

    fn fly(&self, pipe: &Rc<Pipe>, p: &mut PipeState, chunk: Chunk) {
        let size = if let Chunk::Bytes(bytes) = &chunk {
            bytes.len()
        } else {
            0
        };
        let takes = (size as f64 / self.0.figures.bandwidth * 1e9) as Nanos;
        let at =
            (self.0.clock.now() + self.latency(pipe.from, pipe.to) + takes).max(p.last_arrival);
        p.last_arrival = at;
        p.flight.push_back((at, chunk));
        let (network, pipe) = (self.clone(), pipe.clone());
        self.0.clock.call_at(at, move || network.deliver(&pipe));
    }

    /// Takes in what has arrived by now, unless the way is cut.
    fn deliver(&self, pipe: &Rc<Pipe>) {
        let now = self.0.clock.now();
        let mut p = pipe.state.borrow_mut();
        if p.flight.front().is_none_or(|f| f.0 > now) {
            return;
        }
        if !self.passes(pipe.from, pipe.to) {
            drop(p);
            self.0.held_back.borrow_mut().push(pipe.clone());
            return;
        }
        let mut answer_reset = false;
        while p.flight.front().is_some_and(|f| f.0 <= now)
            && let Some((_, chunk)) = p.flight.pop_front()
        {
            match chunk {
                Chunk::Bytes(bytes) => {
                    p.flying -= bytes.len();
                    p.last_data = now;
                    let total = p.came.back().map_or(0, |c| c.0) + bytes.len() as u64;
                    if p.came.len() == CAME {
                        p.came.pop_front();
                    }
                    p.came.push_back((total, now));
                    if p.deaf {
                        answer_reset = true;
                    } else if !p.reset {
                        p.arrived.extend(bytes);
                    }
                }
                Chunk::End => p.ended = true,
                Chunk::Reset => p.reset = true,
            }
        }
        let reader = p.reader.take();
        let reset = p.reset;
        drop(p);
        if let Some(waker) = reader {
            waker.wake();
        }
        if reset && let Some(back) = pipe.other() {
            // What it writes finds the connection gone too.
            let mut b = back.state.borrow_mut();
            b.broken = true;
            let writer = b.writer.take();
            drop(b);
            if let Some(waker) = writer {
                waker.wake();
            }
        }
        if answer_reset && let Some(back) = pipe.other() {
            self.reset(&back);
        }
    }

    /// Throws away what has not left and tells the other side so.
    fn reset(&self, pipe: &Rc<Pipe>) {
        let mut p = pipe.state.borrow_mut();
        p.outgoing.clear();
        if !p.reset_sent {
            p.reset_sent = true;
            p.end_sent = true;
            self.fly(pipe, &mut p, Chunk::Reset);
        }
    }
}

struct Inbox {
    process: ProcessId,
    waiting: RefCell<VecDeque<(SocketAddr, Vec<u8>)>>,
    waker: RefCell<Option<Waker>>,
}

/// Datagrams at one address of a simulated process.
pub struct SimDatagrams {
    network: Network,
    address: SocketAddr,
    inbox: Rc<Inbox>,
}

impl Datagrams for SimDatagrams {
    async fn receive(&self, into: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| match self.inbox.waiting.borrow_mut().pop_front() {
            Some((from, bytes)) => {
                let n = bytes.len().min(into.len());
                into[..n].copy_from_slice(&bytes[..n]);
                Poll::Ready(Ok((n, from)))
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
            .post(self.inbox.process, self.address, to, bytes);
        Ok(())
    }
}

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        let mut all = self.network.0.inboxes.borrow_mut();
        if all
            .get(&self.address)
            .is_some_and(|i| Rc::ptr_eq(i, &self.inbox))
        {
            all.remove(&self.address);
        }
    }
}

enum Chunk {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// One direction of a connection.
struct Pipe {
    from: ProcessId,
    to: ProcessId,
    state: RefCell<PipeState>,
    back: RefCell<std::rc::Weak<Pipe>>,
}

#[derive(Default)]
struct PipeState {
    /// Written, not yet let through by the window.
    outgoing: VecDeque<u8>,
    flight: VecDeque<(Nanos, Chunk)>,
    flying: usize,
    last_arrival: Nanos,
    arrived: Vec<u8>,
    taken: usize,
    last_data: Nanos,
    /// How many bytes had come in all by when, of the last chunks.
    came: VecDeque<(u64, Nanos)>,
    ended: bool,
    reset: bool,
    end_wanted: bool,
    end_sent: bool,
    reset_sent: bool,
    /// What is written fails: the other side has reset the connection.
    broken: bool,
    /// Nobody reads here any more.
    deaf: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl PipeState {
    fn unread(&self) -> usize {
        self.arrived.len() - self.taken
    }
}

impl Pipe {
    fn other(&self) -> Option<Rc<Pipe>> {
        self.back.borrow().upgrade()
    }
}

fn gone() -> io::Error {
    ErrorKind::ConnectionReset.into()
}

/// One side of a connection, as `SimStream` and its halves share it.
struct Side {
    network: Network,
    process: ProcessId,
    input: Rc<Pipe>,
    output: Rc<Pipe>,
    reset_on_drop: Cell<bool>,
}

impl Side {
    fn try_read(&self, into: &mut Vec<u8>) -> io::Result<usize> {
        let mut p = self.input.state.borrow_mut();
        let n = p.unread();
        if n > 0 {
            into.extend_from_slice(&p.arrived[p.taken..]);
            p.arrived.clear();
            p.taken = 0;
            drop(p);
            // The window has opened: what waits on the other side may leave.
            self.network.pump(&self.input);
            return Ok(n);
        }
        if p.reset {
            return Err(gone());
        }
        if p.ended {
            Ok(0)
        } else {
            Err(ErrorKind::WouldBlock.into())
        }
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut p = self.input.state.borrow_mut();
        if p.unread() > 0 || p.reset || p.ended {
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
        if p.broken || p.end_wanted || p.outgoing.len() < self.network.0.figures.send_buffer {
            return Poll::Ready(());
        }
        p.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            poll_fn(|cx| self.poll_writable(cx)).await;
            let mut p = self.output.state.borrow_mut();
            if p.broken || p.end_wanted {
                return Err(ErrorKind::BrokenPipe.into());
            }
            let n = bytes
                .len()
                .min(self.network.0.figures.send_buffer - p.outgoing.len());
            p.outgoing.extend(&bytes[..n]);
            drop(p);
            bytes = &bytes[n..];
            self.network.pump(&self.output);
        }
        Ok(())
    }

    fn waited(&self) -> f64 {
        let since = self.input.state.borrow().last_data;
        (self.network.0.clock.now() - since) as f64 / 1e9
    }
}

impl Drop for Side {
    fn drop(&mut self) {
        self.network.count(self.process, false);
        let killed = !self.network.0.clock.alive(self.process);
        let unread = {
            let mut p = self.input.state.borrow_mut();
            p.deaf = true;
            let unread = p.unread() > 0;
            p.arrived = Vec::new();
            p.taken = 0;
            unread
        };
        if killed || unread || self.reset_on_drop.get() {
            self.network.reset(&self.output);
        } else {
            self.output.state.borrow_mut().end_wanted = true;
            self.network.pump(&self.output);
        }
    }
}

pub struct SimStream(Rc<Side>);

impl SimStream {
    /// Both ends of a connection between two processes.
    fn pair(network: &Network, client: ProcessId, server: ProcessId) -> (SimStream, SimStream) {
        let pipe = |from, to| {
            let state = RefCell::new(PipeState {
                last_data: network.0.clock.now(),
                ..PipeState::default()
            });
            Rc::new(Pipe {
                from,
                to,
                state,
                back: RefCell::default(),
            })
        };
        let (there, back) = (pipe(client, server), pipe(server, client));
        *there.back.borrow_mut() = Rc::downgrade(&back);
        *back.back.borrow_mut() = Rc::downgrade(&there);
        let side = |process, input: &Rc<Pipe>, output: &Rc<Pipe>| {
            network.count(process, true);
            SimStream(Rc::new(Side {
                network: network.clone(),
                process,
                input: input.clone(),
                output: output.clone(),
                reset_on_drop: Cell::new(false),
            }))
        };
        (side(client, &back, &there), side(server, &there, &back))
    }
}

pub struct SimHalf(Rc<Side>);

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
        self.0.output.state.borrow_mut().end_wanted = true;
        self.0.network.pump(&self.0.output);
        Ok(())
    }

    fn waited(&self) -> f64 {
        self.0.waited()
    }

    fn reset_on_drop(&self) {
        self.0.reset_on_drop.set(true);
    }
}

impl Read for SimHalf {
    async fn read(&mut self, into: &mut Vec<u8>) -> io::Result<usize> {
        self.0.read(into).await
    }

    fn waited(&self) -> f64 {
        self.0.waited()
    }

    fn waited_for(&self, behind: usize) -> f64 {
        let p = self.0.input.state.borrow();
        let read = p.came.back().map_or(0, |c| c.0) - p.unread() as u64;
        let since = p
            .came
            .iter()
            .find(|c| c.0 + behind as u64 >= read)
            .map_or(p.last_data, |c| c.1);
        (self.0.network.0.clock.now() - since) as f64 / 1e9
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

struct Listening {
    process: ProcessId,
    address: SocketAddr,
    waiting: RefCell<VecDeque<SimStream>>,
    waker: RefCell<Option<Waker>>,
}

pub struct SimListener {
    network: Network,
    listening: Rc<Listening>,
}

impl Listener for SimListener {
    type Stream = SimStream;

    async fn accept(&self) -> io::Result<SimStream> {
        poll_fn(|cx| match self.listening.waiting.borrow_mut().pop_front() {
            Some(stream) => Poll::Ready(Ok(stream)),
            None => {
                *self.listening.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.listening.address)
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let mut all = self.network.0.listeners.borrow_mut();
        if all
            .get(&self.listening.address)
            .is_some_and(|l| Rc::ptr_eq(l, &self.listening))
        {
            all.remove(&self.listening.address);
        }
        drop(all);
        let waiting = std::mem::take(&mut *self.listening.waiting.borrow_mut());
        // The kernel resets what nobody has accepted.
        waiting.iter().for_each(Stream::reset_on_drop);
    }
}

/// A process on the simulated network: the `Net` of all that runs in it.
#[derive(Clone)]
pub struct SimNet {
    network: Network,
    process: ProcessId,
}

impl SimNet {
    pub fn process(&self) -> ProcessId {
        self.process
    }

    pub fn network(&self) -> &Network {
        &self.network
    }

    fn ahead(&self) -> f64 {
        self.network
            .0
            .machines
            .borrow()
            .get(&self.process)
            .map_or(0.0, |m| m.ahead)
    }
}

/// Ends as its task does.
pub struct SimJoined {
    outcome: tokio::sync::oneshot::Receiver<()>,
}

impl Future for SimJoined {
    type Output = Result<(), woadreach_runtime::TaskError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.outcome)
            .poll(cx)
            .map_err(|_| woadreach_runtime::TaskError {
                reason: "the task has panicked".to_string(),
            })
    }
}

type Connecting = (Option<io::Result<SimStream>>, Option<Waker>);

/// The answer to a connect, which its machine gives or nobody.
fn settle(connecting: &RefCell<Connecting>, result: io::Result<SimStream>) {
    let mut c = connecting.borrow_mut();
    c.0 = Some(result);
    let waker = c.1.take();
    drop(c);
    if let Some(waker) = waker {
        waker.wake();
    }
}

impl Network {
    fn ask(&self, from: ProcessId, to: SocketAddr, connecting: &Rc<RefCell<Connecting>>, nth: u32) {
        if (nth > 0 && Rc::strong_count(connecting) < 2) || !self.0.clock.alive(from) {
            return;
        }
        let (clock, network) = (&self.0.clock, self.clone());
        let (listening, at) = (
            self.0.listeners.borrow().get(&to).cloned(),
            connecting.clone(),
        );
        // The machine of an address is known by whoever listens there, or did last.
        let machine = listening
            .as_ref()
            .map(|l| l.process)
            .or_else(|| self.machine_of(to));
        let heard = machine.is_some_and(|m| self.passes(from, m) && self.passes(m, from));
        let Some(machine) = machine.filter(|_| heard) else {
            if nth < SYN_TRIES {
                let again = clock.now() + (FIRST_SYN_AGAIN << nth);
                clock.call_at(again, move || network.ask(from, to, &at, nth + 1));
            }
            return;
        };
        let (there, back) = (self.latency(from, machine), self.latency(machine, from));
        let when = clock.now() + there + back;
        match listening {
            Some(l) if l.waiting.borrow().len() < self.0.figures.backlog => {
                clock.call_at(clock.now() + there, move || {
                    if !network.0.clock.alive(l.process) {
                        return settle(&at, Err(ErrorKind::ConnectionRefused.into()));
                    }
                    if Rc::strong_count(&at) < 2 {
                        return;
                    }
                    network.0.connects.set(network.0.connects.get() + 1);
                    let (ours, theirs) = SimStream::pair(&network, from, l.process);
                    l.waiting.borrow_mut().push_back(theirs);
                    let waker = l.waker.borrow_mut().take();
                    if let Some(waker) = waker {
                        waker.wake();
                    }
                    network.0.clock.call_at(when, move || settle(&at, Ok(ours)));
                });
            }
            Some(_) => clock.call_at(clock.now() + FIRST_SYN_AGAIN, move || {
                network.ask(from, to, &at, nth + 1)
            }),
            None => clock.call_at(when, move || {
                settle(&at, Err(ErrorKind::ConnectionRefused.into()))
            }),
        }
    }

    fn machine_of(&self, address: SocketAddr) -> Option<ProcessId> {
        // Addresses are given out by process number: see `address`.
        let IpParts { process } = ip_parts(address)?;
        self.0
            .machines
            .borrow()
            .contains_key(&process)
            .then_some(process)
    }
}

struct IpParts {
    process: ProcessId,
}

fn ip_parts(address: SocketAddr) -> Option<IpParts> {
    let std::net::IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let [_, a, b, c] = ip.octets();
    Some(IpParts {
        process: ProcessId(usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)),
    })
}

/// The address of a process, by its number.
pub fn address(process: ProcessId, port: u16) -> SocketAddr {
    let [_, a, b, c] = (process.0 as u32).to_be_bytes();
    SocketAddr::from(([127, a, b, c], port))
}

impl Net for SimNet {
    type Stream = SimStream;
    type Listener = SimListener;
    type Datagrams = SimDatagrams;
    type Joined = SimJoined;

    fn now(&self) -> f64 {
        BEGIN + self.ahead() + self.network.0.clock.now() as f64 / 1e9
    }

    async fn sleep_until(&self, time: f64) {
        let clock = &self.network.0.clock;
        while self.now() < time {
            let wait = ((time - self.now()) * 1e9).ceil() as Nanos;
            let due = (clock.now() + wait).div_ceil(TICK) * TICK;
            Sleep::new(clock, due.max(clock.now() + 1)).await;
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> SimJoined {
        let (sender, outcome) = tokio::sync::oneshot::channel();
        self.network.0.clock.spawn(self.process, async move {
            task.await;
            let _ = sender.send(());
        });
        SimJoined { outcome }
    }

    async fn turn(&self) {
        let mut turned = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut turned, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }

    async fn lookup(&self, name: &str) -> io::Result<SocketAddr> {
        name.parse()
            .map_err(|_| io::Error::new(ErrorKind::NotFound, format!("no address for {name}")))
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let connecting: Rc<RefCell<Connecting>> = Rc::default();
        self.network.ask(self.process, to, &connecting, 0);
        poll_fn(|cx| {
            let mut c = connecting.borrow_mut();
            match c.0.take() {
                Some(result) => Poll::Ready(result),
                None => {
                    c.1 = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        let mut all = self.network.0.inboxes.borrow_mut();
        if all.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let (waiting, waker) = (RefCell::default(), RefCell::default());
        let inbox = Rc::new(Inbox {
            process: self.process,
            waiting,
            waker,
        });
        all.insert(at, inbox.clone());
        Ok(SimDatagrams {
            network: self.network.clone(),
            address: at,
            inbox,
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<SimListener> {
        let mut all = self.network.0.listeners.borrow_mut();
        if all.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let listening = Rc::new(Listening {
            process: self.process,
            address: at,
            waiting: RefCell::default(),
            waker: RefCell::default(),
        });
        all.insert(at, listening.clone());
        drop(all);
        Ok(SimListener {
            network: self.network.clone(),
            listening,
        })
    }
}

/// A number that other streams of chance are seeded with, by name, so that one more of them changes none.
pub fn seed_of(seed: u64, name: &str) -> u64 {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut mixed = chance.next_u64();
    for byte in name.bytes() {
        mixed = (mixed ^ u64::from(byte))
            .wrapping_mul(0x0000_0100_0000_01b3)
            .rotate_left(23);
    }
    Pcg64Mcg::seed_from_u64(mixed).next_u64()
}
