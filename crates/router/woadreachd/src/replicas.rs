//! Connections to replicas and what is out on each. Owns every sub-request from the send that the module
//! decided until its outcome is in `ended`, whence the core tells it to the module, exactly once. Must never
//! choose a replica, nor send a part again.

use crate::events::{AttemptId, ConnId, ConnectionEvent, Entry, Event, Events, Lifecycle, List};
use crate::frame::{self, End, Frame};
use crate::sockets::{Permit, Side, Sockets};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tracing::{debug, warn};
use woadreach_routing::api::{Ending, Outcome, ReplicaId};
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::{Net, Read, Stream, Write};

/// Room for the bytes of an ordinary answer; what a longer one took is given back.
const READ: usize = 2048;
/// A connection that could not be written to for so long has kept its parts waiting.
const WAITED: f64 = 0.001;

/// PROTOCOL's figures from the settings.
pub struct ConnectionConfig {
    pub streams_per_conn: usize,
    pub parts_per_call: usize,
    pub idle_close: f64,
    pub connect_timeout: f64,
    pub cancelling: bool,
}

/// A part as it goes out.
pub struct QueuedAttempt {
    pub sub: AttemptId,
    /// The wire's id of the part, the same for each of its sub-requests.
    pub id: String,
    pub shard: u64,
    /// What the list holds beside `d`.
    pub extras: String,
    pub text: Rc<str>,
    pub until: f64,
    /// It leaves before this time or not at all: a repeat of a tokened part, within its window.
    pub begin_by: f64,
    pub written: Written,
}

/// When the last byte of a search's latest sub-request was handed to the kernel; 0 before. Its search and the
/// parts on their way share it.
pub type Written = Rc<Cell<f64>>;

enum Item {
    Call(Vec<QueuedAttempt>),
    GiveUp(String),
}

/// What waits to be written on a connection; shared with its task, which takes from the front.
#[derive(Default)]
struct Outbox {
    items: RefCell<VecDeque<Item>>,
    /// Of the call that is being written.
    writing: RefCell<Vec<(AttemptId, Written)>>,
    /// The other machine has not taken all of what was written last.
    unsent: Cell<bool>,
    /// Taken to be written when their time was over, and left out.
    late: RefCell<BTreeSet<AttemptId>>,
    wake: Notify,
    close: Cell<bool>,
    /// Nothing that waits here is of use any more.
    spoilt: Cell<bool>,
    /// Nor is what has been written and not taken by the other machine: it must not arrive.
    cut: Cell<bool>,
    stop: Notify,
}

impl Outbox {
    fn push(&self, item: Item) {
        self.items.borrow_mut().push_back(item);
        self.wake.notify_one();
    }

    fn end(&self) {
        self.close.set(true);
        self.wake.notify_one();
        self.stop.notify_one();
    }

    /// Danger: a machine that reads nothing keeps what waits for it, and with that the connection's
    /// descriptor, for good. Once the connection is to end it has as long as a message may take. Covers also
    /// a connection that is of no further use: it ends at once. Harm: words to a slow machine are lost, all
    /// of them ends to what nobody waits for.
    async fn stopped(&self, net: &impl Net, patience: f64) -> Result<(), String> {
        self.stop.notified().await;
        if !self.spoilt.get() {
            net.sleep(patience).await;
        }
        Err("what waited was not written".into())
    }

    /// Takes a part back if it has not begun to leave.
    fn take_back(&self, sub: AttemptId) -> bool {
        let waits = self.items.borrow_mut().iter_mut().any(|item| match item {
            Item::Call(letters) => {
                let before = letters.len();
                letters.retain(|l| l.sub != sub);
                letters.len() < before
            }
            Item::GiveUp(_) => false,
        });
        waits || self.late.borrow_mut().remove(&sub)
    }

    /// Whether it has begun to leave and has not all left this machine, as far as the last look tells.
    fn half_sent(&self, sub: AttemptId) -> bool {
        self.unsent.get() || self.writing.borrow().iter().any(|w| w.0 == sub)
    }

    /// How one that is half sent ends: without its last byte it cannot have run.
    fn ending(&self, sub: AttemptId) -> Ending {
        let writing = self.writing.borrow().iter().any(|w| w.0 == sub);
        if writing {
            Ending::NeverSent
        } else {
            Ending::TimedOut
        }
    }

