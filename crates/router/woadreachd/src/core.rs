//! The one task that owns the module, the searches in hand, their timers and the clock. Others reach it by
//! its queue only; list changes go first. Each round handles all that is queued, then asks about what is new;
//! after two of them the parts leave. Must never block, decide, or touch a socket.

use crate::events::{
    Answer, Arrival, AttemptId, ConnectionEvent, EndpointReport, EndpointReports, Entry, Event,
    Lifecycle, List, RoleUpdate, Usage,
};
use crate::peers::ZoneObservations;
use crate::replicas::{QueuedAttempt, Replicas, Written};
use crate::sockets::Sockets;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, info, warn};
use woadreach_lease::{Departure, ReplicaKey};
use woadreach_routing::api::*;
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::Net;
use woadreach_search_driver::{PlanExecutor, SearchTable};
use woadreach_zone_failover::ZoneObservation;

/// What the settings say about hosting.
pub struct CoreConfig {
    pub max_open: usize,
    /// Bytes of requests held at once.
    pub max_bytes: usize,
    pub zones: Vec<String>,
    /// Parts of a second step, by query type.
    pub fetch: Vec<usize>,
    /// The longest that any client waits, and the longest latency target.
    pub longest: f64,
    pub longest_target: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Search(SearchId),
    /// A final answer that waits to be read after its last part.
    Answer(SearchId),
    Sub(AttemptId),
    /// What has not begun to leave by now may not leave any more.
    Begin(AttemptId),
    Sweep,
    /// What the tier is told of zones.
    Sight,
    Report,
}

/// Within so long a machine that runs has read what was written to it. On sockets the two sides of a bench
/// read what is ready within 0.1 ms in the 99th percentile, and answers overtook copies that were written up
/// to 0.2 ms before them; ten times that. One client in a thousand waits for it.
const READ_WITHIN: f64 = 0.002;
/// Idle connections are looked for this often; how finely does not matter, as stale ones are not used either.
const SWEEP: f64 = 1.0;
/// The tier is told so often what is seen of zones while something is wrong: after a part that failed, or
/// with half of a zone's parts bad. Else more rarely: at ten looks a second throughout, a co-ordinator with
/// little traffic spent half as much processor again; at two, six agreed on a zone cut off after 2.1 s
/// instead of 0.8.
const LOOK: f64 = 0.1;
const CALM_LOOK: f64 = 0.2;
/// Danger: a process that starts while discovery is down, and knows of no replica, never lets clients in, and
/// where all of a zone start so there is nobody to say when to come back. After so long it is ready without
/// a list, and sheds. Operators hold one that is not ready after 10 s for failed; two seconds are left for a
/// look. Covers also a list that stays empty. Harm: a client that could have gone to another asks twice.
const LISTLESS: f64 = 8.0;
/// A line on the state for on-call staff.
const REPORT: f64 = 5.0;

/// Microseconds since the clock's start, so that timers are ordered.
type Due = u64;

struct Request {
    trace: String,
    text: Rc<str>,
    bytes: usize,
    reply: oneshot::Sender<Answer>,
    written: Written,
    /// What the parts of the second step carry beside `d`.
    extras: String,
    came: BTreeMap<PartId, (u64, String)>,
}

/// All but the module: what its plans are carried out on.
struct Executor<N: Net> {
    net: N,
    /// When it started: timers count from here.
    start: f64,
    now: f64,
    figures: CoreConfig,
    replicas: Replicas<N>,
    requests: BTreeMap<SearchId, Request>,
    /// Names in hand, and those whose answer has been given, in that order, with when each may be let go.
    traces: BTreeSet<String>,
    answered: VecDeque<(f64, String)>,
    bytes: usize,
    timers: BinaryHeap<Reverse<(Due, Timer)>>,
    next_part: u64,
    /// Parts sent so far.
    sent: u64,
    /// Searches that arrived in this round, and those whose second step begins in the next.
    fresh: Vec<SearchId>,
    second: Vec<(SearchId, Vec<ShardId>)>,
    /// Final answers that are given `READ_WITHIN` after the last part left.
    leaving: BTreeMap<SearchId, (oneshot::Sender<Answer>, Answer)>,
}

