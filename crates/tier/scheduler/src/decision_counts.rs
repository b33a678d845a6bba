//! Number of decisions by kind and reason since the start of the scheduler. Exported for operators; the scheduler does
//! not read these counts.

/// Kind of a decision, with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decision {
    /// A call was sent to its first replica.
    Sent,
    /// A call that had not run, or that may run again, was sent again after an attempt had ended.
    SentAgain,
    /// A late call was sent to another replica, in addition to or in place of the one with an attempt in flight.
    Hedged,
    /// A call was sent to an ejected replica as a probe. The send also counts as one of the three decisions above.
    Probed,
    /// A call was queued at a replica under backpressure, or behind calls that are queued there.
    Queued,
    /// A call was postponed: no replica could receive it, or its backoff had not elapsed.
    Postponed,
    /// A response started after its attempt had been aborted, and was discarded.
    DiscardedResponse,
    /// A replica was ejected.
    Ejected,
    /// A call was rejected on arrival: all replicas were full and the call would have been late.
    ShedOnArrival,
    /// A call was rejected or failed because its remaining time was below the replica's unloaded tail latency.
    SkippedAsHopeless,
    /// A call was rejected or failed because its deadline had passed, or because it may have run and must not run
    /// again.
    OutOfTimeOrAttempts,
    /// A call was rejected or failed because the service's retry budget was spent.
    RetryBudgetSpent,
    /// A call was rejected or failed because no replica was left that may receive it.
    NoReplicaLeft,
    /// A call was rejected or failed because its time limit for being postponed had passed.
    WaitedTooLong,
}

impl Decision {
    /// All decisions, in the order of their declaration.
    pub const ALL: [Decision; 14] = [
        Decision::Sent,
        Decision::SentAgain,
        Decision::Hedged,
        Decision::Probed,
        Decision::Queued,
        Decision::Postponed,
        Decision::DiscardedResponse,
        Decision::Ejected,
        Decision::ShedOnArrival,
        Decision::SkippedAsHopeless,
        Decision::OutOfTimeOrAttempts,
        Decision::RetryBudgetSpent,
        Decision::NoReplicaLeft,
        Decision::WaitedTooLong,
    ];

    /// Value of the metric label for this decision.
    pub fn as_str(self) -> &'static str {
        match self {
            Decision::Sent => "sent",
            Decision::SentAgain => "sent_again",
            Decision::Hedged => "hedged",
            Decision::Probed => "probed",
            Decision::Queued => "queued",
            Decision::Postponed => "postponed",
            Decision::DiscardedResponse => "discarded_response",
            Decision::Ejected => "ejected",
            Decision::ShedOnArrival => "shed_on_arrival",
            Decision::SkippedAsHopeless => "skipped_as_hopeless",
            Decision::OutOfTimeOrAttempts => "out_of_time_or_attempts",
            Decision::RetryBudgetSpent => "retry_budget_spent",
            Decision::NoReplicaLeft => "no_replica_left",
            Decision::WaitedTooLong => "waited_too_long",
        }
    }
}

/// Number of decisions of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    counts: [u64; Decision::ALL.len()],
}

impl DecisionCounts {
    /// Number of decisions of this kind.
    pub fn of(&self, decision: Decision) -> u64 {
        self.counts[decision as usize]
    }

    /// Iterates over all kinds of decisions with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (Decision, u64)> + '_ {
        Decision::ALL.into_iter().zip(self.counts)
    }

    pub(crate) fn count(&mut self, decision: Decision) {
        self.counts[decision as usize] += 1;
    }
}

/// Number of calls and ejected replicas at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerLoad {
    /// Unfinished calls.
    pub calls: usize,
    /// Unfinished calls that are queued at a replica.
    pub queued: usize,
    /// Unfinished calls that are postponed, since no replica may receive them at present.
    pub postponed: usize,
    /// Replicas that are ejected for at least one route.
    pub ejected_replicas: usize,
}