    fn unwritten(&self) -> BTreeSet<AttemptId> {
        let mut attempts = self.late.borrow().clone();
        attempts.extend(self.writing.borrow().iter().map(|w| w.0));
        for item in self.items.borrow().iter() {
            if let Item::Call(letters) = item {
                attempts.extend(letters.iter().map(|l| l.sub));
            }
        }
        attempts
    }
}

struct Conn {
    replica: ReplicaId,
    outbox: Rc<Outbox>,
    up: bool,
    /// Takes nothing new, and is closed once nothing is out on it.
    retired: bool,
    out: BTreeMap<String, AttemptId>,
    /// The last parts that are no longer out, and whether each was given up: an answer to one, or a second
    /// one, may still come.
    past: VecDeque<(String, bool)>,
    last_used: f64,
    /// When bytes of an answer were last read.
    heard: f64,
}

struct Peer {
    address: SocketAddr,
    started_at: f64,
    conns: BTreeSet<ConnId>,
}

struct Sub {
    replica: ReplicaId,
    conn: ConnId,
    id: String,
    sent_at: f64,
}

pub struct Replicas<N: Net> {
    figures: ConnectionConfig,
    net: N,
    sockets: Sockets,
    events: Events,
    peers: BTreeMap<ReplicaId, Peer>,
    conns: BTreeMap<ConnId, Conn>,
    next_conn: u64,
    attempts: BTreeMap<AttemptId, Sub>,
    /// Decided in this round, not yet on a connection.
    batch: BTreeMap<ReplicaId, Vec<QueuedAttempt>>,
    pub ended: VecDeque<Outcome>,
}