pub struct Core<N: Net> {
    hand: SearchTable,
    hands: Executor<N>,
    zones: BTreeMap<String, u64>,
    sockets: Sockets,
    knows: bool,
    late: f64,
    report: Box<dyn Fn(&Usage)>,
    /// Of how many zones the tier is told, and where.
    sights: Option<(usize, watch::Sender<ZoneObservations>)>,
    /// What its own list says of each replica by now, and who is told of each word of it.
    words: Option<EndpointReports>,
    listed: BTreeMap<ReplicaKey, Entry>,
    /// When the next look is due; its timers of before are void.
    look: f64,
}

/// The hash by which the tier speaks of a replica in this life of its.
fn replica(e: &Entry) -> ReplicaKey {
    ReplicaKey::named(&e.id, e.started_at)
}

impl<N: Net> PlanExecutor for Executor<N> {
    fn note(&mut self, line: &str) {
        info!("{line}");
    }

    fn cancel(&mut self, part: PartId, attempt_index: usize) {
        self.replicas
            .give_up(self.now, (part, attempt_index), false);
    }

    fn send(&mut self, search: &Search, placement: &Placement, attempt_index: usize) {
        let Some(request) = self.requests.get(&search.id) else {
            return;
        };
        let Some(part) = search.parts.iter().find(|p| p.id == placement.part) else {
            return;
        };
        let second = if part.step == 2 { ".fetch" } else { "" };
        let sub = (part.id, attempt_index);
        let until = self.now + placement.timeout;
        let letter = QueuedAttempt {
            sub,
            id: format!("{}.{}{second}", request.trace, part.shard.0),
            shard: part.shard.0,
            extras: if part.step == 2 {
                request.extras.clone()
            } else {
                String::new()
            },
            text: request.text.clone(),
            until,
            begin_by: placement.begin_by,
            written: request.written.clone(),
        };
        self.sent += 1;
        debug!(
            "send {} part {} {attempt_index} to {}",
            letter.id, part.id.0, placement.replica.0
        );
        self.replicas.send(self.now, &placement.replica, letter);
        self.timer_at(until, Timer::Sub(sub));
        if placement.begin_by < until {
            self.timer_at(placement.begin_by, Timer::Begin(sub));
        }
    }

    fn reply(&mut self, search: &Search, reply: Reply) {
        if !search.finished {
            return self.second_step(search);
        }
        let Some(request) = self.let_go(search.id) else {
            return;
        };
        // Danger: a request that comes under the name of one just answered has parts sent on for that one.
        // The name is kept as long as a client may wait, for a new one comes with every request. Covers a
        // client that takes another's name. Harm: none to clients that keep to the page.
        self.traces.insert(request.trace.clone());
        self.answered
            .push_back((self.now + self.figures.longest, request.trace.clone()));
        debug!(
            "search {} {reply:?} after {:.4}",
            request.trace,
            self.now - search.arrived
        );
        let mut came = request.came;
        let answer = match reply {
            Reply::Answered { complete: whole } => {
                let last = search
                    .parts
                    .iter()
                    .filter(|p| p.step == search.step && p.answered);
                let rows = last
                    .filter_map(|p| came.remove(&p.id).map(|(_, v)| (p.shard, v)))
                    .collect();
                Answer::Answered { whole, rows }
            }
            Reply::Shed { retry_after } => Answer::Shed { retry_after },
            Reply::Errored => Answer::Errored,
        };
        // Danger: a copy leaves as the first answers, and the other machine reads the final answer, on
        // another connection, before the copy: a part was sent for a search that is over. Covers any
        // sub-request of the last moment. Harm: that moment, for the few searches that it hits.
        let due = request.written.get() + READ_WITHIN;
        if due > self.now && !is_mutated("core-no-wait") {
            self.leaving.insert(search.id, (request.reply, answer));
            return self.timer_at(due, Timer::Answer(search.id));
        }
        // The client may have gone meanwhile: then nobody is owed it.
        let _ = request.reply.send(answer);
    }

    fn timer(&mut self, search: SearchId, wait: f64) {
        self.timer_at(self.now + wait, Timer::Search(search));
    }

