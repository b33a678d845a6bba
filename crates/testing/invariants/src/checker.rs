//! The rules themselves. Owns what is known of each search until it is long over, of each replica while it is
//! named, and of each co-ordinator; must never keep more of a run than that.

use crate::event::{Event, NodeId, PartName, ReplicaName, What};
use crate::terms::{Repeats, Terms};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Weights written with few digits may add up to so much less.
const ROUNDING: f64 = 1e-4;
/// A search that ended so long ago is forgotten: longer than anything of it is on its way.
const FORGET: f64 = 20.0;
/// A part that was sent before its search's answer comes before that on ways up to here.
const SHORT_WAY: f64 = 0.001;
/// What its way held back comes within so long of the way's return.
const SENT_AGAIN: f64 = 0.1;
/// A client that has closed its connection has gone: no attempt begins so much later. From the third case of
/// a run on that is a break: what the way and a look at the sockets take is not the same each time.
const GONE: f64 = 0.1;
const GONE_CASES: usize = 3;
/// A process that has stood still works off what waited for it in so long.
const AFTER_STALL: f64 = 0.5;
/// Most events of one search that are kept as proof.
const PROOF: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    NoSearchLost,
    NoEffectTwice,
    DrainsKept,
    ColdNotPushedOver,
    HonestAnswers,
    Budget,
    /// No rule names it, and users expect it: no task panics, nothing is kept that nothing accounts for.
    Sound,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::NoSearchLost => "no search is lost",
            Rule::NoEffectTwice => "no effect happens twice",
            Rule::DrainsKept => "drains are kept",
            Rule::ColdNotPushedOver => "a cold replica is not pushed over",
            Rule::HonestAnswers => "answers are honest",
            Rule::Budget => "further sub-requests stay within budget",
            Rule::Sound => "the co-ordinator is sound",
        })
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
    pub at: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub search: Option<Arc<str>>,
    pub why: String,
    /// The events of that search so far, oldest first.
    pub proof: Vec<Event>,
}

struct Attempt {
    replica: ReplicaName,
    at: f64,
    turned_away: bool,
}

struct Search {
    node: NodeId,
    query_type: usize,
    parts: Arc<[(u64, f64)]>,
    ends: f64,
    /// When its one final answer was read.
    answered: Option<f64>,
    left: bool,
    /// When its client went away before it had its answer.
    gone: Option<f64>,
    attempts: BTreeMap<(u64, bool), Vec<Attempt>>,
    made: BTreeMap<(u64, bool), Vec<Arc<str>>>,
    /// The second step may have begun; and what its parts said of the first.
    second: bool,
    from: Option<(Vec<u64>, bool)>,
    events: Vec<Event>,
}

#[derive(Default)]
struct Replica {
    /// Who has been told that it drains or is gone, and when.
    leaving: BTreeMap<NodeId, f64>,
    born: Option<(f64, f64)>,
    /// Work that has come in the last window: when, how much, and whether its sender had been told of the
    /// start.
    work: VecDeque<(f64, f64, bool)>,
    /// Who has been told of the start.
    told: BTreeSet<NodeId>,
    fallen: bool,
    /// By how many causes at once what it is sent may be held back now; since when, and until.
    holds: usize,
    held: Option<(f64, f64)>,
}

#[derive(Default)]
struct Node {
    /// What came before was sent by a process that has ended, and counts in nobody's budget.
    started: f64,
    taken: VecDeque<(f64, usize)>,
    further: VecDeque<f64>,
    over: bool,
    /// The last time in which it did not run.
    stalled: Option<(f64, f64)>,
}

impl Node {
    /// For how long a process that did not run at some time between these is excused after it.
    fn excused(&self, from: f64, to: f64) -> bool {
        self.stalled
            .is_some_and(|(since, until)| since <= to && until + AFTER_STALL >= from)
    }
}

pub struct Checker {
    terms: Terms,
    now: f64,
    searches: BTreeMap<Arc<str>, Search>,
    /// When each search's time is over, and when what has ended may be forgotten.
    due: BTreeMap<(u64, Arc<str>), ()>,
    old: VecDeque<(f64, Arc<str>)>,
    replicas: BTreeMap<ReplicaName, Replica>,
    nodes: BTreeMap<NodeId, Node>,
    breaches: Vec<Breach>,
    /// Attempts that began too late after their client had gone.
    for_nobody: usize,
}