impl<N: Net> Replicas<N> {
    pub fn new(figures: ConnectionConfig, net: N, sockets: Sockets, events: Events) -> Self {
        Replicas {
            figures,
            net,
            sockets,
            events,
            peers: BTreeMap::new(),
            conns: BTreeMap::new(),
            next_conn: 0,
            attempts: BTreeMap::new(),
            batch: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Sub-requests out, and connections.
    pub fn held(&self) -> (usize, usize) {
        (self.attempts.len(), self.conns.len())
    }

    /// Replicas that the list still names.
    pub fn known(&self) -> usize {
        self.peers.len()
    }

    /// Addresses, and an end to what must not be used any more.
    pub fn list(&mut self, now: f64, list: &List) {
        if list.full {
            let named: BTreeSet<&str> = list.entries.iter().map(|e| e.id.as_str()).collect();
            let gone: Vec<_> = self
                .peers
                .keys()
                .filter(|r| !named.contains(&*r.0))
                .cloned()
                .collect();
            for r in gone {
                self.leave(now, &r);
                // Its connections end with the last part on them, and know nothing of it any more.
                self.peers.remove(&r);
            }
        }
        for entry in &list.entries {
            self.entry(now, entry);
        }
    }

    fn entry(&mut self, now: f64, entry: &Entry) {
        let id = ReplicaId(entry.id.as_str().into());
        if entry.lifecycle != Lifecycle::Ready {
            self.leave(now, &id);
        }
        if entry.lifecycle == Lifecycle::Gone {
            self.peers.remove(&id);
            return;
        }
        let (address, started_at) = (entry.address, entry.started_at);
        let peer = self.peers.entry(id).or_insert(Peer {
            address,
            started_at,
            conns: BTreeSet::new(),
        });
        // Danger: connections to a machine that has been silent stay open after it has come back as a new
        // process, and what is written to them is lost. Covers also a replica that moves. Harm: none but a
        // handshake, as a restarted process holds no old connection.
        let stale = (peer.address, peer.started_at) != (address, started_at);
        (peer.address, peer.started_at) = (address, started_at);
        if stale {
            let conns = peer.conns.clone();
            conns.iter().for_each(|c| self.retire(*c));
        }
    }

    /// Danger: a part that waits for a connection leaves after the grace of a drain. All that have not begun
    /// to leave are taken back at once. Covers also a replica that is gone. Harm: none, they are placed anew.
    fn leave(&mut self, now: f64, replica: &ReplicaId) {
        let conns = self
            .peers
            .get(replica)
            .map_or(BTreeSet::new(), |p| p.conns.clone());
        for id in conns {
            let Some(conn) = self.conns.get(&id) else {
                continue;
            };
            let outbox = conn.outbox.clone();
            let back = conn
                .out
                .values()
                .copied()
                .filter(|_| !is_mutated("replicas-no-take-back"));
            let back: Vec<AttemptId> = back.filter(|s| outbox.take_back(*s)).collect();
            back.iter()
                .for_each(|s| self.end(*s, Ending::NeverSent, now));
            self.retire(id);
        }
        for letter in self.batch.remove(replica).unwrap_or_default() {
            self.end(letter.sub, Ending::NeverSent, now);
        }
    }

    fn retire(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.retired = true;
            if conn.out.is_empty() {
                conn.outbox.end();
            }
        }
    }

    /// A part to be sent with the others of this round.
    pub fn send(&mut self, now: f64, replica: &ReplicaId, letter: QueuedAttempt) {
        let (replica, id) = (replica.clone(), letter.id.clone());
        let sub = Sub {
            replica: replica.clone(),
            conn: ConnId(u64::MAX),
            id,
            sent_at: now,
        };
        self.attempts.insert(letter.sub, sub);
        self.batch.entry(replica).or_default().push(letter);
    }

    /// The parts of this round leave: those for one replica share calls.
    ///
    /// Danger: a search ends in the round that sent its parts, and these leave after its answer. Those given
    /// up since are dropped here. Covers also a part that was placed anew. Harm: none, no byte of them has
    /// left.
    pub fn flush(&mut self, now: f64) {
        for (replica, mut letters) in std::mem::take(&mut self.batch) {
            letters.retain(|l| self.attempts.contains_key(&l.sub));
            while !letters.is_empty() {
                let rest = letters.split_off(letters.len().min(self.figures.parts_per_call));
                self.call(now, &replica, std::mem::replace(&mut letters, rest));
            }
        }
    }

    fn call(&mut self, now: f64, replica: &ReplicaId, letters: Vec<QueuedAttempt>) {
        let room = self.room(now, replica, &letters);
        // Danger: a connection that breaks takes with it all that is out on it. What is out on one replica is
        // spread over as many as its share of the descriptors kept for us allows; a further one is opened
        // beside the part, which does not wait for it. Covers any cause. Harm: a few more handshakes.
        let conns = self.peers.get(replica).map_or(0, |p| p.conns.len());
        if room.is_some_and(|(_, out)| out > 0)
            && conns < self.sockets.kept_for_replicas() / self.peers.len().max(1)
        {
            self.open(now, replica);
        }
        let Some(conn) = room
            .map(|(conn, _)| conn)
            .or_else(|| self.open(now, replica))
        else {
            let why = if self.peers.contains_key(replica) {
                Ending::Unreachable
            } else {
                Ending::NeverSent
            };
            letters.iter().for_each(|l| self.end(l.sub, why, now));
            return;
        };
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        c.last_used = now;
        for l in &letters {
            c.out.insert(l.id.clone(), l.sub);
            if let Some(sub) = self.attempts.get_mut(&l.sub) {
                sub.conn = conn;
            }
        }
        c.outbox.push(Item::Call(letters));
    }

    /// The connection with the fewest parts out, and how many, among those with room for these, on which none
    /// of their ids could be taken for another's: one that is up, else one that is coming up.
    fn room(
        &self,
        now: f64,
        replica: &ReplicaId,
        letters: &[QueuedAttempt],
    ) -> Option<(ConnId, usize)> {
        // PROTOCOL: what is written after the idle time is lost. One connect time-out, the longest that the
        // settings hold a message to be on its way, keeps clear of it.
        let idle = self.figures.idle_close - self.figures.connect_timeout;
        let fits = |id: &&ConnId| {
            self.conns.get(id).is_some_and(|c| {
                !c.retired
                    && (!c.out.is_empty() || now - c.last_used < idle)
                    && c.out.len() + letters.len()
                        <= self.figures.streams_per_conn.max(letters.len())
                    && !letters.iter().any(|l| {
                        c.out.contains_key(&l.id) || c.past.contains(&(l.id.clone(), true))
                    })
            })
        };
        let fitting = || {
            self.peers
                .get(replica)
                .into_iter()
                .flat_map(|p| &p.conns)
                .filter(fits)
        };
        // Danger: a further sub-request may be overtaken by the answer to an earlier one, and must not lie
        // unread by then: it goes where the replica has been heard, if it can. Covers a machine that accepts
        // late. Harm: none, the other connections are for first ones.
        let further = letters.iter().any(|l| l.sub.1 > 0);
        let unheard = |c: &Conn| further && c.heard == 0.0;
        let key = |c: &Conn| (!c.up, unheard(c), c.out.len());
        let best = fitting().min_by_key(|id| key(&self.conns[*id]))?;
        Some((*best, self.conns[best].out.len()))
    }

    fn open(&mut self, now: f64, replica: &ReplicaId) -> Option<ConnId> {
        let peer = self.peers.get_mut(replica)?;
        let Some(permit) = self.sockets.permit(Side::Replicas) else {
            warn!("no descriptor for a connection to {}", replica.0);
            return None;
        };
        let id = ConnId(self.next_conn);
        self.next_conn += 1;
        let outbox = Rc::new(Outbox::default());
        debug!("connection {} to {} ({})", id.0, replica.0, peer.address);
        let (net, events) = (self.net.clone(), self.events.clone());
        let patience = self.figures.connect_timeout;
        drop(self.net.spawn(connection(
            net,
            id,
            peer.address,
            patience,
            outbox.clone(),
            events,
            permit,
        )));
        peer.conns.insert(id);
        let conn = Conn {
            replica: replica.clone(),
            outbox,
            up: false,
            retired: false,
            out: BTreeMap::new(),
            past: VecDeque::new(),
            last_used: now,
            heard: 0.0,
        };
        self.conns.insert(id, conn);
        Some(id)
    }

    /// Its outcome is ready to be told.
    fn end(&mut self, id: AttemptId, ending: Ending, at: f64) {
        let Some(sub) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(c) = self.conns.get_mut(&sub.conn) {
            if c.out.remove(&sub.id).is_some() && ending != Ending::NeverSent {
                // As many as may be out at once are enough to look back at.
                if c.past.len() >= self.figures.streams_per_conn {
                    c.past.pop_front();
                }
                let given_up = matches!(ending, Ending::TimedOut | Ending::Cancelled);
                c.past.push_back((sub.id.clone(), given_up));
            }
            c.last_used = self.net.now();
            if c.retired && c.out.is_empty() {
                c.outbox.end();
            }
        }
        let latency = (at - sub.sent_at).max(0.0);
        debug!(
            "part {} {} at {}: {ending:?} after {latency:.4}",
            id.0.0, id.1, sub.replica.0
        );
        self.ended.push_back(Outcome {
            part: id.0,
            attempt_index: id.1,
            replica: sub.replica,
            ending,
            latency,
        });
    }

    /// The wait for it ends: given up by the module, or its time is over.
    pub fn give_up(&mut self, now: f64, id: AttemptId, timed_out: bool) {
        let Some(sub) = self.attempts.get(&id) else {
            return;
        };
        // What has not left says nothing of the replica's work.
        let (mut late, mut deaf, mut cut) = (Ending::NeverSent, false, false);
        if let Some(conn) = self.conns.get_mut(&sub.conn) {
            if is_mutated("replicas-cancelled-stays") {
                late = Ending::TimedOut;
            } else if conn.outbox.take_back(id) {
                late = if conn.up {
                    Ending::NeverSent
                } else {
                    Ending::Unreachable
                };
            } else if conn.outbox.half_sent(id) {
                (late, cut) = (conn.outbox.ending(id), true);
            } else {
                late = Ending::TimedOut;
                if self.figures.cancelling {
                    conn.outbox.push(Item::GiveUp(sub.id.clone()));
                }
                // Danger: a machine that has gone silent, or an answer that was spoilt, leaves a connection
                // open on which nothing comes any more, and each new part waits its whole time there. Covers
                // any cause. Harm: a replica that is only slow is owed a new handshake.
                deaf =
                    conn.heard <= sub.sent_at && now > sub.sent_at + self.figures.connect_timeout;
            }
        }
        let conn = sub.conn;
        self.end(id, if timed_out { late } else { Ending::Cancelled }, now);
        if cut {
            self.cut(now, conn);
        } else if deaf {
            self.retire(conn);
        }
    }

    /// Danger: a part whose search is over, or which is given up, arrives afterwards: half of it has left, or
    /// the other machine's window is shut. Its connection is reset, so that its last byte never leaves.
    /// Covers any machine that has stopped reading. Harm: what else is out on it goes once more, where it
    /// may.
    fn cut(&mut self, now: f64, id: ConnId) {
        if let Some(conn) = self.conns.get(&id) {
            conn.outbox.cut.set(true);
        }
        self.spoilt(now, id);
    }

    /// Its search is over: it does not leave any more, if it has not begun to.
    pub fn withdraw(&mut self, now: f64, id: AttemptId) {
        let Some(sub) = self.attempts.get(&id) else {
            return;
        };
        let conn = sub.conn;
        let Some(outbox) = self.conns.get(&conn).map(|c| &c.outbox) else {
            return self.end(id, Ending::NeverSent, now);
        };
        if outbox.take_back(id) {
            self.end(id, Ending::NeverSent, now);
        } else if outbox.half_sent(id) {
            let ending = outbox.ending(id);
            self.end(id, ending, now);
            self.cut(now, conn);
        }
    }

    /// A connection's word; gives the part that was answered, with its score and value.
    pub fn told(
        &mut self,
        now: f64,
        id: ConnId,
        told: ConnectionEvent,
    ) -> Option<(AttemptId, u64, String)> {
        match told {
            ConnectionEvent::Up => self.conns.get_mut(&id)?.up = true,
            ConnectionEvent::Answer {
                id: part,
                end,
                score,
                value,
                at,
            } => {
                let conn = self.conns.get_mut(&id)?;
                conn.heard = now;
                let Some(sub) = conn.out.get(&part).copied() else {
                    debug!("answer {end:?} for {part}, which is not out");
                    if !conn.past.iter().any(|p| p.0 == part) {
                        self.spoilt(now, id);
                    }
                    return None;
                };
                let (ending, value) = match (end, String::from_utf8(value)) {
                    (End::Ok, Ok(value)) => (Ending::Answered, Some(value)),
                    (End::Full, _) => (Ending::Full, None),
                    (End::Error, _) => (Ending::Errored, None),
                    // A value that no answer could hold unchanged.
                    (End::Ok, Err(_)) => (Ending::Broken, None),
                };
                let spoilt = ending == Ending::Broken;
                self.end(sub, ending, at);
                if spoilt {
                    self.spoilt(now, id);
                }
                return value.map(|v| (sub, score, v));
            }
            ConnectionEvent::Ended => {
                self.lose(now, id);
                let conn = self.conns.remove(&id)?;
                if let Some(peer) = self.peers.get_mut(&conn.replica) {
                    peer.conns.remove(&id);
                }
            }
        }
        None
    }

    /// Danger: after an answer that belongs to no part the rest of the connection's bytes mean nothing, and
    /// what waits on it waits in vain. It ends at once. Covers any cause. Harm: the other parts on it go once
    /// more.
    fn spoilt(&mut self, now: f64, id: ConnId) {
        self.lose(now, id);
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.retired = true;
            conn.outbox.spoilt.set(true);
            conn.outbox.end();
        }
    }

