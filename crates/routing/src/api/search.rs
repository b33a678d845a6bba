//! A search, its parts and their attempts.

use super::{PartId, QueryTypeId, ReplicaId, SearchId, Seconds, ShardId, Share, TenantId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With an answer.
    Answered,
    /// With an error of the replica.
    Errored,
    /// Rejected by the replica, which did not run it.
    Full,
    /// Without an answer before its timeout.
    TimedOut,
    /// No connection was established, or it ended before the attempt was completely written.
    Unreachable,
    /// The connection broke after the attempt was sent, or the answer on it cannot be used.
    Broken,
    /// Cancelled by this co-ordinator.
    Cancelled,
    /// It was never completely sent: taken back, or cut off before its last byte.
    NeverSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its part.
    pub part: PartId,
    /// Its index among the attempts of the part.
    pub attempt_index: usize,
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// How it ended.
    pub ending: Ending,
    /// Time since it was sent.
    pub latency: Seconds,
}

/// One send of a part to a replica.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent_at: Seconds,
    /// How it ended; absent while it is in flight.
    pub ending: Option<Ending>,
}

impl Attempt {
    /// Whether it provably never ran: it was rejected, had no connection, or was never completely sent.
    pub fn proven_unrun(&self) -> bool {
        matches!(
            self.ending,
            Some(Ending::Full | Ending::Unreachable | Ending::NeverSent)
        )
    }
}

/// What a search asks of one shard.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its identifier.
    pub id: PartId,
    /// The shard that it queries.
    pub shard: ShardId,
    /// Its share of the complete answer.
    pub weight: Share,
    /// The step of its search, 1 or 2.
    pub step: usize,
    /// Whether an answer has come.
    pub answered: bool,
    /// The replica in whose queue it waits, if it is queued.
    pub queued_at: Option<ReplicaId>,
    /// Its attempts, in the order of their sends.
    pub attempts: Vec<Attempt>,
}

impl Part {
    /// Whether one of its attempts is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.ending.is_none())
    }

    /// Its attempts in flight, with their indices.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.ending.is_none())
    }

    /// Whether it was ever sent to this replica.
    pub fn tried(&self, replica: &ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == *replica)
    }
}

/// A search in flight. The caller keeps it; the decisions read and update it.
#[derive(Clone, Debug)]
pub struct Search {
    /// Its identifier.
    pub id: SearchId,
    /// Its query type.
    pub query_type: QueryTypeId,
    /// The tenant that asks.
    pub tenant: TenantId,
    /// When it arrived.
    pub arrived: Seconds,
    /// When the client stops waiting.
    pub client_deadline: Seconds,
    /// Its parts, those of a second step last.
    pub parts: Vec<Part>,
    /// The step that is being executed, 1 or 2.
    pub step: usize,
    /// Whether the first step was complete.
    pub first_step_complete: bool,
    /// Whether the client says that this is a retry of its own; absent where clients don't mark retries.
    pub marked_as_retry: Option<bool>,
    /// When the client sent its first attempt, as estimated by the decisions.
    pub first_requested_at: Option<Seconds>,
    /// Queuing deadline of the present step; set by the decisions.
    pub queuing_deadline: Option<Seconds>,
    /// Whether the final answer has been given.
    pub finished: bool,
}

impl Search {
    /// A search that has just arrived, without parts yet.
    pub fn new(
        id: SearchId,
        query_type: QueryTypeId,
        tenant: TenantId,
        arrived: Seconds,
        client_deadline: Seconds,
    ) -> Self {
        Search {
            id,
            query_type,
            tenant,
            arrived,
            client_deadline,
            parts: Vec::new(),
            step: 1,
            first_step_complete: false,
            marked_as_retry: None,
            first_requested_at: None,
            queuing_deadline: None,
            finished: false,
        }
    }

    /// The parts of the present step, with their indices in `parts`.
    pub fn step_parts(&self) -> impl Iterator<Item = (usize, &Part)> {
        self.parts
            .iter()
            .enumerate()
            .filter(|(_, part)| part.step == self.step)
    }

    /// The weight of the parts of the present step that are answered.
    pub fn answered_weight(&self) -> Share {
        self.step_parts()
            .filter(|(_, part)| part.answered)
            .map(|(_, part)| part.weight)
            .sum()
    }

    /// Records how an attempt of one of its parts ended; one that isn't known is ignored.
    pub fn record_outcome(&mut self, outcome: &Outcome) {
        let Some(part) = self.parts.iter_mut().find(|part| part.id == outcome.part) else {
            return;
        };
        let Some(attempt) = part.attempts.get_mut(outcome.attempt_index) else {
            return;
        };
        attempt.ending = Some(outcome.ending);
        part.answered |= outcome.ending == Ending::Answered;
    }

    /// The queuing deadline of the present step; before it is set, the arrival, which goes before all others.
    pub fn queuing_deadline(&self) -> Seconds {
        self.queuing_deadline.unwrap_or(self.arrived)
    }
}
