//! The record of a run. Every event is checked against the rules as it arrives, counted, and added to the digest.

use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use woadreach_fakes::Recorder;
use woadreach_invariants::{Breach, Checker, Event, EventKind, Terms};

/// Most breaches that are kept of a run: the first ones show what is wrong.
const MAX_BREACHES: usize = 20;

/// How a search ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SearchOutcome {
    /// When the request arrived, in Unix seconds.
    #[serde(rename = "asked")]
    pub requested_at: f64,
    /// It was answered within its latency target.
    #[serde(rename = "good")]
    pub in_time: bool,
    /// The client disconnected, so the search doesn't count for the service.
    #[serde(rename = "left")]
    pub client_disconnected: bool,
}

/// A search that awaits its answer.
struct OpenSearch {
    /// In Unix seconds.
    requested_at: f64,
    latency_target_s: f64,
}

/// The record of a run.
pub struct Record {
    checker: Checker,
    /// Of each query type, in seconds.
    latency_targets: Vec<f64>,
    /// Of the events so far, each as a line of JSON.
    hash: blake3::Hasher,
    /// The buffer for such a line.
    line: Vec<u8>,
    /// Every event, if they are kept.
    pub trace: Option<Vec<Event>>,
    /// The first breaches; further ones are not kept.
    pub breaches: Vec<Breach>,
    /// How many events there were.
    pub events: u64,
    /// When replicas received each attempt, in Unix seconds.
    pub attempts_received_at: Vec<f64>,
    /// The searches that have ended, in the order of their ends.
    pub outcomes: Vec<SearchOutcome>,
    /// The searches that have not ended, by name.
    open: BTreeMap<Arc<str>, OpenSearch>,
}

impl Record {
    /// An empty record. `latency_targets` has one of each query type, in seconds; `trace` keeps every event.
    pub fn new(terms: Terms, latency_targets: Vec<f64>, trace: bool) -> Self {
        Record {
            checker: Checker::new(terms),
            latency_targets,
            hash: blake3::Hasher::new(),
            line: Vec::new(),
            trace: trace.then(Vec::new),
            breaches: Vec::new(),
            events: 0,
            attempts_received_at: Vec::new(),
            outcomes: Vec::new(),
            open: BTreeMap::new(),
        }
    }

    /// A recorder that writes to this record; `now` returns Unix seconds.
    pub fn recorder(record: &Rc<RefCell<Record>>, now: impl Fn() -> f64 + 'static) -> Recorder {
        let record = record.clone();
        Recorder::new(move |kind| record.borrow_mut().take(Event { at: now(), kind }))
    }

    /// Records breaches of what is overdue at `now`, in Unix seconds.
    pub fn tick(&mut self, now: f64) {
        let breaches = self.checker.check_overdue(now);
        self.add_breaches(breaches);
    }

    /// How many final answers are still owed.
    pub fn owed(&self) -> usize {
        self.checker.open_searches()
    }

    /// The digest of all events so far.
    pub fn digest(&self) -> String {
        crate::digest::shorten(&self.hash.finalize())
    }

    /// The searches whose client didn't disconnect.
    pub(crate) fn served(&self) -> Vec<SearchOutcome> {
        self.outcomes
            .iter()
            .filter(|search| !search.client_disconnected)
            .copied()
            .collect()
    }

    fn take(&mut self, event: Event) {
        self.events += 1;
        self.line.clear();
        // Writing to memory can't fail, and JSON can express everything that an event holds.
        let _ = serde_json::to_writer(&mut self.line, &event);
        self.line.push(b'\n');
        self.hash.update(&self.line);
        self.count(&event);
        let breaches = self.checker.check(&event);
        self.add_breaches(breaches);
        if let Some(trace) = &mut self.trace {
            trace.push(event);
        }
    }

    fn add_breaches(&mut self, breaches: Vec<Breach>) {
        let capacity = MAX_BREACHES.saturating_sub(self.breaches.len());
        self.breaches.extend(breaches.into_iter().take(capacity));
    }

    fn count(&mut self, event: &Event) {
        let at = event.at;
        match &event.kind {
            EventKind::Requested {
                search, query_type, ..
            } => {
                let target = self.latency_targets.get(*query_type).copied();
                let open = OpenSearch {
                    requested_at: at,
                    latency_target_s: target.unwrap_or(0.0),
                };
                self.open.insert(search.clone(), open);
            }
            EventKind::PartReceived { .. } => self.attempts_received_at.push(at),
            EventKind::Answered { search, .. } => self.close(search, |open| SearchOutcome {
                requested_at: open.requested_at,
                in_time: at - open.requested_at <= open.latency_target_s,
                client_disconnected: false,
            }),
            EventKind::Shed { search }
            | EventKind::Failed { search }
            | EventKind::ConnectionClosed { search } => self.close(search, |open| SearchOutcome {
                requested_at: open.requested_at,
                in_time: false,
                client_disconnected: false,
            }),
            EventKind::ClientDisconnected { search } => self.close(search, |open| SearchOutcome {
                requested_at: open.requested_at,
                in_time: false,
                client_disconnected: true,
            }),
            _ => {}
        }
    }

    fn close(&mut self, search: &Arc<str>, outcome: impl Fn(OpenSearch) -> SearchOutcome) {
        if let Some(open) = self.open.remove(search) {
            self.outcomes.push(outcome(open));
        }
    }
}
