//! Reports events from the fakes to the test.

use std::rc::Rc;
use woadreach_invariants::EventKind;

/// Reports events to a record, which adds the time. All clones report to the same record.
#[derive(Clone)]
pub struct Recorder(Rc<dyn Fn(EventKind)>);

impl Recorder {
    /// Returns a recorder that calls `record` with each event.
    pub fn new(record: impl Fn(EventKind) + 'static) -> Self {
        Recorder(Rc::new(record))
    }

    /// Records an event with the current time.
    pub fn record(&self, event: EventKind) {
        (self.0)(event);
    }
}