    /// All that is out on a connection which is of no further use ends by its true outcome.
    fn lose(&mut self, now: f64, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let unwritten = conn.outbox.unwritten();
        conn.outbox.items.borrow_mut().clear();
        let out: Vec<AttemptId> = conn.out.values().copied().collect();
        for sub in out {
            let never = unwritten.contains(&sub) || is_mutated("replicas-never-ran");
            self.end(
                sub,
                if never {
                    Ending::Unreachable
                } else {
                    Ending::Broken
                },
                now,
            );
        }
    }

    /// Closes what has been idle for nearly as long as the machine would let it.
    pub fn sweep(&mut self, now: f64) {
        let idle = self.figures.idle_close - self.figures.connect_timeout;
        let old = |c: &&Conn| c.out.is_empty() && now - c.last_used >= idle;
        self.conns.values().filter(old).for_each(|c| c.outbox.end());
    }
}

/// One connection, from its first packet to its end. Says `Ended` exactly once, when its socket is closed and
/// its permit given back.
async fn connection<N: Net>(
    net: N,
    id: ConnId,
    address: SocketAddr,
    patience: f64,
    outbox: Rc<Outbox>,
    events: Events,
    permit: Permit,
) {
    match net.timeout(patience, net.connect(address)).await {
        Ok(Ok(mut stream)) => {
            let _ = events.send(Event::Connection(id, ConnectionEvent::Up));
            let (from, to) = stream.split();
            let ended = tokio::select! {
                biased;
                ended = read(&net, id, from, patience, &events) => ended,
                // Before the writing: a frame that is cut off must not get its last byte now.
                ended = outbox.stopped(&net, patience) => ended,
                ended = write(&net, to, &outbox) => ended,
            };
            if let Err(why) = ended {
                debug!("connection {} to {address} ended: {why}", id.0);
            }
            if outbox.cut.get() {
                stream.reset_on_drop();
            }
        }
        Ok(Err(e)) => debug!("connection {} to {address}: {e}", id.0),
        Err(_) => debug!("connection {} to {address} never came up", id.0),
    }
    drop(permit);
    // The core outlives its queue only at the end of the process.
    let _ = events.send(Event::Connection(id, ConnectionEvent::Ended));
}

