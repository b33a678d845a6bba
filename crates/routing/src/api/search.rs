//! A search, its parts and their attempts.

use super::{PartId, QueryTypeId, ReplicaId, SearchId, Seconds, ShardId, Share, TenantId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The replica answered.
    Answered,
    /// The replica returned an error.
    Errored,
    /// The replica was full and rejected the attempt without running it.
    Full,
    /// No answer was received before the timeout.
    TimedOut,
    /// No connection was established, or it ended before the attempt was completely written.
    Unreachable,
    /// The connection broke after the attempt was sent, or the answer on it cannot be used.
    Broken,
    /// This co-ordinator cancelled the attempt.
    Cancelled,
    /// The attempt was never completely sent: it was removed from the queue, or aborted before its last byte.
    NeverSent,
}

/// Report of the end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Part that the attempt belongs to.
    pub part: PartId,
    /// Index of the attempt among those of the part, from 0.
    pub attempt_index: usize,
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// How the attempt ended.
    pub ending: Ending,
    /// Time from sending the attempt until its end.
    pub latency: Seconds,
}

/// One attempt of a part: its sending to a replica.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Time at which the decision to send was made.
    pub sent_at: Seconds,
    /// How the attempt ended; `None` while it is in flight.
    pub ending: Option<Ending>,
}

impl Attempt {
    /// Whether the attempt provably never ran: it was rejected, had no connection, or was never completely sent.
    pub fn proven_unrun(&self) -> bool {
        matches!(
            self.ending,
            Some(Ending::Full | Ending::Unreachable | Ending::NeverSent)
        )
    }
}

/// A part of a search: its query to one shard.
#[derive(Clone, Debug)]
pub struct Part {
    /// Identifier of the part.
    pub id: PartId,
    /// Shard that the part queries.
    pub shard: ShardId,
    /// Share of the part in the complete answer.
    pub weight: Share,
    /// Step of the search that the part belongs to, 1 or 2.
    pub step: usize,
    /// Whether an attempt of the part was answered.
    pub answered: bool,
    /// Replica for which the part is queued; `None` if it is not queued. Set by the decisions.
    pub queued_for: Option<ReplicaId>,
    /// Attempts of the part, in the order of sending.
    pub attempts: Vec<Attempt>,
}

impl Part {
    /// Whether an attempt of the part is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.ending.is_none())
    }

    /// Attempts in flight, with their indices among all attempts of the part.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.ending.is_none())
    }

    /// Whether the part was ever sent to this replica.
    pub fn tried(&self, replica: &ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == *replica)
    }
}

/// A search in flight. The caller owns it; the decisions read and update it.
#[derive(Clone, Debug)]
pub struct Search {
    /// Identifier of the search.
    pub id: SearchId,
    /// Query type of the search.
    pub query_type: QueryTypeId,
    /// Tenant of the client.
    pub tenant: TenantId,
    /// Time of the search's arrival.
    pub arrived: Seconds,
    /// Time at which the client stops waiting.
    pub client_deadline: Seconds,
    /// Parts of the search, those of the second step last.
    pub parts: Vec<Part>,
    /// Step in progress, 1 or 2.
    pub step: usize,
    /// Whether the first step was complete; false before its end.
    pub first_step_complete: bool,
    /// Whether the client has marked this search as a retry; `None` where clients do not mark retries.
    pub marked_as_retry: Option<bool>,
    /// Time at which the client sent its first attempt, as estimated by the decisions; `None` before the first
    /// decision.
    pub first_requested_at: Option<Seconds>,
    /// Queuing deadline of the step in progress, set by the decisions; `None` before the first decision on the step.
    pub queuing_deadline: Option<Seconds>,
    /// Whether the search has ended: with its final reply, or because the client has disconnected.
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

    /// Parts of the step in progress, with their indices in `parts`.
    pub fn step_parts(&self) -> impl Iterator<Item = (usize, &Part)> {
        self.parts
            .iter()
            .enumerate()
            .filter(|(_, part)| part.step == self.step)
    }

    /// Total weight of the answered parts of the step in progress.
    pub fn answered_weight(&self) -> Share {
        self.step_parts()
            .filter(|(_, part)| part.answered)
            .map(|(_, part)| part.weight)
            .sum()
    }

    /// Records the end of an attempt. The outcome of an unknown part or attempt is ignored.
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

    /// Queuing deadline of the step in progress; before it is set, the time of arrival, which is earlier than any
    /// deadline of a queued part.
    pub fn queuing_deadline(&self) -> Seconds {
        self.queuing_deadline.unwrap_or(self.arrived)
    }
}