fn micros_back(at: u64) -> f64 {
    at as f64 / 1e6
}

/// Times in the order of their microseconds.
fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl Checker {
    pub fn new(terms: Terms) -> Self {
        Checker {
            terms,
            now: 0.0,
            searches: BTreeMap::new(),
            due: BTreeMap::new(),
            old: VecDeque::new(),
            replicas: BTreeMap::new(),
            nodes: BTreeMap::new(),
            breaches: Vec::new(),
            for_nobody: 0,
        }
    }

    /// Searches whose final answer is owed.
    pub fn owed(&self) -> usize {
        self.searches
            .values()
            .filter(|s| s.answered.is_none() && !s.left)
            .count()
    }

    /// Takes the next event, none earlier than the one before; gives what it breaks, and what its time shows
    /// to be overdue.
    pub fn take(&mut self, event: &Event) -> Vec<Breach> {
        self.until(event.at);
        if let Some(search) = self.search_of(&event.what)
            && let Some(s) = self.searches.get_mut(&search)
            && s.events.len() < PROOF
        {
            s.events.push(event.clone());
        }
        self.judge(event);
        std::mem::take(&mut self.breaches)
    }

    /// Time has come to `now`: what is overdue by then.
    pub fn tick(&mut self, now: f64) -> Vec<Breach> {
        self.until(now);
        std::mem::take(&mut self.breaches)
    }

    fn until(&mut self, now: f64) {
        self.now = self.now.max(now);
        while let Some(((due, _), ())) = self.due.first_key_value()
            && *due < micros(now)
            && let Some(((due, search), ())) = self.due.pop_first()
        {
            let Some(s) = self
                .searches
                .get(&search)
                .filter(|s| s.answered.is_none() && !s.left)
            else {
                continue;
            };
            let excused = self
                .nodes
                .get(&s.node)
                .is_some_and(|n| n.excused(s.ends - 1.0, micros_back(due)));
            if excused {
                self.end(&search);
            } else {
                self.broken(
                    Rule::NoSearchLost,
                    &search,
                    "no final answer by the end of its time".into(),
                );
                self.end(&search);
            }
        }
        while self.old.front().is_some_and(|(at, _)| at + FORGET < now)
            && let Some((_, search)) = self.old.pop_front()
        {
            self.searches.remove(&search);
        }
    }

    fn search_of(&self, what: &What) -> Option<Arc<str>> {
        match what {
            What::Asked { search, .. }
            | What::Answered { search, .. }
            | What::Shed { search }
            | What::Errored { search }
            | What::Left { search }
            | What::Dropped { search } => Some(search.clone()),
            What::Sent { part, .. }
            | What::TurnedAway { part, .. }
            | What::Made { part, .. }
            | What::GivenUp { part, .. } => Some(part.search.clone()),
            _ => None,
        }
    }

    fn broken(&mut self, rule: Rule, search: &Arc<str>, why: String) {
        let proof = self
            .searches
            .get(search)
            .map_or(Vec::new(), |s| s.events.clone());
        self.breaches.push(Breach {
            rule,
            at: self.now,
            search: Some(search.clone()),
            why,
            proof,
        });
    }

    fn broken_by(&mut self, rule: Rule, node: NodeId, why: String) {
        let why = format!("co-ordinator {}: {why}", node.0);
        self.breaches.push(Breach {
            rule,
            at: self.now,
            search: None,
            why,
            proof: Vec::new(),
        });
    }

    /// Nothing is owed any more; what still comes of it is judged for a while.
    fn end(&mut self, search: &Arc<str>) {
        if let Some(s) = self.searches.get_mut(search) {
            s.left = true;
            self.due.remove(&(
                micros(s.ends + self.terms.answer_grace + self.terms.slack),
                search.clone(),
            ));
            self.old.push_back((self.now, search.clone()));
        }
    }

    fn judge(&mut self, event: &Event) {
        let at = event.at;
        match &event.what {
            What::NodeStarted { node } => {
                self.nodes.insert(
                    *node,
                    Node {
                        started: at,
                        ..Node::default()
                    },
                );
                self.replicas.values_mut().for_each(|r| {
                    r.leaving.remove(node);
                    r.told.remove(node);
                });
            }
            What::NodeKilled { node } | What::NodeEnded { node } => {
                let held: Vec<_> = self
                    .searches
                    .iter()
                    .filter(|(_, s)| s.node == *node && !s.left)
                    .map(|(n, _)| n.clone())
                    .collect();
                if matches!(event.what, What::NodeEnded { .. }) {
                    let owed = |n: &&Arc<str>| self.searches[*n].answered.is_none();
                    for search in held.iter().filter(owed).cloned().collect::<Vec<_>>() {
                        self.broken(
                            Rule::NoSearchLost,
                            &search,
                            "its co-ordinator has ended by itself".into(),
                        );
                    }
                }
                held.iter().for_each(|search| self.end(search));
            }
            What::Asked {
                node,
                search,
                query_type,
                parts,
                ends,
            } => {
                if let Some(window) = self.terms.budget.as_ref().map(|b| b.window) {
                    let n = self.nodes.entry(*node).or_default();
                    n.taken.push_back((at, 1 + parts.len()));
                    while n
                        .taken
                        .front()
                        .is_some_and(|t| t.0 + window + self.terms.way < at)
                    {
                        n.taken.pop_front();
                    }
                }
                let due = micros(ends + self.terms.answer_grace + self.terms.slack);
                self.due.insert((due, search.clone()), ());
                let s = Search {
                    node: *node,
                    query_type: *query_type,
                    parts: parts.clone(),
                    ends: *ends,
                    answered: None,
                    left: false,
                    gone: None,
                    attempts: BTreeMap::new(),
                    made: BTreeMap::new(),
                    second: false,
                    from: None,
                    events: vec![event.clone()],
                };
                self.searches.insert(search.clone(), s);
            }
            What::Answered {
                search,
                whole,
                rows,
            } => {
                if self.final_answer(at, search) {
                    self.honest(search, *whole, rows);
                }
            }
            What::Shed { search } => {
                if self.final_answer(at, search) {
                    self.harmless(search);
                }
            }
            What::Errored { search } => {
                self.final_answer(at, search);
            }
            What::Left { search } => {
                if let Some(s) = self
                    .searches
                    .get_mut(search)
                    .filter(|s| s.answered.is_none() && !s.left)
                {
                    s.gone = Some(at);
                }
                self.end(search);
            }
            What::Dropped { search } => {
                let open = self
                    .searches
                    .get(search)
                    .filter(|s| s.answered.is_none() && !s.left);
                if open.is_some_and(|s| s.attempts.is_empty()) {
                    self.end(search);
                } else if open.is_some() {
                    self.broken(
                        Rule::NoSearchLost,
                        search,
                        "its connection ended without an answer".into(),
                    );
                    self.end(search);
                }
            }
            What::Sent {
                node,
                replica,
                part,
                begun,
                came,
                work,
                from,
                first_whole,
            } => {
                self.sent(*came, *node, replica, part, *begun);
                self.second_step(part, from, *first_whole);
                self.cold(*came, *node, replica, *work);
            }
            What::TurnedAway { replica, part, .. } => {
                if let Some(s) = self.searches.get_mut(&part.search)
                    && let Some(a) = s
                        .attempts
                        .get_mut(&(part.shard, part.fetch))
                        .and_then(|all| all.iter_mut().rev().find(|a| a.replica == *replica))
                {
                    a.turned_away = true;
                }
            }
            What::Made { part, value, .. } => {
                if let Some(s) = self.searches.get_mut(&part.search) {
                    s.made
                        .entry((part.shard, part.fetch))
                        .or_default()
                        .push(value.clone());
                }
                self.second_step_begins(at, part);
            }
            What::GivenUp { .. } => {}
            What::Told {
                node,
                replica,
                ready,
            } => {
                let r = self.replicas.entry(replica.clone()).or_default();
                if *ready {
                    r.leaving.remove(node);
                    r.told.insert(*node);
                } else {
                    // The first word counts.
                    r.leaving.entry(*node).or_insert(at);
                }
            }
            What::Born { replica, cores } => {
                let r = self.replicas.entry(replica.clone()).or_default();
                r.born = Some((at, *cores));
                r.work.clear();
                r.told.clear();
                r.fallen = false;
            }
            What::Way { replica, held } => {
                let r = self.replicas.entry(replica.clone()).or_default();
                let since = r
                    .held
                    .filter(|h| h.1.is_infinite() || h.1 + self.terms.slack > at)
                    .map_or(at, |h| h.0);
                r.holds = if *held {
                    r.holds + 1
                } else {
                    r.holds.saturating_sub(1)
                };
                r.held = Some((
                    since,
                    if r.holds > 0 {
                        f64::INFINITY
                    } else {
                        at + self.terms.slack
                    },
                ));
            }
            What::Stalled { node, seconds } => {
                self.nodes.entry(*node).or_default().stalled = Some((at, at + seconds));
            }
            What::Panicked { node, why } => {
                self.broken_by(Rule::Sound, *node, format!("a panic: {why}"))
            }
            What::Kept { node, why } => self.broken_by(Rule::Sound, *node, why.clone()),
        }
    }

    /// Whether this is its one answer, in time.
    fn final_answer(&mut self, at: f64, search: &Arc<str>) -> bool {
        let Some(s) = self.searches.get_mut(search) else {
            return false;
        };
        if s.answered.is_some() {
            self.broken(Rule::NoSearchLost, search, "a second final answer".into());
            return false;
        }
        if s.left {
            return false;
        }
        s.answered = Some(at);
        let late = at > s.ends + self.terms.answer_grace + self.terms.slack;
        let (ends, node) = (s.ends, s.node);
        if late
            && !self
                .nodes
                .get(&node)
                .is_some_and(|n| n.excused(ends - 1.0, at))
        {
            self.broken(
                Rule::NoSearchLost,
                search,
                "its final answer came after its time".into(),
            );
        }
        self.end(search);
        true
    }

    fn harmless(&mut self, search: &Arc<str>) {
        let Some(s) = self.searches.get(search) else {
            return;
        };
        let once = self.terms.query_types.get(s.query_type).map(|t| t.repeats)
            == Some(Repeats::NonIdempotent);
        if once && s.attempts.values().flatten().any(|a| !a.turned_away) {
            self.broken(
                Rule::NoEffectTwice,
                search,
                "shed, though a part of it may have run".into(),
            );
        }
    }

    fn honest(&mut self, search: &Arc<str>, whole: bool, rows: &[(u64, String)]) {
        let Some(s) = self.searches.get(search) else {
            return;
        };
        let Some(terms) = self.terms.query_types.get(s.query_type) else {
            return;
        };
        let fetched = terms.fetch > 0;
        let mut why = Vec::new();
        let mut seen = Vec::new();
        for (shard, value) in rows {
            if seen.contains(shard) {
                why.push(format!("shard {shard} stands in it twice"));
            }
            seen.push(*shard);
            let made = s.made.get(&(*shard, fetched)).into_iter().flatten();
            if !made.into_iter().any(|v| **v == **value) {
                why.push(format!("no replica made the value of shard {shard} for it"));
            }
        }
        let weight: f64 = s
            .parts
            .iter()
            .filter(|p| seen.contains(&p.0))
            .map(|p| p.1)
            .sum();
        if fetched {
            match &s.from {
                None => why.push("answered before its second step".into()),
                Some((from, first_whole)) => {
                    let wanted = terms.fetch.min(from.len()).max(1);
                    let share = rows.len() as f64 / wanted as f64;
                    if whole && (!first_whole || share < 1.0 - ROUNDING) {
                        why.push("marked whole, though its first or second step is not".into());
                    }
                    if share < terms.floor - ROUNDING {
                        why.push(format!(
                            "{} of {wanted} parts of the second step are in",
                            rows.len()
                        ));
                    }
                }
            }
        } else {
            if weight < terms.floor - ROUNDING {
                why.push(format!(
                    "{weight:.3} of the weight is in, {} is the least",
                    terms.floor
                ));
            }
            if whole && weight < terms.need - ROUNDING {
                why.push(format!("marked whole with {weight:.3} of the weight"));
            }
        }
        if !why.is_empty() {
            self.broken(Rule::HonestAnswers, search, why.join("; "));
        }
    }

    fn sent(&mut self, at: f64, node: NodeId, replica: &ReplicaName, part: &PartName, begun: f64) {
        let held = self.replicas.get(replica).and_then(|r| r.held);
        let leaving = self
            .replicas
            .get(replica)
            .and_then(|r| r.leaving.get(&node))
            .copied();
        // What was written before the way was cut, or before the machine stood still, comes when it can.
        let was_held =
            |since: f64| held.is_some_and(|h| h.1 >= since && h.0 <= at && at <= h.1 + SENT_AGAIN);
        if let Some(told) = leaving
            && begun > told + self.terms.drain_grace + self.terms.slack
            && !was_held(told)
            && !self
                .nodes
                .get(&node)
                .is_some_and(|n| n.excused(told, begun))
        {
            let why = format!(
                "sent to {replica} {:.3} s after it was told to leave",
                begun - told
            );
            self.broken(Rule::DrainsKept, &part.search, why);
        }
        if let Some(gone) = self.searches.get(&part.search).and_then(|s| s.gone)
            && begun > gone + GONE + self.terms.slack
            && !was_held(gone)
            && !self
                .nodes
                .get(&node)
                .is_some_and(|n| n.excused(gone, begun))
        {
            self.for_nobody += 1;
            if self.for_nobody >= GONE_CASES {
                let (late, case) = (begun - gone, self.for_nobody);
                let why = format!(
                    "shard {} was sent on {late:.3} s after its client had gone, case {case} of the run",
                    part.shard
                );
                self.broken(Rule::Sound, &part.search, why);
            }
        }
        let Some(s) = self.searches.get_mut(&part.search) else {
            let why = format!("a part at {replica} that no client asked for");
            return self.broken(Rule::NoSearchLost, &part.search, why);
        };
        // Where the way is long, nobody can know what is still on it.
        let on_its_way = (self.terms.way - SHORT_WAY).max(0.0);
        if let Some(answered) = s.answered.filter(|answered| at > *answered + on_its_way)
            && !was_held(answered)
        {
            let why = format!(
                "shard {} was sent on {:.6} s after its final answer",
                part.shard,
                at - answered
            );
            return self.broken(Rule::NoSearchLost, &part.search, why);
        }
        let asked = s.parts.iter().any(|p| p.0 == part.shard);
        let repeats = self
            .terms
            .query_types
            .get(s.query_type)
            .map_or(Repeats::Idempotent, |t| t.repeats);
        let attempts = s.attempts.entry((part.shard, part.fetch)).or_default();
        let further = !attempts.is_empty();
        // What its way held back was written before, nobody here can tell when.
        let held_back = attempts.first().is_some_and(|a| was_held(a.at));
        let mut may_have_run = attempts.iter().filter(|a| !a.turned_away);
        let why = match repeats {
            Repeats::NonIdempotent => may_have_run
                .next()
                .map(|a| format!("{} may have run it", a.replica)),
            Repeats::Tokened { window, any_holder } => may_have_run.next().and_then(|first| {
                if at > first.at + window + self.terms.slack && !held_back {
                    Some(format!(
                        "{:.3} s after {} may have run it",
                        at - first.at,
                        first.replica
                    ))
                } else if !any_holder && first.replica != *replica {
                    Some(format!("only {} knows its token", first.replica))
                } else {
                    None
                }
            }),
            Repeats::Idempotent => None,
        };
        attempts.push(Attempt {
            replica: replica.clone(),
            at,
            turned_away: false,
        });
        if let Some(why) = why {
            let why = format!("shard {} was sent again, to {replica}: {why}", part.shard);
            self.broken(Rule::NoEffectTwice, &part.search, why);
        }
        if !asked {
            let why = format!("shard {} was not asked for", part.shard);
            self.broken(Rule::NoSearchLost, &part.search, why);
        }
        if further && !held_back {
            self.budget(at, node);
        }
    }

    /// What was sent earlier may come later than it was counted, by as much as a part is on its way: the
    /// window is that much shorter, and what was taken counts that much longer.
    fn budget(&mut self, at: f64, node: NodeId) {
        let Some(b) = self.terms.budget.clone() else {
            return;
        };
        let n = self.nodes.entry(node).or_default();
        // Read late, by a replica that stood still while the co-ordinator was started anew.
        if at < n.started {
            return;
        }
        n.further.push_back(at);
        while n
            .taken
            .front()
            .is_some_and(|t| t.0 + b.window + self.terms.way < at)
        {
            n.taken.pop_front();
        }
        // Not in the order of their coming: a replica that stood still has read some late.
        n.further
            .retain(|t| t + b.window - self.terms.way > self.now);
        // What was read so late is judged with what comes next: of its own window too little is known by now.
        if self.now > at + self.terms.slack {
            return;
        }
        let taken: usize = n.taken.iter().map(|t| t.1).sum();
        let (sent, allowed) = (n.further.len(), b.free + b.share * taken as f64);
        let over = sent as f64 > allowed + 1e-9;
        let first = over && !n.over;
        n.over = over;
        if first {
            let why = format!(
                "{sent} further sub-requests in {} s, {allowed:.1} are allowed",
                b.window
            );
            self.broken_by(Rule::Budget, node, why);
        }
    }

    /// The parts of a second step are taken as those of the first were, from when it can begin at the
    /// earliest.
    fn second_step_begins(&mut self, at: f64, part: &PartName) {
        let Some(s) = self.searches.get_mut(&part.search).filter(|s| !s.second) else {
            return;
        };
        let Some(terms) = self
            .terms
            .query_types
            .get(s.query_type)
            .filter(|t| t.fetch > 0)
        else {
            return;
        };
        let come = s
            .parts
            .iter()
            .filter(|p| s.made.contains_key(&(p.0, false)));
        if come.map(|p| p.1).sum::<f64>() >= terms.floor - ROUNDING {
            s.second = true;
            if let Some(n) = self.nodes.get_mut(&s.node) {
                n.taken.push_back((at, terms.fetch));
            }
        }
    }

    fn second_step(&mut self, part: &PartName, from: &[u64], first_whole: Option<bool>) {
        if !part.fetch {
            return;
        }
        let Some(s) = self.searches.get_mut(&part.search) else {
            return;
        };
        let Some(terms) = self.terms.query_types.get(s.query_type) else {
            return;
        };
        let weight: f64 = s
            .parts
            .iter()
            .filter(|p| from.contains(&p.0))
            .map(|p| p.1)
            .sum();
        let whole = first_whole == Some(true);
        let mut why = Vec::new();
        let missing: Vec<_> = from
            .iter()
            .filter(|shard| !s.made.contains_key(&(**shard, false)))
            .collect();
        if !missing.is_empty() {
            why.push(format!(
                "its first step names shards {missing:?}, which have not answered"
            ));
        }
        if !from.contains(&part.shard) {
            why.push(format!(
                "fetches from shard {}, which is not in",
                part.shard
            ));
        }
        if weight < terms.floor - ROUNDING || (whole && weight < terms.need - ROUNDING) {
            why.push(format!(
                "its first step ended with {weight:.3} of the weight, whole: {whole}"
            ));
        }
        s.from = Some((from.to_vec(), whole));
        if !why.is_empty() {
            self.broken(Rule::HonestAnswers, &part.search, why.join("; "));
        }
    }

    fn cold(&mut self, at: f64, node: NodeId, replica: &ReplicaName, work: f64) {
        let Some(cold) = self.terms.cold.clone() else {
            return;
        };
        let Some(r) = self.replicas.get_mut(replica) else {
            return;
        };
        let Some((born, cores)) = r.born.filter(|b| at < b.0 + cold.time && !r.fallen) else {
            return;
        };
        r.work.push_back((at, work, r.told.contains(&node)));
        while r.work.front().is_some_and(|w| w.0 + cold.window <= at) {
            r.work.pop_front();
        }
        let capacity = cores * (cold.from + (1.0 - cold.from) * ((at - born) / cold.time).min(1.0));
        let come = r.work.iter().map(|w| w.1).sum::<f64>() / cold.work;
        let budget = cold.multiple * capacity * cold.window / cold.work;
        let allowed = budget + 2.0 * budget.sqrt() + 2.0;
        if come > allowed {
            r.fallen = true;
            let told = r.work.iter().filter(|w| w.2).map(|w| w.1).sum::<f64>() / cold.work;
            if !cold.untold_too && told * 3.0 <= come * 2.0 {
                return;
            }
            let why = format!(
                "{replica}, {:.2} s old, was sent {come:.1} requests of mean work in {} s: {budget:.1} are \
                 its budget, {allowed:.1} the most that chance brings",
                at - born,
                cold.window
            );
            self.broken_by(Rule::ColdNotPushedOver, node, why);
        }
    }

    /// Whether this replica has been pushed over since it started.
    pub fn fallen(&self, replica: &str) -> bool {
        self.replicas.get(replica).is_some_and(|r| r.fallen)
    }
}
