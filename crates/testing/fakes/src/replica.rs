//! A fake replica: cores with a queue, a warm-up after the start, and configurable faults.

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
use woadreach_invariants::{CoordinatorId, EventKind, PartName, ReplicaName};
use woadreach_runtime::{Listener, Net, Read, Stream, Write};

/// Lower bound of the speed, as a multiple of the normal speed, so that the duration of a part is finite.
const MIN_SPEED: f64 = 1e-6;

/// Warm-up of a replica. The capacity increases linearly.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Share of its capacity that the replica has when it starts.
    pub initial_share: f64,
    /// Seconds from the start until the replica has its full capacity.
    pub duration: f64,
}

impl WarmUp {
    /// Share of its capacity that a replica has `age_s` seconds after its start.
    fn capacity_at(&self, age_s: f64) -> f64 {
        let progress = (age_s / self.duration).clamp(0.0, 1.0);
        self.initial_share + (1.0 - self.initial_share) * progress
    }
}

/// Capacity and faults of a replica, which may change at any time. A share is the probability for each part, from 0
/// to 1.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Number of cores. Each runs one part at a time.
    pub cores: usize,
    /// Maximum number of queued parts. Further parts are rejected.
    pub queue_capacity: usize,
    /// Speed as a multiple of the normal speed, at which a part takes as long as its work states.
    pub speed: f64,
    /// Warm-up; `None` if the replica has its full capacity from the start.
    pub warm_up: Option<WarmUp>,
    /// Reads parts, and neither runs nor answers them.
    pub hangs: bool,
    /// Rejects every part.
    pub rejects_all: bool,
    /// Share of parts that occupy a core and are never answered.
    pub drop_share: f64,
    /// Share of parts that are answered with an error.
    pub error_share: f64,
    /// Share of parts that are run and answered with a malformed frame.
    pub corrupt_share: f64,
    /// Share of parts that are run and answered twice.
    pub duplicate_share: f64,
    /// Share of parts that are run, and after which the connection is closed instead of an answer.
    pub break_share: f64,
    /// Ignores cancellations: cancelled parts are run and answered.
    pub ignores_cancels: bool,
    /// Delay in seconds before each accepted connection is served; later connections wait for it too.
    pub accept_delay: f64,
    /// Delay in seconds between reading bytes and parsing them.
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

/// A part that is queued or running.
struct Job {
    /// The co-ordinator that sent the part.
    node: CoordinatorId,
    part: Part,
    /// Connection for the answer.
    outgoing: Rc<Outgoing>,
}

/// Outgoing frames of a connection, and the cancelled parts among those that were received on it.
#[derive(Default)]
struct Outgoing {
    /// Queued frames, in the order in which they are written.
    frames: RefCell<VecDeque<Vec<u8>>>,
    /// Parts that were cancelled when they were no longer queued. They are not answered.
    cancelled: RefCell<BTreeSet<PartName>>,
    /// Notified when a frame is queued and when `closed` is set.
    changed: Notify,
    /// Whether the connection is to be closed once the queued frames are written.
    closed: Cell<bool>,
}

impl Outgoing {
    fn send(&self, frame: Vec<u8>) {
        self.frames.borrow_mut().push_back(frame);
        self.changed.notify_one();
    }

    fn close(&self) {
        self.closed.set(true);
        self.changed.notify_one();
    }
}

/// Times at which the kernel received the first and the last byte of a frame, in Unix seconds.
#[derive(Clone, Copy)]
struct ReceiveTimes {
    first_byte_at: f64,
    last_byte_at: f64,
}

struct Inner<N: Net> {
    net: N,
    name: ReplicaName,
    behaviour: RefCell<Behaviour>,
    recorder: Recorder,
    /// Unix seconds.
    started_at: f64,
    rng: RefCell<Pcg64Mcg>,
    /// Parts that are queued for a core.
    queue: RefCell<VecDeque<Job>>,
    busy_cores: Cell<usize>,
}

/// Handle of a running replica. All clones refer to the same replica.
pub struct Replica<N: Net>(Rc<Inner<N>>);

impl<N: Net> Clone for Replica<N> {
    fn clone(&self) -> Self {
        Replica(self.0.clone())
    }
}

