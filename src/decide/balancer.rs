//! Every decision of woadreach: where the parts of a search go, when they leave, when it is answered.
//!
//! Callers keep the clock, the timers and the searches in hand, and ask: `place` (where to send this search,
//! or not yet, or never), `after` (what to do after this outcome), `wait` (how long until it should be asked
//! about again). `list` and `left` hand in facts. `api.rs` has the types; a `Plan` says what to cancel, send
//! and reply, and which held searches to ask about next, in that order (docs/design.md).

use super::candidates::Candidates;
use super::held_queue::HeldQueue;
use super::hold::Hold;
use super::outlier_detector::{Change, EjectionRule, Observation, OutlierDetector};
use super::part_budget::PartBudget;
use super::unloaded_latency::UnloadedLatency;
use crate::api::*;
use crate::plants::planted;
use crate::samples::{Sample, groups, mean, push, quantile, since};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const GOLDEN: f64 = 0.618_033_988_75;
type Counts = BTreeMap<ReplicaId, usize>;
const ROUNDING: f64 = 1e-4; // sums of weights may fall this short
/// Out so many times `late_after`: called off where copies are barred. Of 0.7 to 3, on days with hangs.
const CALL_OFF: f64 = 1.5;

#[derive(Clone, Copy)]
struct Running {
    sent_at: f64,
    alone: bool,
    query_type: QueryTypeId,
    passed: usize, // by how many parts sent later and answered before
    called_off: bool,
}

/// Latest outcomes that count for a replica, and for the way to a zone.
const REPLICA_RULE: EjectionRule = EjectionRule { window: 8, least: 2 };
const ZONE_RULE: EjectionRule = EjectionRule { window: 32, least: 8 };

#[derive(Default)]
struct Replica {
    open: bool,
    zone: Option<ZoneId>,
    cell: u64,
    ready_at: Option<f64>,
    running: BTreeMap<(PartId, usize), Running>,
    hold: Hold,
    loaded: VecDeque<Sample>,
    health: OutlierDetector<QueryTypeId>,
    answers: usize,
    answered_at: f64,
    cold_sends: VecDeque<f64>,
    cold_phase: f64,
    cold_times: Option<f64>, // its even share of the cold guard, so many times, as the tier shares it out
    wants: Cell<u64>,        // parts that it would have had but for the cold guard
    reset: bool,             // its connections were reset since it last answered
    reborn: (bool, Option<f64>), // judged a new process not yet listed; born at its first use since
}

enum Pick {
    Go(ReplicaId),
    Hold(ReplicaId), // its replica is held, or earlier parts wait there
    Later,           // a rule guard keeps every holder closed for now
    Never,           // no holder at all, or the part can no longer make it
}

pub struct Balancer {
    set: Settings,
    rng: oorandom::Rand64,
    replicas: BTreeMap<ReplicaId, Replica>,
    /// Who is in each cell, so that an event costs by the holders of its shards, not by the fleet.
    cells: BTreeMap<u64, BTreeSet<ReplicaId>>,
    warm: VecDeque<Sample>, // what all open replicas could do of late, in warm ones
    ways: BTreeMap<ZoneId, OutlierDetector<()>>,
    zoning: Option<Zoning>,
    seen: BTreeMap<ZoneId, VecDeque<(f64, bool)>>, // the last outcomes of each zone, and whether bad
    held: HeldQueue<ReplicaId, (SearchId, PartId)>,
    recent: VecDeque<Sample>, // when the last answers came, and their latencies
    unloaded: UnloadedLatency<ReplicaId>,
    budget: PartBudget,
    shortest: f64,   // latency target
    memory: f64,     // of queues: a third more than that target, in which one turns over
    late_after: f64, // these two are worked out from the samples when they change
    copy_after: f64,
    arrivals: VecDeque<(f64, TenantId)>, // value a part of the last searches, and their tenants
    lefts: Vec<VecDeque<f64>>,           // time left that the last searches of each query type came with
    taken: VecDeque<(f64, usize)>,
    further: VecDeque<f64>,
    overloaded: bool,
}

/// Proven never to have run: refused unseen, no connection, or never sent.
pub fn proven_unrun(sub: &SubRequest) -> bool {
    matches!(sub.ending, Some(Ending::Full | Ending::Unreachable | Ending::NeverSent))
}

fn out(part: &Part) -> bool {
    part.subs.iter().any(|s| s.ending.is_none())
}

impl Balancer {
    pub fn new(set: Settings) -> Self {
        let shortest = set.query_types.iter().map(|t| t.latency_target).fold(f64::INFINITY, f64::min);
        Balancer {
            rng: oorandom::Rand64::new(u128::from(set.seed)),
            shortest,
            memory: shortest * 4.0 / 3.0,
            late_after: shortest / 3.0,
            copy_after: shortest / 3.0,
            lefts: vec![VecDeque::new(); set.query_types.len()],
            set,
            replicas: BTreeMap::new(),
            cells: BTreeMap::new(),
            warm: VecDeque::new(),
            ways: BTreeMap::new(),
            zoning: None,
            seen: BTreeMap::new(),
            unloaded: UnloadedLatency::new(shortest / 10.0), // binds nothing
            budget: PartBudget::default(),
            held: HeldQueue::default(),
            recent: VecDeque::new(),
            arrivals: VecDeque::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
            overloaded: false,
        }
    }

