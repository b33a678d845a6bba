//! A replica: cores with a queue, which warms up after its start and fails as its script says.

use crate::recorder::Recorder;
use crate::wire::{Part, PartEnd, encode_answer, parse_frame, parse_parts};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;
use woadreach_invariants::{EventKind, NodeId, PartName, ReplicaName};
use woadreach_runtime::{Listener, Net, Read, Stream, Write};

/// How a replica warms up.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Share of its capacity that it has when it starts.
    pub initial_share: f64,
    /// Seconds until it has all of it.
    pub duration: f64,
}

/// What a replica does with what it is sent; may change at any time. Shares are of the parts.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Its cores.
    pub cores: usize,
    /// Parts that wait while all cores are busy; further ones are rejected.
    pub queue_capacity: usize,
    /// Its speed, as a multiple of what the parts say.
    pub speed: f64,
    /// How it warms up; none if it has all of its capacity at once.
    pub warm_up: Option<WarmUp>,
    /// Accepts parts and never runs them.
    pub hangs: bool,
    /// Rejects every part.
    pub rejects_all: bool,
    /// Share that is run and never answered.
    pub drop_share: f64,
    /// Share that is answered with an error.
    pub error_share: f64,
    /// Share that is answered with bytes that can't be parsed.
    pub corrupt_share: f64,
    /// Share that is answered twice.
    pub duplicate_share: f64,
    /// Share that is run, and whose answer is lost with the connection.
    pub break_share: f64,
    /// Runs and answers cancelled parts.
    pub ignores_cancels: bool,
    /// Seconds until it accepts a connection.
    pub accept_delay: f64,
    /// Seconds until it parses what it has read.
    pub read_delay: f64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            cores: 2,
            queue_capacity: 64,
            speed: 1.0,
            warm_up: None,
            hangs: false,
            rejects_all: false,
            drop_share: 0.0,
            error_share: 0.0,
            corrupt_share: 0.0,
            duplicate_share: 0.0,
            break_share: 0.0,
            ignores_cancels: false,
            accept_delay: 0.0,
            read_delay: 0.0,
        }
    }
}

struct Job {
    node: NodeId,
    part: Part,
    to: Rc<Outlet>,
}

/// What waits to be written on a connection, and which of its parts were cancelled.
#[derive(Default)]
struct Outlet {
    bytes: RefCell<VecDeque<Vec<u8>>>,
    cancelled: RefCell<BTreeSet<PartName>>,
    wake: Notify,
    closed: Cell<bool>,
}

impl Outlet {
    fn send(&self, bytes: Vec<u8>) {
        self.bytes.borrow_mut().push_back(bytes);
        self.wake.notify_one();
    }

    fn end(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }
}

struct Inner<N: Net> {
    net: N,
    name: ReplicaName,
    behaviour: RefCell<Behaviour>,
    recorder: Recorder,
    started: f64,
    rng: RefCell<Pcg64Mcg>,
    queue: RefCell<VecDeque<Job>>,
    busy_cores: Cell<usize>,
}

/// A handle on a running replica. All clones are one replica.
pub struct Replica<N: Net>(Rc<Inner<N>>);

impl<N: Net> Clone for Replica<N> {
    fn clone(&self) -> Self {
        Replica(self.0.clone())
    }
}

/// Starts a replica. It listens at an address of its own for each co-ordinator, which tells them apart.
///
/// # Errors
/// An address is in use.
pub fn replica<N: Net>(
    net: &N,
    name: &str,
    behaviour: Behaviour,
    addresses: &[(NodeId, SocketAddr)],
    seed: u64,
    recorder: &Recorder,
) -> std::io::Result<Replica<N>> {
    recorder.tell(EventKind::ReplicaStarted {
        replica: name.into(),
        cores: behaviour.cores as f64,
    });
    let inner = Rc::new(Inner {
        net: net.clone(),
        name: name.into(),
        behaviour: RefCell::new(behaviour),
        recorder: recorder.clone(),
        started: net.now(),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        queue: RefCell::default(),
        busy_cores: Cell::new(0),
    });
    for (node, address) in addresses {
        let listener = net.listen(*address)?;
        drop(net.spawn(accept(inner.clone(), *node, listener)));
    }
    Ok(Replica(inner))
}

