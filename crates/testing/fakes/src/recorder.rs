//! How the scripted parties report what they saw.

use std::rc::Rc;
use woadreach_invariants::EventKind;

/// Reports events to one record, which adds the time. All clones share it.
#[derive(Clone)]
pub struct Recorder(Rc<dyn Fn(EventKind)>);

impl Recorder {
    /// A recorder that hands each event to this function.
    pub fn new(tell: impl Fn(EventKind) + 'static) -> Self {
        Recorder(Rc::new(tell))
    }

    /// Reports an event that happens now.
    pub fn tell(&self, event: EventKind) {
        (self.0)(event);
    }
}
