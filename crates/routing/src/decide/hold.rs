//! Backpressure: a replica that answered full, or not in time, gets no more than it had in flight at that answer.

/// Whether new calls to one replica wait, by this co-ordinator's calls in flight there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Hold {
    /// Calls may leave.
    #[default]
    Open,
    /// Calls wait for the replica's queue to turn over.
    Holding {
        /// Calls wait while more than this number are in flight.
        above: usize,
        /// Number of answers that have to come before the hold ends.
        answers: usize,
    },
}

impl Hold {
    /// A call ended full or timed out, with `in_flight` others still out.
    pub fn begin(&mut self, in_flight: usize) {
        *self = Hold::Holding {
            above: in_flight,
            answers: in_flight.max(1),
        };
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        *self = match *self {
            Hold::Holding { above, answers } if answers > 1 => Hold::Holding {
                above,
                answers: answers - 1,
            },
            _ => Hold::Open,
        }
    }

    /// Whether another call has to wait.
    pub fn holds(&self, in_flight: usize) -> bool {
        matches!(self, Hold::Holding { above, .. } if in_flight > *above)
    }
}