/// Danger: a frame that was begun and is never finished leaves the connection open, and every later part on
/// it waits in vain. It has as long as the settings hold a message to be on its way. Covers a length that is
/// too large. Harm: none, a sound replica writes a frame at one time.
async fn read(
    net: &impl Net,
    id: ConnId,
    mut from: impl Read,
    patience: f64,
    events: &Events,
) -> Result<(), String> {
    let mut bytes = Vec::with_capacity(READ);
    let mut until = net.now();
    loop {
        let begins = bytes.is_empty();
        let read = if begins {
            from.read(&mut bytes).await
        } else {
            net.timeout_at(until, from.read(&mut bytes))
                .await
                .map_err(|_| "a frame without its end")?
        };
        match read {
            Ok(0) => return Err("closed by the replica".into()),
            Ok(_) => {}
            Err(e) => return Err(e.to_string()),
        }
        // Danger: a moment in which this process stands still makes all that it waits for late, and sound
        // replicas look bad. An answer came when the kernel had it. Covers any wait to be read. Harm: none.
        let (mut at, now) = (0, net.now() - from.waited());
        while let Some((frame, taken)) = frame::read(&bytes[at..]).map_err(|e| e.0)? {
            at += taken;
            match frame {
                Frame::Answer {
                    id: part,
                    end,
                    score,
                    value,
                } => {
                    let told = ConnectionEvent::Answer {
                        id: part.into(),
                        end,
                        score,
                        value: value.into(),
                        at: now,
                    };
                    let _ = events.send(Event::Connection(id, told));
                }
                Frame::Probe => {}
                Frame::Refused(words) => {
                    return Err(format!("refused: {}", String::from_utf8_lossy(words)));
                }
            }
        }
        bytes.drain(..at);
        if begins || at > 0 {
            until = net.now() + patience;
            bytes.shrink_to(READ);
        }
    }
}

