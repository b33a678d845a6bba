//! Dispatches the events in the order of their times, each to the rules that it concerns.

use crate::breach::{Breach, Rule};
use crate::event::{CoordinatorId, Event, EventKind, ReplicaName};
use crate::state::{Coordinator, Period, Replica, ReplicaStart, Search};
use crate::terms::Terms;
use crate::units::Seconds;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Time for which an ended search is retained. Must exceed the time for which any of its frames is in flight.
const SEARCH_RETENTION: Seconds = 20.0;

/// Time after which a search's answer is overdue. Ordered by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AnswerDue {
    microseconds: u64,
    search: Arc<str>,
}

/// A search that has ended, with the time of its end.
struct EndedSearch {
    at: Seconds,
    search: Arc<str>,
}

/// Checks a history event by event. Retains open and recently ended searches, and the state of replicas and
/// co-ordinators.
pub struct Checker {
    pub(crate) terms: Terms,
    pub(crate) now: Seconds,
    pub(crate) searches: BTreeMap<Arc<str>, Search>,
    due: BTreeSet<AnswerDue>,
    /// Ended searches that are still retained, in the order in which they ended.
    ended: VecDeque<EndedSearch>,
    pub(crate) replicas: BTreeMap<ReplicaName, Replica>,
    pub(crate) coordinators: BTreeMap<CoordinatorId, Coordinator>,
    breaches: Vec<Breach>,
    /// Number of attempts that began too long after their client had disconnected.
    pub(crate) late_attempts: usize,
}

/// Converts a time to whole microseconds, which are totally ordered.
fn microseconds(seconds: Seconds) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

impl Checker {
    /// Returns a checker without any events.
    pub fn new(terms: Terms) -> Self {
        Checker {
            terms,
            now: 0.0,
            searches: BTreeMap::new(),
            due: BTreeSet::new(),
            ended: VecDeque::new(),
            replicas: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            breaches: Vec::new(),
            late_attempts: 0,
        }
    }

    /// Number of searches that still await their final answer.
    pub fn open_searches(&self) -> usize {
        self.searches
            .values()
            .filter(|search| search.is_open())
            .count()
    }

    /// Whether the replica has been overloaded during its warm-up since it last started.
    pub fn is_overloaded(&self, replica: &str) -> bool {
        self.replicas
            .get(replica)
            .is_some_and(|replica| replica.overloaded)
    }

    /// Checks the next event, which must not be earlier than the one before. Returns the breaches that it proves,
    /// and those of answers that have become overdue by its time.
    pub fn check(&mut self, event: &Event) -> Vec<Breach> {
        self.advance(event.at);
        if let Some(name) = event.kind.search()
            && let Some(search) = self.searches.get_mut(name)
        {
            search.add_to_proof(event);
        }
        self.apply(event);
        std::mem::take(&mut self.breaches)
    }

    /// Advances the time to `now` and returns the breaches of answers that have become overdue.
    pub fn check_overdue(&mut self, now: Seconds) -> Vec<Breach> {
        self.advance(now);
        std::mem::take(&mut self.breaches)
    }

    fn advance(&mut self, now: Seconds) {
        self.now = self.now.max(now);
        while self
            .due
            .first()
            .is_some_and(|due| due.microseconds < microseconds(now))
            && let Some(due) = self.due.pop_first()
        {
            self.answer_overdue(&due.search, due.microseconds as f64 / 1e6);
        }
        while self
            .ended
            .front()
            .is_some_and(|ended| ended.at + SEARCH_RETENTION < now)
            && let Some(ended) = self.ended.pop_front()
        {
            self.searches.remove(&ended.search);
        }
    }

    fn apply(&mut self, event: &Event) {
        let at = event.at;
        match &event.kind {
            EventKind::CoordinatorStarted { node } => self.coordinator_started(at, *node),
            EventKind::CoordinatorKilled { node } => self.coordinator_killed(*node),
            EventKind::CoordinatorEnded { node } => self.coordinator_ended(*node),
            EventKind::ReplicaListed {
                node,
                replica,
                ready,
            } => self.replica_listed(at, *node, replica, *ready),
            EventKind::ReplicaStarted { replica, cores } => {
                self.replica_started(at, replica, *cores);
            }
            EventKind::LinkBlocked { replica, blocked } => {
                self.link_blocked(at, replica, *blocked);
            }
            EventKind::Stalled { node, seconds } => self.coordinator_stalled(at, *node, *seconds),
            EventKind::Panicked { node, why } => {
                self.report_coordinator(
                    Rule::Sound,
                    *node,
                    format!("panic or process error: {why}"),
                );
            }
            EventKind::CoordinatorUnsound { node, why } => {
                self.report_coordinator(Rule::Sound, *node, why.clone());
            }
            _ => self.apply_to_search(event),
        }
    }