    /// The list names these; a full one names all there are. Drains: a replica that is not open gets nothing
    /// new from this call on, held parts and copies included.
    pub fn list(&mut self, full: bool, lines: &[Listed]) {
        if full {
            self.replicas.values_mut().for_each(|r| r.open = false);
        }
        for line in lines {
            let r = self.replicas.entry(line.replica.clone()).or_default();
            if line.open && r.ready_at != line.ready_at {
                // A new process: cold, and nothing known of the old one holds for it. Also a machine that
                // comes back under its id. Harm: a list that wavers makes it cold again for a while.
                let (running, lot) = (std::mem::take(&mut r.running), self.rng.rand_float());
                // Golden-ratio steps over the tier, another beginning for each replica: in any window as many
                // have their turn as their shares add up to, not as many as chance brings.
                let of = line.replica.0.bytes().fold(0, |h, b| (h * 31 + u64::from(b)) % 997);
                let cold_phase = self.set.me.map_or(lot, |me| (me + of) as f64 * GOLDEN);
                let (ready_at, cell) = (line.ready_at, r.cell);
                *r = Replica { running, ready_at, cold_phase, cell, ..Replica::default() };
                self.unloaded.forget(&line.replica);
            }
            (r.open, r.zone) = (line.open || planted("module-drain"), Some(line.zone));
            let cell = line.cell.0 % self.set.cells.max(1);
            self.cells.entry(r.cell).or_default().remove(&line.replica);
            self.cells.entry(cell).or_default().insert(line.replica.clone());
            r.cell = cell;
        }
        let named = lines.iter().map(|l| l.replica.clone());
        let ids: Vec<_> = if full { self.replicas.keys().cloned().collect() } else { named.collect() };
        ids.iter().for_each(|id| self.forget(id));
    }

    /// Danger: where replicas are replaced by others all day, all there ever were would be kept. One that is
    /// not open goes with its last part. Harm: one that comes back is met as a stranger.
    fn forget(&mut self, id: &ReplicaId) {
        if let Some(r) = self.replicas.get(id).filter(|r| !r.open && r.running.is_empty()) {
            self.cells.entry(r.cell).or_default().remove(id);
            self.replicas.remove(id);
            self.held.forget(id);
            self.unloaded.forget(id);
        }
    }

    /// What the tier has decided in common, if it is met. Danger: each sees too little of a lost zone, and
    /// all turn to one that is back. A replica's own outcomes come first. Harm: one sound for this one idles.
    pub fn zoning(&mut self, now: f64, told: Option<Zoning>) {
        for (zone, share) in told.iter().flat_map(|z| &z.shares) {
            let was_out = self.share(Some(*zone)) <= 0.0;
            let way = self.ways.entry(*zone).or_default();
            if *share <= 0.0 {
                way.eject(now, None); // with trials, as by its own judgement
            } else if was_out {
                *way = OutlierDetector::default();
            }
        }
        self.zoning = told;
    }

    fn share(&self, zone: Option<ZoneId>) -> f64 {
        self.zoning.as_ref().zip(zone).and_then(|(z, id)| z.shares.get(&id)).copied().unwrap_or(1.0)
    }

    /// What an open replica can do by now, in warm ones.
    fn able(&self, now: f64, r: &Replica) -> f64 {
        let warmed = |(at, c): (f64, &ColdRule)| (c.from + (1.0 - c.from) * (now - at) / c.time).min(1.0);
        if r.open { r.ready_at.zip(self.set.cold.as_ref()).map_or(1.0, warmed) } else { 0.0 }
    }

    /// What the tier wants to know: the last six parts of each zone within 2 s, or the run of bad ones up to
    /// now, as the good ones before it say nothing of a zone that has just been lost.
    pub fn sights(&self, now: f64) -> Vec<ZoneSight> {
        let mut all: BTreeMap<ZoneId, (usize, f64)> = BTreeMap::new();
        for (r, zone) in self.replicas.values().filter_map(|r| Some((r, r.zone?))) {
            let overdue = |x: &&Running| x.sent_at + self.shortest / 4.0 < now && r.answered_at < x.sent_at;
            let of = all.entry(zone).or_default();
            *of = (of.0 + r.running.values().filter(overdue).count(), of.1 + self.able(now, r));
        }
        let sight = |(zone, (overdue, capacity)): (ZoneId, (usize, f64))| {
            let ended = || self.seen.get(&zone).into_iter().flatten().rev().take_while(|x| x.0 > now - 6.0);
            let run = (overdue + ended().take_while(|x| x.1).count()).min(6);
            let fresh = || ended().take_while(|x| x.0 > now - 2.0);
            let bads = overdue + fresh().filter(|x| x.1).count();
            let (seen, bad) = if run > 1 { (run, run) } else { (overdue + fresh().count(), bads) };
            ZoneSight { zone, seen, bad, capacity }
        };
        all.into_iter().map(sight).collect()
    }

    /// Where to send this search: called when it or its second step arrives, and whenever `wait` is over.
    pub fn place(&mut self, now: f64, q: &mut Search) -> Plan {
        let mut plan = Plan::default();
        self.decide(now, q, &mut plan);
        plan
    }

    /// What to do after this outcome; the search is absent if the caller no longer holds it.
    pub fn after(&mut self, now: f64, q: Option<&mut Search>, outcome: &Outcome) -> Plan {
        let mut plan = Plan::default();
        let called_off = self.learn(now, outcome, &mut plan);
        self.time_limits();
        if let Some(q) = q {
            if let Some(part) = q.parts.iter_mut().find(|p| p.id == outcome.part)
                && let Some(sub) = part.subs.get_mut(outcome.nth)
            {
                sub.ending = Some(outcome.ending);
                part.answered |= outcome.ending == Ending::Answered;
            }
            self.decide(now, q, &mut plan);
        }
        // One called off frees no room at its replica: that it answers nothing is why.
        if !called_off {
            self.next_held(&outcome.replica, &mut plan);
        }
        self.forget(&outcome.replica);
        plan
    }

