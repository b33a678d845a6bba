//! What the scheduler has decided since it started, by reason: for operators, who ask why a call went or didn't go
//! somewhere. Nothing is decided by these counts.

/// A decision and its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decision {
    /// A call was sent to its first replica.
    Sent,
    /// A call that no replica had run, or that may run again, was sent once more after an attempt had ended.
    SentAgain,
    /// A late call was sent to a second replica beside or in place of the first.
    Hedged,
    /// A call was sent to an ejected replica as a probe; it counts under one of the three above, too.
    Probed,
    /// A call was queued at a replica that holds back what exceeds its share.
    Queued,
    /// A call was put off, since no replica could take it.
    Postponed,
    /// A replica was ejected.
    Ejected,
    /// A call was refused on arrival: all replicas were full and it would have been late.
    ShedOnArrival,
    /// A call was given up because its remaining time is below the replica's unloaded tail latency.
    SkippedAsHopeless,
    /// A call was given up because its deadline had come, or it had been sent as often as it may be.
    OutOfTimeOrAttempts,
    /// A call was given up because the service's retry budget was spent.
    RetryBudgetSpent,
    /// A call was given up because no replica was left for it.
    NoReplicaLeft,
    /// A call was given up because it had waited for a replica as long as it may.
    WaitedTooLong,
}

impl Decision {
    /// All decisions, in the order of their declaration.
    pub const ALL: [Decision; 13] = [
        Decision::Sent,
        Decision::SentAgain,
        Decision::Hedged,
        Decision::Probed,
        Decision::Queued,
        Decision::Postponed,
        Decision::Ejected,
        Decision::ShedOnArrival,
        Decision::SkippedAsHopeless,
        Decision::OutOfTimeOrAttempts,
        Decision::RetryBudgetSpent,
        Decision::NoReplicaLeft,
        Decision::WaitedTooLong,
    ];

    /// The decision as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Decision::Sent => "sent",
            Decision::SentAgain => "sent_again",
            Decision::Hedged => "hedged",
            Decision::Probed => "probed",
            Decision::Queued => "queued",
            Decision::Postponed => "postponed",
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

/// How often each decision was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    counts: [u64; Decision::ALL.len()],
}

impl DecisionCounts {
    /// How often this decision was made.
    pub fn of(&self, decision: Decision) -> u64 {
        self.counts[decision as usize]
    }

    /// Each decision with its count.
    pub fn iter(&self) -> impl Iterator<Item = (Decision, u64)> + '_ {
        Decision::ALL.into_iter().zip(self.counts)
    }

    pub(crate) fn count(&mut self, decision: Decision) {
        self.counts[decision as usize] += 1;
    }
}

/// What the scheduler holds at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerLoad {
    /// Calls that have not ended.
    pub calls: usize,
    /// Those of `calls` that are queued at a replica.
    pub queued: usize,
    /// Those of `calls` that are put off, since no replica can take them.
    pub postponed: usize,
    /// Replicas that are ejected for at least one route.
    pub ejected_replicas: usize,
}