async fn write(net: &impl Net, mut to: impl Write, outbox: &Outbox) -> Result<(), String> {
    let (mut bytes, mut came_up) = (Vec::new(), true);
    loop {
        if outbox.items.borrow().is_empty() {
            if outbox.close.get() {
                return Ok(());
            }
            outbox.wake.notified().await;
            continue;
        }
        // Taken only once it can begin to leave: until then a drain may take it back.
        let since = net.now();
        to.writable().await.map_err(|e| e.to_string())?;
        // Danger: a part that has waited for its connection leaves for a client that has gone, whose end lies
        // unread behind this connection's beginning. The sockets have their say first, then the core. Covers
        // a drain told in that moment too. Harm: a part that has waited leaves some microseconds later.
        if std::mem::take(&mut came_up) || net.now() > since + WAITED {
            net.turn().await;
            net.turn().await;
        }
        let Some(item) = outbox.items.borrow_mut().pop_front() else {
            continue;
        };
        bytes.clear();
        match item {
            Item::GiveUp(id) => frame::give_up(&mut bytes, &id),
            Item::Call(letters) => {
                // Danger: a process that was held up writes a part after its search's time. Covers a machine
                // that was slow to read. Harm: none, nobody waits for it.
                let now = net.now();
                let in_time = |l: &QueuedAttempt| l.until.min(l.begin_by) > now;
                let (letters, late): (Vec<_>, Vec<_>) = letters.into_iter().partition(in_time);
                outbox.late.borrow_mut().extend(late.iter().map(|l| l.sub));
                let parts: Vec<Vec<u8>> = letters.iter().map(|l| l.bytes(now)).collect();
                let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
                if parts.is_empty() {
                    continue;
                }
                frame::call(&mut bytes, &parts);
                *outbox.writing.borrow_mut() =
                    letters.iter().map(|l| (l.sub, l.written.clone())).collect();
            }
        }
        to.write_all(&bytes).await.map_err(|e| e.to_string())?;
        outbox.unsent.set(to.unsent() > 0);
        let (now, written) = (net.now(), std::mem::take(&mut *outbox.writing.borrow_mut()));
        written.iter().for_each(|(_, written)| written.set(now));
    }
}

impl QueuedAttempt {
    fn bytes(&self, now: f64) -> Vec<u8> {
        let wait = ((self.until - now) * 1000.0).floor().max(1.0);
        frame::part(
            &self.id,
            self.shard,
            &format!("d={wait}{}", self.extras),
            &self.text,
        )
    }
}

#[cfg(test)]
#[path = "../tests/unit/replicas.rs"]
mod tests;
