//! The record of a run: every event in its order, judged as it comes, with a digest of all of them. Owns the
//! checker and the figures that are taken from events alone; must never be told anything but events.

use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use woadreach_fakes::Recorder;
use woadreach_invariants::{Breach, Checker, Event, EventKind, Terms};

/// Breaches kept of one run: the first ones tell what is wrong.
const MOST_BREACHES: usize = 20;

/// A search as its client fared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fared {
    pub asked: f64,
    /// Answered within its latency target.
    pub good: bool,
    /// It went away by itself, and says nothing of service.
    pub left: bool,
}

struct Open {
    asked: f64,
    target: f64,
}

pub struct Record {
    checker: Checker,
    targets: Vec<f64>,
    hash: blake3::Hasher,
    line: Vec<u8>,
    pub trace: Option<Vec<Event>>,
    pub breaches: Vec<Breach>,
    pub events: u64,
    pub sent: Vec<f64>,
    pub fared: Vec<Fared>,
    open: BTreeMap<Arc<str>, Open>,
}

impl Record {
    /// `targets`: the latency target of each query type.
    pub fn new(terms: Terms, targets: Vec<f64>, trace: bool) -> Self {
        Record {
            checker: Checker::new(terms),
            targets,
            hash: blake3::Hasher::new(),
            line: Vec::new(),
            trace: trace.then(Vec::new),
            breaches: Vec::new(),
            events: 0,
            sent: Vec::new(),
            fared: Vec::new(),
            open: BTreeMap::new(),
        }
    }

    /// A way to the record for all parties; `now` gives Unix seconds.
    pub fn recorder(record: &Rc<RefCell<Record>>, now: impl Fn() -> f64 + 'static) -> Recorder {
        let record = record.clone();
        Recorder::new(move |kind| record.borrow_mut().take(Event { at: now(), kind }))
    }

    fn take(&mut self, event: Event) {
        self.events += 1;
        self.line.clear();
        // Writing to memory cannot fail, and the event holds nothing that JSON does not.
        let _ = serde_json::to_writer(&mut self.line, &event);
        self.line.push(b'\n');
        self.hash.update(&self.line);
        self.count(&event);
        let broken = self.checker.take(&event);
        self.keep(broken);
        if let Some(trace) = &mut self.trace {
            trace.push(event);
        }
    }

    fn keep(&mut self, broken: Vec<Breach>) {
        let room = MOST_BREACHES.saturating_sub(self.breaches.len());
        self.breaches.extend(broken.into_iter().take(room));
    }

    pub fn tick(&mut self, now: f64) {
        let broken = self.checker.tick(now);
        self.keep(broken);
    }

    /// Final answers that are still owed.
    pub fn owed(&self) -> usize {
        self.checker.owed()
    }

    pub fn digest(&self) -> String {
        self.hash.finalize().to_hex()[..16].to_string()
    }

    fn count(&mut self, event: &Event) {
        let at = event.at;
        let (search, good, left) = match &event.kind {
            EventKind::Requested {
                search, query_type, ..
            } => {
                let target = self.targets.get(*query_type).copied().unwrap_or(0.0);
                self.open.insert(search.clone(), Open { asked: at, target });
                return;
            }
            EventKind::PartReceived { .. } => return self.sent.push(at),
            EventKind::Answered { search, .. } => (search, true, false),
            EventKind::Shed { search }
            | EventKind::Failed { search }
            | EventKind::ConnectionClosed { search } => (search, false, false),
            EventKind::ClientDisconnected { search } => (search, false, true),
            _ => return,
        };
        if let Some(open) = self.open.remove(search) {
            let good = good && at - open.asked <= open.target;
            self.fared.push(Fared {
                asked: open.asked,
                good,
                left,
            });
        }
    }
}