/// Starts a replica. It listens at a separate address for each co-ordinator, so that it can record which co-ordinator
/// sent a part. `seed` determines which parts are affected by faults.
///
/// # Errors
/// Returns an error if the replica cannot listen at an address.
pub fn start_replica<N: Net>(
    net: &N,
    name: &str,
    behaviour: Behaviour,
    addresses: &[(CoordinatorId, SocketAddr)],
    seed: u64,
    recorder: &Recorder,
) -> std::io::Result<Replica<N>> {
    recorder.record(EventKind::ReplicaStarted {
        replica: name.into(),
        cores: behaviour.cores as f64,
    });
    let inner = Rc::new(Inner {
        net: net.clone(),
        name: name.into(),
        behaviour: RefCell::new(behaviour),
        recorder: recorder.clone(),
        started_at: net.now(),
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
    /// Changes the replica's behaviour, starting now.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.0.behaviour.borrow_mut());
    }
}

async fn accept<N: Net>(inner: Rc<Inner<N>>, node: CoordinatorId, listener: N::Listener) {
    while let Ok(stream) = listener.accept().await {
        let delay = inner.behaviour.borrow().accept_delay;
        if delay > 0.0 {
            inner.net.sleep(delay).await;
        }
        drop(inner.net.spawn(connection(inner.clone(), node, stream)));
    }
}

async fn connection<N: Net>(inner: Rc<Inner<N>>, node: CoordinatorId, mut stream: N::Stream) {
    let outgoing: Rc<Outgoing> = Rc::default();
    let (reader, writer) = stream.split();
    tokio::select! {
        biased;
        () = inner.read(node, reader, &outgoing) => {}
        () = write(writer, &outgoing) => {}
    }
    // The connection has ended: answers of parts that are still running are dropped.
    outgoing.closed.set(true);
}

async fn write(mut writer: impl Write, outgoing: &Outgoing) {
    loop {
        let next = outgoing.frames.borrow_mut().pop_front();
        match next {
            Some(frame) => {
                if writer.write_all(&frame).await.is_err() {
                    return;
                }
            }
            None if outgoing.closed.get() => return,
            None => outgoing.changed.notified().await,
        }
    }
}

fn name_of(part: &Part) -> PartName {
    PartName {
        search: part.search.as_str().into(),
        shard: part.shard,
        second_step: part.second_step,
    }
}

fn id_of(part: &Part) -> String {
    format!(
        "{}.{}{}",
        part.search,
        part.shard,
        if part.second_step { ".fetch" } else { "" }
    )
}

/// Amount of work of a part, in seconds of one core: the first word of its text, or 0 if it is not a number.
fn work_of(part: &Part) -> f64 {
    part.text
        .split(' ')
        .next()
        .and_then(|w| w.parse().ok())
        .unwrap_or(0.0)
}

/// Returns a score that depends only on the part, so that all replicas compute the same.
fn score_of(part: &Part) -> u64 {
    let mix = |mixed: u64, byte: u8| (mixed ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    part.search
        .bytes()
        .chain(part.shard.to_le_bytes())
        .fold(0xcbf2_9ce4_8422_2325, mix)
        >> 8
}

impl<N: Net> Inner<N> {
    /// Reads frames until the connection closes or a frame is malformed.
    async fn read(
        self: &Rc<Self>,
        node: CoordinatorId,
        mut reader: impl Read,
        outgoing: &Rc<Outgoing>,
    ) {
        let mut bytes = Vec::new();
        loop {
            match reader.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            let delay = self.behaviour.borrow().read_delay;
            if delay > 0.0 {
                self.net.sleep(delay).await;
            }
            while let Some((frame, consumed)) = parse_frame(&bytes) {
                let first_byte_at = self.net.now() - reader.receive_delay_of(bytes.len() - 1);
                bytes.drain(..consumed);
                let last_byte_at = self.net.now() - reader.receive_delay_of(bytes.len());
                let received = ReceiveTimes {
                    first_byte_at,
                    last_byte_at,
                };
                match frame.kind {
                    b'D' => match parse_parts(&frame.body) {
                        Ok(parts) => {
                            for part in parts {
                                self.receive_part(node, part, received, outgoing);
                            }
                        }
                        Err(error) => {
                            self.close_on_malformed_frame(node, &error.to_string(), outgoing);
                            return;
                        }
                    },
                    b'K' => self.cancel(node, &frame.body, outgoing),
                    b'I' | b'U' => {}
                    _ => {
                        return self.close_on_malformed_frame(node, "unknown frame kind", outgoing);
                    }
                }
            }
        }
    }

    /// Records that a co-ordinator violated the protocol, and closes the connection.
    fn close_on_malformed_frame(&self, node: CoordinatorId, why: &str, outgoing: &Outgoing) {
        self.recorder.record(EventKind::CoordinatorUnsound {
            node,
            why: format!("replica {} received a malformed frame: {why}", self.name),
        });
        outgoing.close();
    }

    /// Records a received part, and queues or rejects it. A replica that hangs only records it.
    fn receive_part(
        self: &Rc<Self>,
        node: CoordinatorId,
        part: Part,
        received: ReceiveTimes,
        outgoing: &Rc<Outgoing>,
    ) {
        self.recorder.record(EventKind::PartReceived {
            node,
            replica: self.name.clone(),
            part: name_of(&part),
            first_byte_at: received.first_byte_at,
            last_byte_at: received.last_byte_at,
            work: work_of(&part),
            first_step_shards: part.first_step_shards.clone(),
            first_step_complete: part.first_step_complete,
        });
        let behaviour = self.behaviour.borrow().clone();
        if behaviour.hangs {
            return;
        }
        if behaviour.rejects_all || self.queue.borrow().len() >= behaviour.queue_capacity {
            self.recorder.record(EventKind::PartRejected {
                node,
                replica: self.name.clone(),
                part: name_of(&part),
            });
            return outgoing.send(encode_answer(&id_of(&part), PartEnd::Rejected, None, ""));
        }
        self.queue.borrow_mut().push_back(Job {
            node,
            part,
            outgoing: outgoing.clone(),
        });
        self.start_queued();
    }

    /// Handles the cancellation of the part with the identifier `id` on the wire: removes the part from the queue, or
    /// suppresses its answer if it is no longer queued.
    fn cancel(&self, node: CoordinatorId, id: &[u8], outgoing: &Rc<Outgoing>) {
        let id = String::from_utf8_lossy(id).to_string();
        let (rest, second_step) = id
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
            second_step,
        };
        self.recorder.record(EventKind::PartCancelled {
            node,
            replica: self.name.clone(),
            part: part.clone(),
        });
        if self.behaviour.borrow().ignores_cancels {
            return;
        }
        let is_cancelled_part =
            |p: &Part| p.search == search && p.shard == shard && p.second_step == second_step;
        let before = self.queue.borrow().len();
        self.queue
            .borrow_mut()
            .retain(|job| !(Rc::ptr_eq(&job.outgoing, outgoing) && is_cancelled_part(&job.part)));
        if self.queue.borrow().len() == before {
            outgoing.cancelled.borrow_mut().insert(part);
        }
    }

    /// Starts queued parts while there are idle cores.
    fn start_queued(self: &Rc<Self>) {
        loop {
            let behaviour = self.behaviour.borrow().clone();
            if self.busy_cores.get() >= behaviour.cores {
                return;
            }
            let Some(job) = self.queue.borrow_mut().pop_front() else {
                return;
            };
            self.busy_cores.set(self.busy_cores.get() + 1);
            let inner = self.clone();
            drop(self.net.spawn(async move {
                let age_s = inner.net.now() - inner.started_at;
                let capacity = behaviour.warm_up.map_or(1.0, |w| w.capacity_at(age_s));
                let speed = (behaviour.speed * capacity).max(MIN_SPEED);
                inner.net.sleep(work_of(&job.part) / speed).await;
                inner.finish(&job);
                inner.busy_cores.set(inner.busy_cores.get() - 1);
                inner.start_queued();
            }));
        }
    }

    /// Answers a part after its work, or fails to as configured.
    fn finish(&self, job: &Job) {
        let (part, outgoing) = (&job.part, &job.outgoing);
        let behaviour = self.behaviour.borrow().clone();
        let occurs = |share: f64| share > 0.0 && self.rng.borrow_mut().random_bool(share.min(1.0));
        let is_cancelled = outgoing.cancelled.borrow_mut().remove(&name_of(part));
        if behaviour.hangs
            || occurs(behaviour.drop_share)
            || (is_cancelled && !behaviour.ignores_cancels)
        {
            return;
        }
        let id = id_of(part);
        if occurs(behaviour.error_share) {
            return outgoing.send(encode_answer(&id, PartEnd::Failed, None, ""));
        }
        let value: Arc<str> = format!("{id}@{}", self.name).into();
        let completed = EventKind::PartCompleted {
            node: job.node,
            replica: self.name.clone(),
            part: name_of(part),
            value: value.clone(),
        };
        self.recorder.record(completed);
        if occurs(behaviour.break_share) {
            return outgoing.close();
        }
        if occurs(behaviour.corrupt_share) {
            let noise: [&[u8]; 4] = [
                b"\xff\xff\xff\x7fO",
                b"\x05\0\0\0Qabcd",
                b"\x0e\0\0\0Ono.7 200 1 -\nv",
                b"\x0c\0\0\0Oa 299 1 -\nv",
            ];
            let which = self.rng.borrow_mut().random_range(0..noise.len());
            return outgoing.send(noise[which].to_vec());
        }
        let answer = encode_answer(&id, PartEnd::Completed, Some(score_of(part)), &value);
        if occurs(behaviour.duplicate_share) {
            outgoing.send(answer.clone());
        }
        outgoing.send(answer);
    }
}
