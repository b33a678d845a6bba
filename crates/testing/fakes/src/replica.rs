//! A replica: cores with a waiting room in front, cold after its start, and as bad as its script says at the
//! moment. Owns its connections and what is at work; must never do what the script does not say.

use crate::recorder::Recorder;
use crate::wire::{Part, answer_frame, frame, parts_of};
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

/// What a replica does with what it is sent; may change at any time.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub cores: usize,
    /// Parts that wait while all cores are at work; further ones are turned away.
    pub room: usize,
    /// How much faster than told it works.
    pub speed: f64,
    /// Capacity at its start and the seconds until it has all of it; none if it is warm at once.
    pub cold: Option<(f64, f64)>,
    /// Takes parts in and never does anything with them.
    pub hangs: bool,
    /// Turns everything away.
    pub full: bool,
    /// Shares of parts: lost without a word, failed, answered with what cannot be read, answered twice, run
    /// with the answer lost together with its connection.
    pub swallows: f64,
    pub errors: f64,
    pub spoils: f64,
    pub doubles: f64,
    pub breaks: f64,
    /// Finishes and answers what has been given up.
    pub heedless: bool,
    /// Seconds before it accepts a connection, and before it reads what has come.
    pub accepts_late: f64,
    pub reads_late: f64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            cores: 2,
            room: 64,
            speed: 1.0,
            cold: None,
            hangs: false,
            full: false,
            swallows: 0.0,
            errors: 0.0,
            spoils: 0.0,
            doubles: 0.0,
            breaks: 0.0,
            heedless: false,
            accepts_late: 0.0,
            reads_late: 0.0,
        }
    }
}

struct Job {
    node: NodeId,
    part: Part,
    to: Rc<Outlet>,
}

/// What waits to be written on a connection.
#[derive(Default)]
struct Outlet {
    bytes: RefCell<VecDeque<Vec<u8>>>,
    given_up: RefCell<BTreeSet<(String, u64, bool)>>,
    wake: Notify,
    ends: Cell<bool>,
}

impl Outlet {
    fn say(&self, bytes: Vec<u8>) {
        self.bytes.borrow_mut().push_back(bytes);
        self.wake.notify_one();
    }

    fn end(&self) {
        self.ends.set(true);
        self.wake.notify_one();
    }
}

struct Inner<N: Net> {
    net: N,
    name: ReplicaName,
    behaviour: RefCell<Behaviour>,
    recorder: Recorder,
    started: f64,
    chance: RefCell<Pcg64Mcg>,
    queue: RefCell<VecDeque<Job>>,
    at_work: Cell<usize>,
    done: Cell<u64>,
}

/// A handle on a replica that runs.
pub struct Replica<N: Net>(Rc<Inner<N>>);

impl<N: Net> Clone for Replica<N> {
    fn clone(&self) -> Self {
        Replica(self.0.clone())
    }
}

/// Starts one that listens at an address for each co-ordinator, by which it knows them.
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
        chance: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        queue: RefCell::default(),
        at_work: Cell::new(0),
        done: Cell::new(0),
    });
    for (node, address) in addresses {
        let listener = net.listen(*address)?;
        drop(net.spawn(accept(inner.clone(), *node, listener)));
    }
    Ok(Replica(inner))
}

impl<N: Net> Replica<N> {
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.0.behaviour.borrow_mut());
    }

    /// Parts at work, waiting, and done so far.
    pub fn load(&self) -> (usize, usize, u64) {
        (
            self.0.at_work.get(),
            self.0.queue.borrow().len(),
            self.0.done.get(),
        )
    }
}

