//! How the fakes report what they observe.

use std::rc::Rc;
use woadreach_invariants::EventKind;

/// Reports events to one record, which adds the time. All clones share it.
#[derive(Clone)]
pub struct Recorder(Rc<dyn Fn(EventKind)>);

impl Recorder {
    /// A recorder that hands each event to this function.
    pub fn new(record: impl Fn(EventKind) + 'static) -> Self {
        Recorder(Rc::new(record))
    }

    /// Records an event that happens now.
    pub fn record(&self, event: EventKind) {
        (self.0)(event);
    }
}