    /// The client has left: nothing is owed any more.
    pub fn left(&mut self, q: &mut Search) -> Plan {
        let mut plan = Plan::default();
        self.close(q, None, &mut plan);
        plan
    }

    /// How long until the search should be asked about again, if no outcome comes before.
    pub fn wait(&self, now: f64, q: &Search) -> f64 {
        let (target, until) = self.ends(q);
        let mut due = if target > now { until.min(target) } else { until };
        for part in q.parts.iter().filter(|p| p.step == q.step && !p.answered) {
            let last = part.subs.iter().rev().find(|s| s.ending.is_none());
            let copy_due = last.map(|s| s.sent_at + self.copy_after);
            // Guards open with time alone, and a copy may become affordable: look again soon.
            due = due.min(copy_due.filter(|at| *at > now).unwrap_or(now + 0.1));
        }
        (due - now).max(self.set.tick)
    }

    // ---- what is known of replicas ----

    fn learn(&mut self, now: f64, o: &Outcome, plan: &mut Plan) -> bool {
        if self.warm.back().is_none_or(|w| now > w.at + 0.25) {
            let able = self.replicas.values().map(|r| self.able(now, r)).sum();
            // As long as answers count for a cold one's share.
            push(&mut self.warm, Sample { at: now, value: able }, 9);
        }
        let (late, ejected) = (o.latency > self.late_after, self.ejected(&o.replica));
        let Some(r) = self.replicas.get_mut(&o.replica) else { return false };
        let Some(run) = r.running.remove(&(o.part, o.nth)) else { return false };
        let in_flight = r.running.len();
        if o.ending == Ending::Answered {
            r.running.values_mut().filter(|x| x.sent_at < run.sent_at).for_each(|x| x.passed += 1);
            r.answers += 1;
            r.answered_at = now;
            if run.alone {
                self.unloaded.record(now, &o.replica, o.latency, ejected);
            }
            push(&mut self.recent, Sample { at: now, value: o.latency }, 128);
            r.hold.answered();
        }
        if matches!(o.ending, Ending::Answered | Ending::TimedOut | Ending::Cancelled) && o.latency > 0.0 {
            push(&mut r.loaded, Sample { at: now, value: o.latency }, 8);
        }
        if matches!(o.ending, Ending::Full | Ending::TimedOut) {
            r.hold.begin(in_flight);
        }
        // One given up says something only if it is late. Returned: whether `call_off` did that.
        if o.ending == Ending::NeverSent || (o.ending == Ending::Cancelled && !late) {
            return run.called_off;
        }
        // Danger: one whose connections were reset and which then refused a new one has died; what answers
        // there next is a cold process that the list may name as the old for seconds. A cut way falls silent
        // instead. Harm: a reset and a connect lost by chance cost a warm one its cold time of slow warming.
        r.reborn.0 |= r.reset && o.ending == Ending::Unreachable;
        r.reset = o.ending == Ending::Broken || (r.reset && o.ending != Ending::Answered);
        let bad = o.ending != Ending::Answered || late;
        // Danger: a busy zone seems lost. Only what failed, is later than half the target, or a quarter where
        // nothing has come since, says so. Harm: a zone slower by less serves on.
        let slow = self.shortest / if r.answered_at < run.sent_at { 4.0 } else { 2.0 };
        let lost =
            o.latency > slow || !matches!(o.ending, Ending::Answered | Ending::Cancelled | Ending::Full);
        if let Some(zone) = r.zone.filter(|_| lost || o.ending == Ending::Answered) {
            push(self.seen.entry(zone).or_default(), (now, lost), 6);
        }
        let call = Observation { at: now, sent_at: run.sent_at, class: run.query_type, failed: bad };
        self.observe(&o.replica, call, plan);
        run.called_off
    }

    /// Danger: a replica that is silent, slow, failing fast, stalling or cut off draws parts, the more so as
    /// its failures leave few own parts out. It is out of use while others hold the shard; trials bring it
    /// back. Covers any cause. Harm: bad luck costs a sound one a second or two. Danger: a way that is cut,
    /// long or lossy makes all of a zone bad, each known by too few outcomes. Those of replicas not bad count
    /// for their zone. Harm: trouble spread over all zones may condemn one for a while.
    fn observe(&mut self, id: &ReplicaId, call: Observation<QueryTypeId>, plan: &mut Plan) {
        let what = |change| if change == Change::Ejected { "distrusted" } else { "trusted again" };
        let Some(r) = self.replicas.get_mut(id) else { return };
        let alone = r.health.is_ejected_for(call.class);
        if let Some(change) = r.health.observe(REPLICA_RULE, call) {
            plan.notes.push(format!("replica {} {}", id.0, what(change)));
        }
        let Some(zone) = r.zone.filter(|_| !alone) else { return };
        let call = Observation { at: call.at, sent_at: call.sent_at, class: (), failed: call.failed };
        if let Some(change) = self.ways.entry(zone).or_default().observe(ZONE_RULE, call) {
            plan.notes.push(format!("way to zone {} {}", zone.0, what(change)));
        }
    }

    fn way_bad(&self, r: &Replica) -> bool {
        let way = r.zone.and_then(|z| self.ways.get(&z));
        self.share(r.zone) <= 0.0 || way.is_some_and(|w| w.is_ejected())
    }

    fn ejected(&self, id: &ReplicaId) -> bool {
        self.replicas.get(id).is_none_or(|r| r.health.is_ejected() || self.way_bad(r))
    }