async fn accept<N: Net>(inner: Rc<Inner<N>>, node: NodeId, listener: N::Listener) {
    while let Ok(stream) = listener.accept().await {
        let late = inner.behaviour.borrow().accepts_late;
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
    // What is at work for it is finished for nobody.
    outlet.ends.set(true);
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
            None if outlet.ends.get() => return,
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

/// Score and value are a mark of the part: the same wherever it runs, but for the replica's name.
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
            let late = self.behaviour.borrow().reads_late;
            if late > 0.0 {
                self.net.sleep(late).await;
            }
            while let Some((f, taken)) = frame(&bytes) {
                let begun = self.net.now() - from.waited_for(bytes.len() - 1);
                bytes.drain(..taken);
                let came = self.net.now() - from.waited_for(bytes.len());
                match f.letter {
                    b'D' => match parts_of(&f.rest) {
                        Ok(parts) => {
                            for part in parts {
                                self.sent(node, part, begun, came, outlet);
                            }
                        }
                        Err(why) => {
                            self.refuse(node, &why, outlet);
                            return;
                        }
                    },
                    b'K' => self.given_up(node, &f.rest, outlet),
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
            begun,
            came,
            work: work_of(&part),
            from: part.from.clone(),
            first_whole: part.whole,
        });
        let b = self.behaviour.borrow().clone();
        if b.hangs {
            return;
        }
        if b.full || self.queue.borrow().len() >= b.room {
            self.recorder.tell(EventKind::PartRejected {
                node,
                replica: self.name.clone(),
                part: name_of(&part),
            });
            return to.say(answer_frame(&id_of(&part), "503", None, ""));
        }
        self.queue.borrow_mut().push_back(Job {
            node,
            part,
            to: to.clone(),
        });
        self.work();
    }

    fn given_up(&self, node: NodeId, id: &[u8], to: &Rc<Outlet>) {
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
            part,
        });
        if self.behaviour.borrow().heedless {
            return;
        }
        let same = |p: &Part| p.search == search && p.shard == shard && p.fetch == fetch;
        let before = self.queue.borrow().len();
        self.queue
            .borrow_mut()
            .retain(|job| !(Rc::ptr_eq(&job.to, to) && same(&job.part)));
        if self.queue.borrow().len() == before {
            to.given_up
                .borrow_mut()
                .insert((search.to_string(), shard, fetch));
        }
    }

    /// Starts what the cores have room for.
    fn work(self: &Rc<Self>) {
        loop {
            let b = self.behaviour.borrow().clone();
            if self.at_work.get() >= b.cores {
                return;
            }
            let Some(job) = self.queue.borrow_mut().pop_front() else {
                return;
            };
            self.at_work.set(self.at_work.get() + 1);
            let inner = self.clone();
            drop(self.net.spawn(async move {
                let age = inner.net.now() - inner.started;
                let warm = b.cold.map_or(1.0, |(from, time)| {
                    from + (1.0 - from) * (age / time).clamp(0.0, 1.0)
                });
                inner
                    .net
                    .sleep(work_of(&job.part) / (b.speed * warm).max(1e-6))
                    .await;
                inner.finish(&job);
                inner.at_work.set(inner.at_work.get() - 1);
                inner.work();
            }));
        }
    }

    fn finish(&self, job: &Job) {
        let (part, to) = (&job.part, &job.to);
        let b = self.behaviour.borrow().clone();
        let happens =
            |share: f64| share > 0.0 && self.chance.borrow_mut().random_bool(share.min(1.0));
        let marked =
            to.given_up
                .borrow_mut()
                .remove(&(part.search.clone(), part.shard, part.fetch));
        self.done.set(self.done.get() + 1);
        if b.hangs || happens(b.swallows) || (marked && !b.heedless) {
            return;
        }
        let id = id_of(part);
        if happens(b.errors) {
            return to.say(answer_frame(&id, "500", None, ""));
        }
        // A replica that is not the one of its shard's first step does no work for the second.
        let value: Arc<str> = format!("{id}@{}", self.name).into();
        let made = EventKind::PartCompleted {
            node: job.node,
            replica: self.name.clone(),
            part: name_of(part),
            value: value.clone(),
        };
        self.recorder.tell(made);
        if happens(b.breaks) {
            return to.end();
        }
        if happens(b.spoils) {
            let noise: [&[u8]; 4] = [
                b"\xff\xff\xff\x7fO",
                b"\x05\0\0\0Qabcd",
                b"\x0e\0\0\0Ono.7 200 1 -\nv",
                b"\x0c\0\0\0Oa 299 1 -\nv",
            ];
            let which = self.chance.borrow_mut().random_range(0..noise.len());
            return to.say(noise[which].to_vec());
        }
        let answer = answer_frame(&id, "200", Some(score_of(part)), &value);
        if happens(b.doubles) {
            to.say(answer.clone());
        }
        to.say(answer);
    }
}
