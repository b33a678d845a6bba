//! Backpressure on a replica that rejected a call or let it time out. While its queue drains, the number of calls in
//! flight there is limited to the number when that call ended.

/// Limit on this co-ordinator's calls in flight at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Backpressure {
    /// Calls are sent at once.
    #[default]
    Unlimited,
    /// Calls are queued until the replica has given as many answers as calls were in flight.
    Limited {
        /// A call is queued while more than this number of other calls are in flight.
        blocked_above: usize,
        /// Number of answers until the limit is lifted; at least 1.
        answers: usize,
    },
}

impl Backpressure {
    /// Starts or restarts the limit after a call was rejected or timed out. `in_flight`: number of the calls that are
    /// still in flight there.
    pub fn begin(&mut self, in_flight: usize) {
        *self = Backpressure::Limited {
            blocked_above: in_flight,
            answers: in_flight.max(1),
        };
    }

    /// Counts an answer of the replica; the last one that was required lifts the limit.
    pub fn record_answer(&mut self) {
        *self = match *self {
            Backpressure::Limited {
                blocked_above,
                answers,
            } if answers > 1 => Backpressure::Limited {
                blocked_above,
                answers: answers - 1,
            },
            _ => Backpressure::Unlimited,
        }
    }

    /// Whether the next call has to be queued, with `in_flight` calls in flight at the replica.
    pub fn blocks(&self, in_flight: usize) -> bool {
        matches!(self, Backpressure::Limited { blocked_above, .. } if in_flight > *blocked_above)
    }
}
