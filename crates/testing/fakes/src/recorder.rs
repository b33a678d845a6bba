//! Where stand-ins tell what they saw. Owns nothing but a way to the record; must never drop an event.

use std::rc::Rc;
use woadreach_invariants::What;

/// All clones tell one record, which knows the time.
#[derive(Clone)]
pub struct Recorder(Rc<dyn Fn(What)>);

impl Recorder {
    pub fn new(tell: impl Fn(What) + 'static) -> Self {
        Recorder(Rc::new(tell))
    }

    pub fn tell(&self, what: What) {
        (self.0)(what);
    }
}