    /// The replica, if its own samples count: one that is ejected counts as average.
    fn judged<'a>(&self, id: &'a ReplicaId) -> Option<&'a ReplicaId> {
        Some(id).filter(|id| !self.ejected(id))
    }

    fn unloaded_tail(&self, now: f64, q: &Search, id: &ReplicaId) -> f64 {
        let parts = q.parts.iter().filter(|p| p.step == q.step).count();
        self.budget.tail(now, &self.unloaded, self.judged(id), parts)
    }

    /// Out for over `late_after` counts against a replica: beyond the 0.95 quantile and 2.5 medians of all
    /// recent answers, so that a fleet slow as a whole condemns none, and an eighth of the target. Danger:
    /// where answers take a hundredth of that, a moment in which this process stands still makes sound
    /// replicas bad. Harm: one slowed by less is used on. Out for `copy_after` gets a copy, while that has
    /// its unloaded tail left of the shortest target, but not before 2.5 medians.
    fn time_limits(&mut self) {
        let of = |samples: Vec<f64>, p| quantile(samples, p).unwrap_or(0.0);
        let all = since(&self.recent, f64::NEG_INFINITY);
        if all.len() >= 20 {
            self.late_after = of(all.clone(), 0.95).max(2.5 * of(all, 0.5)).max(self.shortest / 8.0);
        }
        let last_call =
            0.9 * self.shortest - of(self.unloaded.fleet(), self.budget.part_quantile(usize::MAX));
        self.copy_after = self.late_after.min(last_call).max(2.5 * of(self.unloaded.fleet(), 0.5));
    }

    /// Chance that a part sent now is answered within `left`: its replica's unloaded samples, put off by the
    /// queue there. Danger: answers alone tell of a queue only once it has passed, and nothing once none
    /// come, so what is out counts by its age and what ended unanswered by its time.
    fn chance(&self, now: f64, id: &ReplicaId, left: f64) -> f64 {
        let Some(r) = self.replicas.get(id) else { return 0.0 };
        // Danger: where all holders are bad and this one has answered nothing of late, the work on the other
        // parts is lost. With no outcome for so long it gets another try.
        if r.health.all_failed(now - self.memory) {
            return 0.0;
        }
        let samples = self.unloaded.samples(now, self.judged(id));
        if samples.is_empty() {
            return 1.0;
        }
        let fresh =
            r.loaded.iter().rev().take(4).filter(|x| x.at > now - self.memory).map(|x| x.value).collect();
        let oldest = r.running.values().map(|x| now - x.sent_at).fold(0.0, f64::max);
        let seen = quantile(fresh, 0.5).unwrap_or(0.0).max(oldest);
        // Half as much again: the queue grows while the answers that tell of it are on their way.
        let queue = 1.5 * (seen - quantile(samples.clone(), 0.5).unwrap_or(0.0)).max(0.0);
        samples.iter().filter(|x| **x + queue <= left).count() as f64 / samples.len() as f64
    }

    /// Overload: recent answers take, at the lower quartile, over 1.5 times the unloaded one; low, as further
    /// sub-requests hurt long before searches are late. Not the median: a slow way is no overload. Nor are
    /// less than a thirtieth of the target more, half of what parts take where that is a fifteenth of it.
    fn see_overload(&mut self, now: f64, plan: &mut Plan) {
        let fresh = since(&self.recent, now - self.memory);
        let plain = quantile(self.unloaded.fleet(), 0.25).unwrap_or(0.0);
        let over = quantile(fresh, 0.25).unwrap_or(0.0) > (1.5 * plain).max(plain + self.shortest / 30.0);
        if over != self.overloaded {
            self.overloaded = over;
            plan.notes.push(format!("overload {}", if over { "begun" } else { "ended" }));
        }
    }

    // ---- guards of the rules ----

    /// Danger: a cold replica falls over if all co-ordinators together send it more than a multiple of what
    /// it can do, over any window; one of them may carry nearly all traffic, or all may. Each keeps under
    /// what a warm replica answers it on average, which over all adds up to what one does; where that is
    /// little, half its even share, in parts at the mean unloaded latency on one core: a whole one of all who
    /// answer less would come on top. Shares under one part go by turns, a window each. Harm: slow warming.
    fn cold_closed(&self, now: f64, r: &Replica, planned: usize) -> bool {
        let born = if r.reborn.0 { Some(now) } else { r.reborn.1 };
        let ready = r.ready_at.into_iter().chain(born).max_by(f64::total_cmp);
        let rule = self.set.cold.as_ref().filter(|_| !planted("module-cold-cap"));
        let (Some(rule), Some(ready)) = (rule, ready) else { return false };
        let warmth = (now - ready) / rule.time;
        if warmth >= 1.0 || r.running.len() > r.answers / 4 {
            return warmth < 1.0;
        }
        // The mean, not the median: parts' work is skewed, and the rule sums it (the median broke seed 9217).
        let work = mean(&self.unloaded.fleet()).unwrap_or(self.shortest / 5.0);
        let answered = since(&self.recent, now - 2.0).len() as f64 / 2.0;
        let even = 1.0 / work / self.set.siblings.max(1) as f64;
        let capacity = rule.from + (1.0 - rule.from) * warmth.max(0.0);
        let warm = self.warm.iter().map(|w| w.value).fold(1.0, f64::max);
        let own = (answered / warm).max(even / 2.0);
        let given = r.cold_times.map_or(own, |times| own * times.min(1.0) + even * (times - 1.0).max(0.0));
        let share = rule.tip_multiple * capacity * rule.tip_time * given;
        let sent = r.cold_sends.iter().filter(|t| **t > now - rule.tip_time).count() + planned;
        let draw = (r.cold_phase + ((now - ready) / rule.tip_time).floor() * GOLDEN).rem_euclid(1.0);
        let closed = given <= 0.0 || sent as f64 + 1.0 > share + draw;
        r.wants.set(r.wants.get() + u64::from(closed));
        closed
    }

    /// What was asked of each cold replica so far, and whether it was sent any within the rule's window.
    pub fn colds(&self, now: f64) -> Vec<ColdSight> {
        let Some(rule) = &self.set.cold else { return Vec::new() };
        let sight = |(id, r): (&ReplicaId, &Replica)| {
            let sent = r.cold_sends.back().is_some_and(|t| *t > now - rule.tip_time);
            let cold = r.open && r.ready_at.is_some_and(|at| now < at + rule.time);
            cold.then(|| ColdSight { replica: id.clone(), wants: r.wants.get(), sent })
        };
        self.replicas.iter().filter_map(sight).collect()
    }

    /// The tier has shared out what a cold replica bears: so many times its even share is this one's.
    pub fn ration(&mut self, replica: &ReplicaId, times: f64) {
        self.replicas.get_mut(replica).into_iter().for_each(|r| r.cold_times = Some(times));
    }

    /// Budget: sub-requests beyond a part's first, in any window. A tick of slack on both edges.
    fn budget_left(&mut self, now: f64) -> bool {
        let Some(rule) = self.set.budget.as_ref().filter(|_| !planted("module-budget")) else { return true };
        let forgotten = if planted("module-budget-window") { 0.1 * rule.window } else { 0.0 };
        let from = now - rule.window + forgotten;
        // Danger: a sub-request waits for its connection, and when it leaves the window holds less than was
        // counted. Covers any wait up to the longest. Harm: a budget smaller by that share of the window.
        let late = self.set.late_send + self.set.tick;
        self.further.retain(|t| *t >= from - late);
        self.taken.retain(|t| t.0 > from - forgotten + late);
        let taken: usize = self.taken.iter().map(|t| t.1).sum();
        self.further.len() as f64 + 1.0 <= rule.free + rule.share * taken as f64
    }

    /// No effect twice: whether the part may be sent once more, to which replica alone if not any, and before
    /// which time it has to begin to leave, however long it waits for a connection.
    fn may_repeat(&self, now: f64, q: &Search, part: &Part) -> Option<(Option<ReplicaId>, f64)> {
        const FREE: Option<(Option<ReplicaId>, f64)> = Some((None, f64::INFINITY));
        let Some(first) = part.subs.iter().find(|s| !proven_unrun(s)) else { return FREE };
        match self.set.query_types[q.query_type.0].repeat {
            Repeat::NonIdempotent if planted("module-once") => FREE,
            Repeat::Tokened { .. } if planted("module-token-window") => FREE,
            Repeat::Idempotent => FREE,
            Repeat::Tokened { window, any_holder } => {
                let by = first.sent_at + window - 2.0 * self.set.tick;
                (now < by).then(|| ((!any_holder).then(|| first.replica.clone()), by))
            }
            Repeat::NonIdempotent => None,
        }
    }

    // ---- one search ----

    /// The latency target of the step in hand, and the last moment at which an answer still earns value.
    fn ends(&self, q: &Search) -> (f64, f64) {
        let margin = 4.0 * self.set.tick; // one to be asked, one to reply, and the way to the client
        let t = &self.set.query_types[q.query_type.0];
        let end = q.ends - margin;
        let target = (q.asked.unwrap_or(q.arrived) + t.latency_target - margin).min(end);
        // A late answer costs as much work as one in time: it is waited for only where it keeps over half its
        // value, and not under overload.
        let until = if t.late_value > 0.5 && !self.overloaded { end } else { target };
        // Twice the unloaded tail of the second step: once alone its parts would be skipped on arrival.
        let tail = self.budget.tail(0.0, &self.unloaded, None, t.second_step);
        let reserve = if q.step == 1 && t.second_step > 0 { 2.0 * tail } else { 0.0 };
        (target - reserve, until)
    }

    fn come(&self, q: &Search) -> f64 {
        q.parts.iter().filter(|p| p.step == q.step && p.answered).map(|p| p.weight).sum()
    }

    fn decide(&mut self, now: f64, q: &mut Search, plan: &mut Plan) {
        if q.over {
            return;
        }
        let t = self.set.query_types[q.query_type.0].clone();
        self.see_overload(now, plan);
        if q.asked.is_none() {
            self.arrive(q, &t);
        }
        let step: Vec<usize> = (0..q.parts.len()).filter(|i| q.parts[*i].step == q.step).collect();
        if step.is_empty() {
            if q.step == 1 || now >= self.ends(q).1 {
                self.give_up(now, q, plan);
            }
            return;
        }
        let need = if q.step == 1 { t.need } else { 1.0 };
        let come = self.come(q);
        if come >= need - ROUNDING && (q.step == 1 || step.iter().all(|i| q.parts[*i].answered)) {
            let whole = q.step == 1 || q.first_whole;
            return self.close(q, Some(Reply::Answered { whole }), plan);
        }
        let (target, until) = self.ends(q);
        let floor_met = come >= t.floor - ROUNDING && come > 0.0 && t.floor < t.need;
        if now >= until || (now >= target && floor_met) {
            return self.give_up(now, q, plan);
        }
        let first_look = q.queue_by.is_none();
        let picks = self.pick_all(now, until, q, &step);
        if first_look {
            push(&mut self.taken, (if q.step == 1 { q.arrived } else { now }, step.len()), 4096);
            let to = |p: &Pick| if let Pick::Go(r) | Pick::Hold(r) = p { Some(r.clone()) } else { None };
            let chosen: Vec<ReplicaId> = picks.iter().filter_map(|(_, p)| to(p)).collect();
            let judged: Vec<_> = chosen.iter().map(|id| self.judged(id)).collect();
            q.queue_by = Some(self.budget.queuing_deadline(now, target, &self.unloaded, &judged));
            if q.step == 1 && self.shed_early(now, target, q, &t, &chosen) {
                return self.give_up(now, q, plan);
            }
        }
        let lost =
            |i: &usize| picks.iter().any(|(j, p)| i == j && matches!(p, Pick::Never)) && !out(&q.parts[*i]);
        let open: Vec<&usize> = step.iter().filter(|i| !q.parts[**i].answered && !lost(i)).collect();
        let possible = come + open.iter().map(|i| q.parts[**i].weight).sum::<f64>();
        if open.is_empty() || possible < t.floor - ROUNDING {
            return self.give_up(now, q, plan);
        }
        for (i, pick) in picks {
            self.call_off(now, target, q, i, plan);
            self.act(now, until, q, i, pick, plan);
            if first_look {
                self.try_distrusted(now, until, q, i, plan);
            }
        }
    }

    /// When the client first asked. Danger: a client's retry comes as a fresh search with a full budget,
    /// while nobody waits for it in time any more. First tries of a query type all have the same time left,
    /// the most common one; a retry's is what remains of the client timeout. One a quarter as common, or
    /// under the latency target and seen again of late, is a patience of its own (clients that ask again
    /// early and often), and as fresh as can be told. Clients' own marks go before. Harm: its first search is
    /// shed.
    fn arrive(&mut self, q: &mut Search, t: &QueryType) {
        let left = q.ends - q.arrived;
        let lefts = &mut self.lefts[q.query_type.0];
        if q.repeated != Some(true) {
            push(lefts, left, 64); // some seconds of traffic, in which retries scatter
        }
        // 10 ms: what jitter on the way does to a time left.
        let alike = |x: &f64| lefts.iter().filter(|y| (*y - x).abs() < 0.01).count();
        let first = lefts.iter().copied().max_by_key(alike).unwrap_or(left);
        // 16: two retries of so many that lie within 10 ms are rare over client timeouts of seconds.
        let alike_lately = lefts.iter().rev().take(16).filter(|y| (*y - left).abs() < 0.01).count();
        let recurs = (left < t.latency_target && alike_lately > 1) || 4 * alike(&left) >= alike(&first);
        // 50 ms: more than clocks and links differ by, less than any client's pause before a retry.
        let retry = q.repeated != Some(false) && !recurs && (left - first).abs() > 0.05;
        q.asked = Some(if retry { q.arrived - (t.client_timeout - left).max(0.0) } else { q.arrived });
        push(&mut self.arrivals, (t.value / q.parts.len().max(1) as f64, q.tenant), 64);
        push(&mut self.taken, (q.arrived, 1), 4096); // more than a budget's window holds; fewer is safe
    }

    /// Danger: beyond capacity every queue grows until all answers are late. A search is shed on arrival if
    /// its replicas give it too little chance to make its latency target, one worth more than the average for
    /// each part at less, that of a tenant beyond its share at more. Harm: a stale view sheds too.
    fn shed_early(&mut self, now: f64, target: f64, q: &Search, t: &QueryType, chosen: &[ReplicaId]) -> bool {
        let again = if self.overloaded || !self.budget_left(now) { 1 } else { 2 }; // replicas for a part
        let lost = |r: &ReplicaId| (1.0 - self.chance(now, r, target - now)).powi(again);
        let mut chances: Vec<f64> = chosen.iter().map(|r| 1.0 - lost(r)).collect();
        chances.sort_by(|a, b| b.total_cmp(a));
        let needed = (t.floor * chances.len() as f64).ceil() as usize;
        let chance: f64 = chances.iter().take(needed).product();
        let n = self.arrivals.len() as f64;
        let mean = self.arrivals.iter().map(|a| a.0).sum::<f64>() / n;
        let mine = self.arrivals.iter().filter(|a| a.1 == q.tenant).count() as f64 / n;
        let over = self.set.tenants.get(q.tenant.0).is_some_and(|share| mine > 1.5 * share);
        let value = if over { self.set.over_share_value } else { 1.0 } * t.value / mean.max(1e-9);
        // Half: below it a search of average worth costs others more than it is likely to bring.
        chance < 0.5 / (value / q.parts.len().max(1) as f64).clamp(0.6, 2.0)
    }

    /// A pick for each part of the step that has nothing out and no answer.
    fn pick_all(&mut self, now: f64, until: f64, q: &Search, step: &[usize]) -> Vec<(usize, Pick)> {
        let mut extra = Counts::new();
        let mut picks = Vec::new();
        for &i in step {
            let part = &q.parts[i];
            let waits = |s: &SubRequest| s.ending.is_none() && now < s.sent_at + self.copy_after - 1e-9;
            if part.answered || part.subs.iter().any(waits) {
                continue;
            }
            let pick = self.pick(now, until, q, part, &extra);
            if let Pick::Go(r) = &pick {
                *extra.entry(r.clone()).or_default() += 1;
            }
            picks.push((i, pick));
        }
        picks
    }

    fn pick(&mut self, now: f64, until: f64, q: &Search, part: &Part, extra: &Counts) -> Pick {
        let mut only = None;
        if !part.subs.is_empty() {
            // Carry-over: no further sub-requests under overload, else up to two.
            let spent =
                self.overloaded || part.subs.len() > 2 || part.subs.len() >= self.set.sub_requests_cap;
            let copy_barred = out(part) && !(self.set.may_copy && self.stuck(now, part));
            match self.may_repeat(now, q, part) {
                Some((r, _)) if !spent && !copy_barred && self.budget_left(now) => only = r,
                _ => return Pick::Never,
            }
        }
        let holders = self.holders(part.shard).filter(|id| only.as_ref().is_none_or(|o| o == *id));
        let mut at = Candidates::new(holders.cloned());
        let none = if at.is_empty() { Pick::Never } else { Pick::Later };
        let drawn = if self.zoning.is_some() { self.rng.rand_float() } else { 0.0 };
        let planned = |id: &ReplicaId| extra.get(id).copied().unwrap_or(0);
        at.require(|id| !self.cold_closed(now, &self.replicas[id], planned(id)));
        at.prefer(|id| !part.subs.iter().any(|s| s.replica == *id));
        // Never all holders: a distrusted one beats none.
        at.prefer(|id| !self.way_bad(&self.replicas[id]));
        let sound = |r: &Replica| !r.health.is_ejected_for(q.query_type) && !self.silent(now, r);
        at.prefer(|id| sound(&self.replicas[id]));
        at.prefer(|id| self.share(self.replicas[id].zone) > drawn);
        at.prefer(|id| self.overloaded || !self.replicas[id].health.failed_last(now));
        // Own calls out, with `more` parts about to leave now: parts sent at one time share calls.
        let calls = |id: &ReplicaId, more| {
            let out = self.replicas[id].running.values().map(|x| x.sent_at);
            groups(out.chain(std::iter::repeat_n(now, planned(id) + more)), self.set.per_call)
        };
        let Some(least) = at.least(|id| calls(id, 0)) else { return none };
        // Ties go to the nearest zones, for as much as these bear; a part that shares a call there adds none.
        let near = self.zoning.iter().flat_map(|z| &z.near).find(|n| drawn < n.1);
        let is_near = |r: &Replica| near.zip(r.zone).is_some_and(|(near, zone)| near.0.contains(&zone));
        at.prefer(|id| is_near(&self.replicas[id]) && calls(id, 1) <= least + 1);
        let Some(id) = at.choose(|id| calls(id, 0), &mut self.rng) else { return none };
        // A copy goes only where nothing of ours is out: it must not lengthen a queue.
        let load = calls(&id, 0);
        let hopeless = PartBudget::hopeless(until - now, self.unloaded_tail(now, q, &id));
        if hopeless || (out(part) && load > 0) {
            return Pick::Never;
        }
        let behind = self.held.is_behind(&id, self.due(q), (q.id, part.id));
        if behind || self.replicas[&id].hold.holds(load) { Pick::Hold(id) } else { Pick::Go(id) }
    }

    /// Has answered nothing since it took a part that is late by now.
    fn silent(&self, now: f64, r: &Replica) -> bool {
        r.running.values().any(|x| x.sent_at + self.copy_after < now + 1e-6 && r.answered_at < x.sent_at)
    }

    /// Whether every sub-request that is out waits on a replica that is silent or distrusted, or was passed
    /// by four sent later, as many as a replica of few cores has at work: it is lost. Only then is a second
    /// copy worth its load: where queues are the cause, copies lengthen them.
    fn stuck(&self, now: f64, part: &Part) -> bool {
        let lost = |n: usize, r: &Replica| {
            let passed = r.running.get(&(part.id, n)).is_some_and(|x| x.passed >= 4);
            passed || r.health.is_ejected() || self.way_bad(r) || self.silent(now, r)
        };
        let mut waits = part.subs.iter().enumerate().filter(|(_, s)| s.ending.is_none());
        waits.all(|(n, s)| self.replicas.get(&s.replica).is_none_or(|r| lost(n, r)))
    }

    fn holders(&self, shard: ShardId) -> impl Iterator<Item = &ReplicaId> {
        let cells = self.set.cells.max(1);
        let of = (0..self.set.span.min(cells)).map(move |j| (shard.0 % cells + j) % cells);
        of.filter_map(|c| self.cells.get(&c)).flatten().filter(|id| self.replicas[*id].open)
    }

    /// Queuing deadline.
    fn due(&self, q: &Search) -> f64 {
        q.queue_by.unwrap_or(q.arrived)
    }

    fn act(&mut self, now: f64, until: f64, q: &mut Search, i: usize, pick: Pick, plan: &mut Plan) {
        self.unhold(q, i, plan);
        match pick {
            Pick::Go(_) if !q.parts[i].subs.is_empty() && !self.budget_left(now) => {}
            Pick::Go(id) => self.send(now, until, q, i, id, plan),
            // A held copy is pointless: its part is out already.
            Pick::Hold(id) if !out(&q.parts[i]) => {
                self.held.insert(&id, self.due(q), (q.id, q.parts[i].id));
                q.parts[i].held = Some(id);
            }
            _ => {}
        }
    }

    fn send(&mut self, now: f64, until: f64, q: &mut Search, i: usize, id: ReplicaId, plan: &mut Plan) {
        let begin_by = self.may_repeat(now, q, &q.parts[i]).map_or(f64::INFINITY, |may| may.1);
        let part = &mut q.parts[i];
        let Some(r) = self.replicas.get_mut(&id) else { return };
        if !part.subs.is_empty() && self.set.budget.is_some() {
            self.further.push_back(now);
        }
        let alone = r.running.is_empty();
        let run = Running { sent_at: now, alone, query_type: q.query_type, passed: 0, called_off: false };
        r.running.insert((part.id, part.subs.len()), run);
        if std::mem::take(&mut r.reborn.0) {
            (r.reborn.1, r.cold_sends) = (Some(now), VecDeque::new());
        }
        if let Some(rule) = &self.set.cold {
            r.cold_sends.retain(|t| *t > now - rule.tip_time);
            r.cold_sends.push_back(now);
        }
        part.subs.push(SubRequest { replica: id.clone(), sent_at: now, ending: None });
        plan.send.push(Placement { part: part.id, replica: id, timeout: until - now, begin_by });
    }

    /// Where copies are barred, a part out for `CALL_OFF` times `late_after` at a replica that has answered
    /// nothing since is called off, if another holder can still make the latency target: it goes there once
    /// the outcome is in. Danger: a part waits on a hung replica until its search is given up. Only where a
    /// repeat is harmless. Harm: a slow answer on its way is lost, its work wasted.
    fn call_off(&mut self, now: f64, target: f64, q: &Search, i: usize, plan: &mut Plan) {
        let part = &q.parts[i];
        let barred =
            self.set.may_copy || !self.set.may_cancel || part.subs.len() >= self.set.sub_requests_cap;
        if barred || !out(part) || !matches!(self.may_repeat(now, q, part), Some((None, _))) {
            return;
        }
        let hung = |s: &SubRequest| {
            let late = now - s.sent_at > CALL_OFF * self.late_after;
            s.ending.is_some()
                || (late && self.replicas.get(&s.replica).is_some_and(|r| r.answered_at < s.sent_at))
        };
        let other = self.holders(part.shard).find(|id| !part.subs.iter().any(|s| s.replica == **id));
        let fits = other.is_some_and(|id| target - now > self.unloaded_tail(now, q, id));
        if !fits || !part.subs.iter().all(hung) {
            return;
        }
        for (n, s) in part.subs.iter().enumerate().filter(|(_, s)| s.ending.is_none()) {
            let r = self.replicas.get_mut(&s.replica);
            if let Some(run) = r.and_then(|r| r.running.get_mut(&(part.id, n))).filter(|x| !x.called_off) {
                run.called_off = true;
                plan.cancel.push((part.id, n));
            }
        }
    }

    /// Trial traffic: a second copy of a part whose first is out, to a distrusted holder with nothing out, so
    /// that no search waits on it. Where copies are barred it is used once the other holders are no better.
    fn try_distrusted(&mut self, now: f64, until: f64, q: &mut Search, i: usize, plan: &mut Plan) {
        let part = &q.parts[i];
        let free = self.set.may_copy && out(part) && matches!(self.may_repeat(now, q, part), Some((None, _)));
        if !free || !self.budget_left(now) {
            return;
        }
        // A replica's own distrust goes first: its zone's trials are for the others.
        let t = q.query_type;
        let ready = |id: &ReplicaId| {
            let r = &self.replicas[id];
            let way = || r.zone.and_then(|z| self.ways.get(&z)).is_some_and(|w| w.trial_due(now, ()));
            let due = if r.health.is_ejected_for(t) { r.health.trial_due(now, t) } else { way() };
            r.running.is_empty()
                && due
                && !part.subs.iter().any(|s| s.replica == *id)
                && !self.cold_closed(now, r, 0)
        };
        let Some(id) = self.holders(part.shard).find(|id| ready(id)).cloned() else { return };
        let Some(r) = self.replicas.get_mut(&id) else { return };
        if r.health.is_ejected_for(t) {
            r.health.trial_sent(now);
        } else {
            r.zone.and_then(|z| self.ways.get_mut(&z)).into_iter().for_each(|w| w.trial_sent(now));
        }
        self.send(now, until, q, i, id, plan);
    }

    fn unhold(&mut self, q: &mut Search, i: usize, plan: &mut Plan) {
        if let Some(id) = q.parts[i].held.take() {
            self.held.remove(&id, self.due(q), (q.id, q.parts[i].id));
            self.next_held(&id, plan);
        }
    }

    /// Held parts leave earliest queuing deadline first: the first one is asked about as soon as it may go.
    fn next_held(&self, id: &ReplicaId, plan: &mut Plan) {
        let Some(r) = self.replicas.get(id) else { return };
        if !r.hold.holds(r.running.len()) {
            plan.ask_again.extend(self.held.first(id).map(|(search, _)| search));
        }
    }

    /// The best reply that honesty allows, at once: the parts that came if they meet the floor; else shed
    /// where asking again is proven harmless; else an error.
    fn give_up(&mut self, now: f64, q: &mut Search, plan: &mut Plan) {
        let t = &self.set.query_types[q.query_type.0];
        let come = self.come(q);
        let harmless = t.repeat == Repeat::Idempotent
            || q.parts.iter().all(|p| p.subs.iter().all(proven_unrun))
            || planted("module-harmless");
        let floor = if planted("module-floor") { 0.0 } else { t.floor };
        let reply = if come > 0.0 && come >= floor - ROUNDING {
            Reply::Answered { whole: planted("module-whole") }
        } else if harmless {
            // Back when half its spare time is gone, if a later try can still make it; else late, for relief.
            let longest = self.set.longest_retry_advice.unwrap_or(0.0);
            let spare = q.queue_by.unwrap_or(now) - now;
            Reply::Shed { retry_after: if spare > 0.0 { longest.min(spare / 2.0) } else { longest } }
        } else {
            Reply::Errored
        };
        self.close(q, Some(reply), plan);
    }

    fn close(&mut self, q: &mut Search, reply: Option<Reply>, plan: &mut Plan) {
        for i in 0..q.parts.len() {
            self.unhold(q, i, plan);
            let part = &q.parts[i];
            let live =
                part.subs.iter().enumerate().filter(|(_, s)| s.ending.is_none() && self.set.may_cancel);
            plan.cancel.extend(live.map(|(n, _)| (part.id, n)));
        }
        let t = &self.set.query_types[q.query_type.0];
        match reply {
            Some(Reply::Answered { whole }) if q.step == 1 && t.second_step > 0 => {
                (q.step, q.first_whole, q.queue_by) = (2, whole, None);
            }
            _ => q.over = true,
        }
        plan.reply = reply;
    }
}