    fn apply_to_search(&mut self, event: &Event) {
        let at = event.at;
        match &event.kind {
            EventKind::Requested { .. } => self.search_requested(event),
            EventKind::Answered {
                search,
                complete,
                rows,
            } => self.search_answered(at, search, *complete, rows),
            EventKind::Shed { search } => self.search_shed(at, search),
            EventKind::Failed { search } => {
                self.accept_final_answer(at, search);
            }
            EventKind::ClientDisconnected { search } => self.client_disconnected(at, search),
            EventKind::ConnectionClosed { search } => self.connection_closed(search),
            EventKind::PartReceived { .. } => self.part_received(event),
            EventKind::PartRejected { replica, part, .. } => self.part_rejected(replica, part),
            EventKind::PartCompleted { part, value, .. } => self.part_completed(at, part, value),
            _ => {}
        }
    }

    fn coordinator_started(&mut self, at: Seconds, node: CoordinatorId) {
        let coordinator = Coordinator {
            started_at: at,
            ..Coordinator::default()
        };
        self.coordinators.insert(node, coordinator);
        for replica in self.replicas.values_mut() {
            replica.not_ready_since.remove(&node);
            replica.notified.remove(&node);
        }
    }

    fn coordinator_stalled(&mut self, at: Seconds, node: CoordinatorId, seconds: Seconds) {
        self.coordinators.entry(node).or_default().stall_period = Some(Period {
            since: at,
            until: at + seconds,
        });
    }

    fn replica_listed(
        &mut self,
        at: Seconds,
        node: CoordinatorId,
        name: &ReplicaName,
        ready: bool,
    ) {
        let replica = self.replicas.entry(name.clone()).or_default();
        if ready {
            replica.not_ready_since.remove(&node);
            replica.notified.insert(node);
        } else {
            // The grace period starts when the replica is first listed as draining or departed.
            replica.not_ready_since.entry(node).or_insert(at);
        }
    }

    fn replica_started(&mut self, at: Seconds, name: &ReplicaName, cores: f64) {
        let replica = self.replicas.entry(name.clone()).or_default();
        replica.start = Some(ReplicaStart { at, cores });
        replica.work.clear();
        replica.notified.clear();
        replica.overloaded = false;
    }

    fn link_blocked(&mut self, at: Seconds, name: &ReplicaName, blocked: bool) {
        let slack = self.terms.slack;
        let replica = self.replicas.entry(name.clone()).or_default();
        let since = replica
            .delay_period
            .filter(|period| period.until.is_infinite() || period.until + slack > at)
            .map_or(at, |period| period.since);
        replica.active_delays = if blocked {
            replica.active_delays + 1
        } else {
            replica.active_delays.saturating_sub(1)
        };
        let until = if replica.active_delays > 0 {
            f64::INFINITY
        } else {
            at + slack
        };
        replica.delay_period = Some(Period { since, until });
    }

    /// Whether a stall of the co-ordinator excuses violations between these times.
    pub(crate) fn is_excused(&self, node: CoordinatorId, from: Seconds, to: Seconds) -> bool {
        self.coordinators
            .get(&node)
            .is_some_and(|coordinator| coordinator.is_excused(from, to))
    }

    /// Latest time at which the client may read the answer to a search with this deadline.
    pub(crate) fn latest_answer(&self, deadline: Seconds) -> Seconds {
        deadline + self.terms.answer_grace + self.terms.slack
    }

    /// Adds a search that awaits its final answer.
    pub(crate) fn open_search(&mut self, name: &Arc<str>, search: Search) {
        self.due.insert(AnswerDue {
            microseconds: microseconds(self.latest_answer(search.deadline)),
            search: name.clone(),
        });
        self.searches.insert(name.clone(), search);
    }

    /// Marks that the search no longer awaits an answer. Its later events are checked for [`SEARCH_RETENTION`].
    pub(crate) fn end_search(&mut self, name: &Arc<str>) {
        let Some(search) = self.searches.get_mut(name) else {
            return;
        };
        search.ended = true;
        let deadline = search.deadline;
        self.due.remove(&AnswerDue {
            microseconds: microseconds(self.latest_answer(deadline)),
            search: name.clone(),
        });
        self.ended.push_back(EndedSearch {
            at: self.now,
            search: name.clone(),
        });
    }

    /// Reports a breach by a search, with the search's events as proof.
    pub(crate) fn report(&mut self, rule: Rule, search: &Arc<str>, why: String) {
        let proof = self
            .searches
            .get(search)
            .map_or(Vec::new(), |search| search.events.clone());
        self.breaches.push(Breach {
            rule,
            at: self.now,
            search: Some(search.clone()),
            why,
            proof,
        });
    }

    /// Reports a breach by a co-ordinator as a whole.
    pub(crate) fn report_coordinator(&mut self, rule: Rule, node: CoordinatorId, why: String) {
        self.breaches.push(Breach {
            rule,
            at: self.now,
            search: None,
            why: format!("co-ordinator {}: {why}", node.0),
            proof: Vec::new(),
        });
    }
}