    fn finished(&mut self, search: &Search) {
        // Danger: where nothing can be cancelled, a part that waits for a connection leaves after the answer.
        // Covers any part that is out of its search's hands. Harm: none, no byte of it has left.
        for part in search
            .parts
            .iter()
            .filter(|p| p.attempts.iter().any(|s| s.ending.is_none()))
        {
            (0..part.attempts.len()).for_each(|attempt_index| {
                self.replicas.withdraw(self.now, (part.id, attempt_index))
            });
        }
        // Still here if the client has left.
        self.let_go(search.id);
    }
}

impl<N: Net> Executor<N> {
    /// The one place where what is held for a request is given back.
    fn let_go(&mut self, search: SearchId) -> Option<Request> {
        let request = self.requests.remove(&search)?;
        self.traces.remove(&request.trace);
        if !is_mutated("core-keeps-bytes") {
            self.bytes -= request.bytes;
        }
        Some(request)
    }

    /// Gives a final answer that has been decided, if it still waits.
    fn answer(&mut self, search: SearchId) {
        if let Some((reply, answer)) = self.leaving.remove(&search) {
            let _ = reply.send(answer);
        }
    }

    fn timer_at(&mut self, time: f64, timer: Timer) {
        let due = ((time - self.start).max(0.0) * 1e6).ceil() as Due;
        self.timers.push(Reverse((due, timer)));
    }

    fn next_due(&self) -> Option<f64> {
        self.timers.peek().map(|t| self.start + t.0.0 as f64 / 1e6)
    }

    /// PROTOCOL: the parts of a second step go to the shards with the highest scores among those that are in.
    fn second_step(&mut self, search: &Search) {
        let Some(request) = self.requests.get_mut(&search.id) else {
            return;
        };
        let first = search.parts.iter().filter(|p| p.step == 1 && p.answered);
        let mut came: Vec<(Reverse<u64>, ShardId)> = first
            .map(|p| (Reverse(request.came.get(&p.id).map_or(0, |c| c.0)), p.shard))
            .collect();
        came.sort();
        let named = |p: &&Part| p.step == 1 && (p.answered || is_mutated("core-names-all"));
        let from: BTreeSet<u64> = search
            .parts
            .iter()
            .filter(named)
            .map(|p| p.shard.0)
            .collect();
        let from: Vec<String> = from.iter().map(u64::to_string).collect();
        request.extras = format!(
            ",from={},whole={}",
            from.join("+"),
            u8::from(search.first_step_complete)
        );
        request.came.clear();
        let fetch = self
            .figures
            .fetch
            .get(search.query_type.0)
            .copied()
            .unwrap_or(0);
        self.second
            .push((search.id, came.iter().take(fetch).map(|c| c.1).collect()));
    }

    fn new_part(&mut self) -> PartId {
        self.next_part += 1;
        PartId(self.next_part)
    }
}

impl<N: Net> Core<N> {
    /// `report` is told every few seconds what is held.
    pub fn new(
        net: N,
        set: Settings,
        figures: CoreConfig,
        replicas: Replicas<N>,
        sockets: Sockets,
        report: Box<dyn Fn(&Usage)>,
    ) -> Self {
        let zones = figures.zones.iter().cloned().zip(0..).collect();
        let hands = Executor {
            start: net.now(),
            now: net.now(),
            net,
            figures,
            replicas,
            requests: BTreeMap::new(),
            traces: BTreeSet::new(),
            answered: VecDeque::new(),
            bytes: 0,
            timers: BinaryHeap::new(),
            next_part: 0,
            sent: 0,
            fresh: Vec::new(),
            second: Vec::new(),
            leaving: BTreeMap::new(),
        };
        Core {
            hand: SearchTable::new(set),
            hands,
            zones,
            sockets,
            knows: false,
            late: 0.0,
            report,
            sights: None,
            words: None,
            listed: BTreeMap::new(),
            look: f64::INFINITY,
        }
    }

    /// Operators watch before a move: counts of where the new shape would have decided otherwise.
    pub fn watch(&mut self, shape: woadreach_search_driver::watch::Shape, query_types: &[String]) {
        self.hand.watching(shape, query_types);
    }

    /// From now on tells what it sees of the zones that the settings name.
    pub fn sights(
        &mut self,
        zones: usize,
        to: watch::Sender<ZoneObservations>,
        words: EndpointReports,
    ) {
        self.sights = Some((zones, to));
        self.words = Some(words);
        self.look_at(self.hands.now);
    }

    fn look_at(&mut self, at: f64) {
        if self.sights.is_some() && at < self.look {
            self.look = at;
            self.hands.timer_at(at, Timer::Sight);
        }
    }