impl<N: Net> Replica<N> {
    /// Changes what it does from now on.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.0.behaviour.borrow_mut());
    }
}

async fn accept<N: Net>(inner: Rc<Inner<N>>, node: NodeId, listener: N::Listener) {
    while let Ok(stream) = listener.accept().await {
        let late = inner.behaviour.borrow().accept_delay;
        if late > 0.0 {
            inner.net.sleep(late).await;
        }
        drop(inner.net.spawn(connection(inner.clone(), node, stream)));
    }
}

async fn connection<N: Net>(inner: Rc<Inner<N>>, node: NodeId, mut stream: N::Stream) {
    let outlet: Rc<Outlet> = Rc::default();
    let (from, to) = stream.split();
    tokio::select! {
        biased;
        () = inner.read(node, from, &outlet) => {}
        () = write(to, &outlet) => {}
    }
    // Parts that still run have nobody to answer.
    outlet.closed.set(true);
}

async fn write(mut to: impl Write, outlet: &Outlet) {
    loop {
        let next = outlet.bytes.borrow_mut().pop_front();
        match next {
            Some(bytes) => {
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            None if outlet.closed.get() => return,
            None => outlet.wake.notified().await,
        }
    }
}

fn name_of(part: &Part) -> PartName {
    PartName {
        search: part.search.as_str().into(),
        shard: part.shard,
        fetch: part.fetch,
    }
}

fn id_of(part: &Part) -> String {
    format!(
        "{}.{}{}",
        part.search,
        part.shard,
        if part.fetch { ".fetch" } else { "" }
    )
}

/// What a part costs, in seconds of one core: the first word of its text.
fn work_of(part: &Part) -> f64 {
    part.text
        .split(' ')
        .next()
        .and_then(|w| w.parse().ok())
        .unwrap_or(0.0)
}

/// A score that depends on the part alone, and is the same at every replica.
fn score_of(part: &Part) -> u64 {
    let mix = |mixed: u64, byte: u8| (mixed ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    part.search
        .bytes()
        .chain(part.shard.to_le_bytes())
        .fold(0xcbf2_9ce4_8422_2325, mix)
        >> 8
}

impl<N: Net> Inner<N> {
    async fn read(self: &Rc<Self>, node: NodeId, mut from: impl Read, outlet: &Rc<Outlet>) {
        let mut bytes = Vec::new();
        loop {
            match from.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            let late = self.behaviour.borrow().read_delay;
            if late > 0.0 {
                self.net.sleep(late).await;
            }
            while let Some((f, taken)) = parse_frame(&bytes) {
                let begun = self.net.now() - from.receive_delay_of(bytes.len() - 1);
                bytes.drain(..taken);
                let came = self.net.now() - from.receive_delay_of(bytes.len());
                match f.letter {
                    b'D' => match parse_parts(&f.rest) {
                        Ok(parts) => {
                            for part in parts {
                                self.sent(node, part, begun, came, outlet);
                            }
                        }
                        Err(why) => {
                            self.refuse(node, &why.to_string(), outlet);
                            return;
                        }
                    },
                    b'K' => self.cancelled(node, &f.rest, outlet),
                    b'I' | b'U' => {}
                    _ => return self.refuse(node, "an unknown letter", outlet),
                }
            }
        }
    }

    fn refuse(&self, node: NodeId, why: &str, outlet: &Outlet) {
        self.recorder.tell(EventKind::Leaked {
            node,
            why: format!("a frame that {} cannot read: {why}", self.name),
        });
        outlet.end();
    }

    fn sent(self: &Rc<Self>, node: NodeId, part: Part, begun: f64, came: f64, to: &Rc<Outlet>) {
        self.recorder.tell(EventKind::PartReceived {
            node,
            replica: self.name.clone(),
            part: name_of(&part),
            first_byte_at: begun,
            last_byte_at: came,
            work: work_of(&part),
            first_step_shards: part.from.clone(),
            first_step_complete: part.whole,
        });
        let b = self.behaviour.borrow().clone();
        if b.hangs {
            return;
        }
        if b.rejects_all || self.queue.borrow().len() >= b.queue_capacity {
            self.recorder.tell(EventKind::PartRejected {
                node,
                replica: self.name.clone(),
                part: name_of(&part),
            });
            return to.send(encode_answer(&id_of(&part), PartEnd::Rejected, None, ""));
        }
        self.queue.borrow_mut().push_back(Job {
            node,
            part,
            to: to.clone(),
        });
        self.work();
    }

    fn cancelled(&self, node: NodeId, id: &[u8], to: &Rc<Outlet>) {
        let id = String::from_utf8_lossy(id).to_string();
        let (rest, fetch) = id
            .strip_suffix(".fetch")
            .map_or((id.as_str(), false), |r| (r, true));
        let Some((search, shard)) = rest.rsplit_once('.') else {
            return;
        };
        let Ok(shard) = shard.parse::<u64>() else {
            return;
        };
        let part = PartName {
            search: search.into(),
            shard,
            fetch,
        };
        self.recorder.tell(EventKind::PartCancelled {
            node,
            replica: self.name.clone(),
            part: part.clone(),
        });
        if self.behaviour.borrow().ignores_cancels {
            return;
        }
        let same = |p: &Part| p.search == search && p.shard == shard && p.fetch == fetch;
        let before = self.queue.borrow().len();
        self.queue
            .borrow_mut()
            .retain(|job| !(Rc::ptr_eq(&job.to, to) && same(&job.part)));
        if self.queue.borrow().len() == before {
            to.cancelled.borrow_mut().insert(part);
        }
    }

    /// Starts queued parts while there are idle cores.
    fn work(self: &Rc<Self>) {
        loop {
            let b = self.behaviour.borrow().clone();
            if self.busy_cores.get() >= b.cores {
                return;
            }
            let Some(job) = self.queue.borrow_mut().pop_front() else {
                return;
            };
            self.busy_cores.set(self.busy_cores.get() + 1);
            let inner = self.clone();
            drop(self.net.spawn(async move {
                let age = inner.net.now() - inner.started;
                let warm = b.warm_up.map_or(1.0, |w| {
                    let progress = (age / w.duration).clamp(0.0, 1.0);
                    w.initial_share + (1.0 - w.initial_share) * progress
                });
                inner
                    .net
                    .sleep(work_of(&job.part) / (b.speed * warm).max(1e-6))
                    .await;
                inner.finish(&job);
                inner.busy_cores.set(inner.busy_cores.get() - 1);
                inner.work();
            }));
        }
    }

    fn finish(&self, job: &Job) {
        let (part, to) = (&job.part, &job.to);
        let b = self.behaviour.borrow().clone();
        let happens = |share: f64| share > 0.0 && self.rng.borrow_mut().random_bool(share.min(1.0));
        let marked = to.cancelled.borrow_mut().remove(&name_of(part));
        if b.hangs || happens(b.drop_share) || (marked && !b.ignores_cancels) {
            return;
        }
        let id = id_of(part);
        if happens(b.error_share) {
            return to.send(encode_answer(&id, PartEnd::Failed, None, ""));
        }
        let value: Arc<str> = format!("{id}@{}", self.name).into();
        let made = EventKind::PartCompleted {
            node: job.node,
            replica: self.name.clone(),
            part: name_of(part),
            value: value.clone(),
        };
        self.recorder.tell(made);
        if happens(b.break_share) {
            return to.end();
        }
        if happens(b.corrupt_share) {
            let noise: [&[u8]; 4] = [
                b"\xff\xff\xff\x7fO",
                b"\x05\0\0\0Qabcd",
                b"\x0e\0\0\0Ono.7 200 1 -\nv",
                b"\x0c\0\0\0Oa 299 1 -\nv",
            ];
            let which = self.rng.borrow_mut().random_range(0..noise.len());
            return to.send(noise[which].to_vec());
        }
        let answer = encode_answer(&id, PartEnd::Completed, Some(score_of(part)), &value);
        if happens(b.duplicate_share) {
            to.send(answer.clone());
        }
        to.send(answer);
    }
}
