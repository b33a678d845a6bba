//! Holds: a replica that answered full, or not in time, gets no more than it had in flight at that answer.

/// Whether new calls to one replica are held back, by what is in flight there of ours.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Hold {
    /// Calls may leave.
    #[default]
    Open,
    /// Calls wait while over `above` are in flight, until `answers` more have come: its queue turned over.
    #[allow(missing_docs)]
    Held { above: usize, answers: usize },
}

impl Hold {
    /// A call ended full or timed out, with `in_flight` others still out.
    pub fn begin(&mut self, in_flight: usize) {
        *self = Hold::Held {
            above: in_flight,
            answers: in_flight.max(1),
        };
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        *self = match *self {
            Hold::Held { above, answers } if answers > 1 => Hold::Held {
                above,
                answers: answers - 1,
            },
            _ => Hold::Open,
        }
    }

    /// Whether a further call has to wait.
    pub fn holds(&self, in_flight: usize) -> bool {
        matches!(self, Hold::Held { above, .. } if in_flight > *above)
    }
}