    pub fn list(&mut self, list: List) {
        self.hands.now = self.hands.net.now();
        self.keep_words(&list);
        self.apply(list);
    }

    /// Keeps what the own list says, where others of the tier may be told of it or tell of theirs.
    fn keep_words(&mut self, list: &List) {
        let Some(words) = &self.words else { return };
        if list.full {
            let named: BTreeSet<ReplicaKey> = list.entries.iter().map(replica).collect();
            self.listed.retain(|r, _| named.contains(r));
        }
        for e in &list.entries {
            let what = match e.lifecycle {
                Lifecycle::Ready => None,
                Lifecycle::Draining => Some(Departure::Draining),
                Lifecycle::Gone => Some(Departure::Departed),
            };
            // The task ends with the process. A whole list is no news.
            if !list.full || what.is_none() {
                let _ = words.send(EndpointReport {
                    replica: replica(e),
                    what,
                });
            }
            // Of a replica that has started anew the former life would be kept for ever.
            if !list.full {
                self.listed.retain(|_, x| x.id != e.id);
            }
            if e.lifecycle == Lifecycle::Gone {
                self.listed.remove(&replica(e));
            } else {
                self.listed.insert(replica(e), e.clone());
            }
        }
    }

    /// Danger: a word of another's opens what the own list has closed, or names what it does not. Only what
    /// it names as ready is closed, and only its own word opens that again. Covers stale and forged facts.
    /// Harm: a false one costs a sound replica some seconds.
    fn duty(&mut self, now: f64, told: RoleUpdate) {
        let ready = |listed: &BTreeMap<ReplicaKey, Entry>, r: &ReplicaKey| {
            listed
                .get(r)
                .filter(|e| e.lifecycle == Lifecycle::Ready)
                .cloned()
        };
        let mut entries = Vec::new();
        match told {
            RoleUpdate::QuotaShare(shares) => {
                for (r, times) in shares {
                    if let Some(e) = self.listed.get(&r) {
                        self.hand
                            .quota_share(&ReplicaId(e.id.as_str().into()), times);
                    }
                }
            }
            RoleUpdate::Closed(facts) => {
                // Departure or draining, it takes nothing new; what is out there may still be answered.
                let closed = facts.iter().filter_map(|(r, _)| ready(&self.listed, r));
                entries.extend(closed.map(|e| Entry {
                    lifecycle: Lifecycle::Draining,
                    ..e
                }));
            }
            RoleUpdate::Expired(replicas) => {
                entries.extend(replicas.iter().filter_map(|r| ready(&self.listed, r)));
            }
        }
        if !entries.is_empty() {
            debug!("duty: {} replicas by another's word", entries.len());
            self.hands.now = now;
            self.apply(List {
                generation: 0,
                full: false,
                entries,
            });
        }
    }

    fn apply(&mut self, list: List) {
        let mut lines = Vec::new();
        self.knows |= !list.entries.is_empty();
        for e in &list.entries {
            let next = self.zones.len() as u64;
            lines.push(Listed {
                replica: ReplicaId(e.id.as_str().into()),
                open: e.lifecycle == Lifecycle::Ready,
                zone: ZoneId(*self.zones.entry(e.zone.clone()).or_insert(next)),
                cell: CellId(e.cell),
                ready_at: Some(e.started_at).filter(|t| *t > 0.0),
            });
        }
        self.hand.list(list.full, &lines);
        self.hands.replicas.list(self.hands.now, &list);
    }

    /// Calls `ready` once it knows of replicas.
    pub async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut lists: mpsc::UnboundedReceiver<List>,
        ready: impl Fn(),
    ) {
        self.hands.timer_at(self.hands.now, Timer::Sweep);
        self.hands.timer_at(self.hands.now, Timer::Report);
        let mut alone = false;
        loop {
            let late = self.hands.now > self.hands.start + LISTLESS;
            if late && !self.knows && !std::mem::replace(&mut alone, true) {
                warn!(
                    "no list after {LISTLESS} s: ready without one, and all is shed until it comes"
                );
            }
            if self.knows || late {
                ready();
            }
            let due = self.hands.next_due().unwrap_or(self.hands.now + SWEEP);
            let busy = !self.hands.replicas.ended.is_empty() || !self.hands.second.is_empty();
            let mut first = None;
            tokio::select! {
                biased;
                Some(list) = lists.recv() => self.list(list),
                event = events.recv() => match event {
                    Some(event) => first = Some(event),
                    None => return,
                },
                () = self.hands.net.sleep_until(due), if !busy => {}
                () = std::future::ready(()), if busy => {}
            }
            while let Ok(list) = lists.try_recv() {
                self.list(list);
            }
            self.round(first, &mut events);
            // Danger: the process is held up in a round, by its share of the core, and what it decided is
            // sent for clients that have left meanwhile. The sockets have their say first. Covers any late
            // round. Harm: a part leaves some microseconds later.
            self.hands.net.turn().await;
            self.round(None, &mut events);
            self.hands.replicas.flush(self.hands.now);
        }
    }

    fn round(&mut self, mut first: Option<Event>, events: &mut mpsc::UnboundedReceiver<Event>) {
        let now = self.hands.net.now();
        self.hands.now = now;
        for (search, shards) in std::mem::take(&mut self.hands.second) {
            let weight = 1.0 / shards.len().max(1) as f64;
            for shard in shards {
                let id = self.hands.new_part();
                self.hand.add_part(search, id, shard, weight);
            }
            self.hands.fresh.push(search);
        }
        self.outcomes(now);
        // Only what is queued by now, so that a round ends.
        for _ in 0..=events.len() {
            let Some(event) = first.take().or_else(|| events.try_recv().ok()) else {
                break;
            };
            self.event(now, event);
        }
        while let Some(due) = self.hands.next_due().filter(|due| *due <= now)
            && let Some(Reverse((_, timer))) = self.hands.timers.pop()
        {
            self.timer(now, due, timer);
        }
        for search in std::mem::take(&mut self.hands.fresh) {
            self.hand.ask(now, search, &mut self.hands);
        }
    }

    fn outcomes(&mut self, now: f64) {
        for _ in 0..self.hands.replicas.ended.len() {
            let Some(outcome) = self.hands.replicas.ended.pop_front() else {
                return;
            };
            self.hand.outcome(now, &outcome, &mut self.hands);
            if outcome.ending != Ending::Answered {
                self.look_at(now + LOOK);
            }
        }
    }

    fn event(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrived(arrival) => self.arrived(now, *arrival),
            Event::ClientLeft(search) => {
                self.hand.left(now, search, &mut self.hands);
                self.hands.answer(search);
            }
            Event::ZoneFailover(zone_failover) => self.hand.zone_failover(now, Some(zone_failover)),
            Event::Role(told) => self.duty(now, told),
            Event::Connection(conn, told) => {
                if let ConnectionEvent::Answer { at, .. } = told {
                    self.late = self.late.max(now - at);
                }
                if let Some(((part, _), score, value)) = self.hands.replicas.told(now, conn, told)
                    && let Some(search) = self.hand.search_of(part)
                    && let Some(request) = self.hands.requests.get_mut(&search)
                {
                    // The first answer of a part stands, as it does for the module.
                    request.came.entry(part).or_insert((score, value));
                }
                self.outcomes(now);
            }
        }
    }

    fn arrived(&mut self, now: f64, a: Arrival) {
        self.late = self.late.max(now - a.at);
        while let Some((_, trace)) = self.hands.answered.pop_front_if(|(until, _)| *until <= now) {
            self.hands.traces.remove(&trace);
        }
        if self.hands.traces.contains(&a.trace) {
            debug!("search {} comes under a name that is taken", a.trace);
            let _ = a.reply.send(Answer::Twice);
            return;
        }
        // PROTOCOL's settings bound what is in hand; memory bounds the bytes of it.
        let (searches, parts) = self.hand.held();
        let open = searches + parts + 1 + a.parts.len();
        if open > self.hands.figures.max_open
            || self.hands.bytes + a.bytes > self.hands.figures.max_bytes
        {
            debug!(
                "search {} shed: {searches} searches and {parts} parts in hand",
                a.trace
            );
            let _ = a.reply.send(Answer::Shed { retry_after: 0.0 });
            return;
        }
        let left = a.client_deadline - a.at;
        debug!(
            "search {} type {} parts {} left {left:.3}",
            a.trace,
            a.query_type.0,
            a.parts.len()
        );
        let mut search = Search::new(a.search, a.query_type, a.tenant, a.at, a.client_deadline);
        search.repeated = a.repeated;
        self.hands.traces.insert(a.trace.clone());
        self.hands.bytes += a.bytes;
        self.hand.take(search);
        for (shard, weight) in a.parts {
            let id = self.hands.new_part();
            self.hand.add_part(a.search, id, shard, weight);
        }
        let request = Request {
            trace: a.trace,
            text: a.text,
            bytes: a.bytes,
            reply: a.reply,
            written: Written::default(),
            extras: String::new(),
            came: BTreeMap::new(),
        };
        self.hands.requests.insert(a.search, request);
        self.hands.fresh.push(a.search);
    }

    fn cold_by_hash(
        &self,
        asked: &BTreeMap<ReplicaId, SlowStartDemand>,
    ) -> Vec<(ReplicaKey, u64, bool)> {
        let of = |(r, e): (&ReplicaKey, &Entry)| {
            asked
                .get(&ReplicaId(e.id.as_str().into()))
                .map(|c| (*r, c.suppressed, c.sent))
        };
        self.listed.iter().filter_map(of).collect()
    }

    fn tell_sights(&mut self, now: f64) {
        self.look = f64::INFINITY;
        let Some((zones, to)) = &self.sights else {
            return;
        };
        let mut asked: BTreeMap<ReplicaId, SlowStartDemand> = BTreeMap::new();
        asked.extend(
            self.hand
                .slow_start_demands(now)
                .into_iter()
                .map(|c| (c.replica.clone(), c)),
        );
        let colds = if asked.is_empty() {
            Vec::new()
        } else {
            self.cold_by_hash(&asked)
        };
        let sent = self.hands.sent;
        let mut sights = ZoneObservations {
            zones: vec![ZoneObservation::default(); *zones],
            sent,
            colds,
        };
        for s in self.hand.zone_health(now) {
            if let Some(of) = sights.zones.get_mut(s.zone.0 as usize) {
                *of = ZoneObservation {
                    seen: s.seen as u32,
                    bad: s.failed as u32,
                    capacity: s.capacity,
                };
            }
        }
        let wrong = sights
            .zones
            .iter()
            .any(|s| s.bad > 0 && s.bad * 2 >= s.seen);
        // None listens after the end.
        let _ = to.send(sights);
        self.look_at(now + if wrong { LOOK } else { CALM_LOOK });
    }

    fn timer(&mut self, now: f64, due: f64, timer: Timer) {
        match timer {
            Timer::Search(search) => self.hand.due(now, search, &mut self.hands),
            Timer::Answer(search) => self.hands.answer(search),
            Timer::Sub(sub) => {
                self.hands.replicas.give_up(now, sub, true);
                self.outcomes(now);
            }
            Timer::Begin(sub) => {
                self.hands.replicas.withdraw(now, sub);
                self.outcomes(now);
            }
            Timer::Sweep => {
                self.hands.replicas.sweep(now);
                self.hands.timer_at(now + SWEEP, Timer::Sweep);
            }
            Timer::Sight if now + 1e-5 >= self.look => self.tell_sights(now),
            Timer::Sight => {}
            Timer::Report => {
                let ((searches, parts), (out, connections)) =
                    (self.hand.held(), self.hands.replicas.held());
                let (clients, ours) = self.sockets.held();
                let held = Usage {
                    searches,
                    parts,
                    out,
                    connections,
                    replicas: self.hands.replicas.known(),
                    timers: self.hands.timers.len(),
                    clients,
                    ours,
                    bytes: self.hands.bytes,
                    late: self.late.max(now - due),
                };
                info!(
                    "searches={searches} parts={parts} out={out} connections={connections} replicas={} \
                     timers={} clients={clients} ours={ours} bytes={} late_ms={:.1}",
                    held.replicas,
                    held.timers,
                    held.bytes,
                    held.late * 1000.0
                );
                if let Some(c) = self.hand.watched() {
                    info!(
                        "watch retry_after={} second_copy={} repeat_once={}",
                        c.retry_after, c.second_copy, c.repeat_once
                    );
                }
                (self.report)(&held);
                self.late = 0.0;
                self.hands.timer_at(now + REPORT, Timer::Report);
            }
        }
    }
}
