//! How attempts end: by an answer, a time-out, a cancellation, or with their connection.
//!
//! Each ending says whether the attempt can have run at its replica, by how much of it had left: the routing
//! decisions retry by that. All endings pass through [`Replicas::finish`], so that each is reported once.

use super::write_queue::{Closing, QueuedMessage};
use super::{Replicas, write_queue::WriteQueue};
use crate::events::{ConnectionEvent, ConnectionId};
use crate::frame::PartStatus;
use std::rc::Rc;
use tracing::debug;
use woadreach_routing::api::{AttemptId, Ending, Outcome, ReplicaId};
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::Net;

/// An attempt without an outcome.
pub(super) struct AttemptInFlight {
    pub(super) replica: ReplicaId,
    /// `None` until the attempts of its pass are put on connections.
    pub(super) connection: Option<ConnectionId>,
    pub(super) wire_id: String,
    /// In Unix seconds.
    pub(super) sent_at: f64,
}

/// An attempt whose answer has been received.
pub(crate) struct AnsweredAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) score: u64,
    pub(crate) value: String,
}

/// What becomes of a connection after an attempt on it was given up.
#[derive(Clone, Copy, PartialEq)]
enum Aftermath {
    /// It goes on.
    Keep,
    /// It takes no more attempts: nothing has been received on it for too long.
    Retire,
    /// It is reset: a part of the attempt has left on it.
    Reset,
}

/// What came of taking an attempt off its connection.
struct Removal {
    /// How the attempt has ended, as far as this process knows.
    ending: Ending,
    aftermath: Aftermath,
}

impl Removal {
    /// The attempt has ended in this way, and its connection goes on.
    fn keeping_connection(ending: Ending) -> Self {
        Removal {
            ending,
            aftermath: Aftermath::Keep,
        }
    }
}

impl<N: Net> Replicas<N> {
    /// Records the outcome of an attempt, for the core to take.
    pub(super) fn finish(&mut self, id: AttemptId, ending: Ending, at: f64) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let connection = attempt
            .connection
            .and_then(|c| self.connections.get_mut(&c));
        if let Some(connection) = connection {
            let max_finished = self.config.max_attempts_in_flight;
            connection.attempt_finished(&attempt.wire_id, ending, max_finished);
            connection.last_used = self.net.now();
            connection.close_if_retired();
        }
        let latency = (at - attempt.sent_at).max(0.0);
        debug!(
            part = id.part.0,
            attempt_index = id.index,
            replica = %attempt.replica.0,
            ?ending,
            latency_s = latency,
            "attempt finished"
        );
        self.outcomes.push_back(Outcome {
            part: id.part,
            attempt_index: id.index,
            replica: attempt.replica,
            ending,
            latency,
        });
    }

    /// Ends an attempt that the routing decisions give up: it was cancelled, whatever is known of it.
    pub(crate) fn cancel(&mut self, now: f64, id: AttemptId) {
        self.give_up(now, id, Some(Ending::Cancelled));
    }

    /// Ends an attempt whose time is over, by what is known of it.
    pub(crate) fn time_out(&mut self, now: f64, id: AttemptId) {
        self.give_up(now, id, None);
    }

    /// Ends an attempt that is not waited for any more: by `ending`, or by what is known of it.
    fn give_up(&mut self, now: f64, id: AttemptId, ending: Option<Ending>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let connection = attempt.connection;
        let removal = self.take_from_connection(now, id);
        self.finish(id, ending.unwrap_or(removal.ending), now);
        match (removal.aftermath, connection) {
            (Aftermath::Reset, Some(connection)) => self.reset(now, connection),
            (Aftermath::Retire, Some(connection)) => self.retire(connection),
            _ => {}
        }
    }

    /// Takes an attempt off its connection as far as it has not left, or has it cancelled.
    fn take_from_connection(&mut self, now: f64, id: AttemptId) -> Removal {
        let Some(attempt) = self.attempts.get(&id) else {
            return Removal::keeping_connection(Ending::NeverSent);
        };
        let connection = attempt.connection.and_then(|c| self.connections.get(&c));
        let Some(connection) = connection else {
            return Removal::keeping_connection(Ending::NeverSent);
        };
        let queue = &connection.queue;
        if is_mutated("replicas-cancelled-stays") {
            return Removal::keeping_connection(Ending::TimedOut);
        }
        if queue.take_back(id) {
            // What has not left says nothing of the replica's work, only whether it could be reached.
            let ending = if connection.connected {
                Ending::NeverSent
            } else {
                Ending::Unreachable
            };
            return Removal::keeping_connection(ending);
        }
        if queue.is_partly_sent(id) {
            return Removal {
                ending: queue.partly_sent_ending(id),
                aftermath: Aftermath::Reset,
            };
        }
        if self.config.cancellation_allowed {
            queue.push(QueuedMessage::Cancel(attempt.wire_id.clone()));
        }
        // On a connection to a machine that has become unreachable, each new attempt would wait its whole
        // time. A replica that is only slow gets a new connection, too.
        let waited = now > attempt.sent_at + self.config.connect_timeout_s;
        let heard_since = connection.last_heard.is_some_and(|at| at > attempt.sent_at);
        let unresponsive = waited && !heard_since;
        let aftermath = if unresponsive {
            Aftermath::Retire
        } else {
            Aftermath::Keep
        };
        Removal {
            ending: Ending::TimedOut,
            aftermath,
        }
    }

    /// Resets a connection on which part of a message has left.
    ///
    /// Its last byte then never leaves: otherwise an attempt that was given up would arrive once a machine
    /// that has stopped reading goes on. What else is in flight on the connection is retried, where it may be.
    fn reset(&mut self, now: f64, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            connection.queue.close(Closing::Reset);
        }
        self.abort(now, id);
    }

    /// Ends an attempt that must not begin to leave any more: its search is finished, or its retry window over.
    /// One that has left goes on.
    pub(crate) fn withdraw(&mut self, now: f64, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let connection = attempt.connection;
        let queue: Option<Rc<WriteQueue>> = connection
            .and_then(|c| self.connections.get(&c))
            .map(|c| c.queue.clone());
        let (Some(connection), Some(queue)) = (connection, queue) else {
            return self.finish(id, Ending::NeverSent, now);
        };
        if queue.take_back(id) {
            self.finish(id, Ending::NeverSent, now);
        } else if queue.is_partly_sent(id) {
            self.finish(id, queue.partly_sent_ending(id), now);
            self.reset(now, connection);
        }
    }

    /// Handles what a connection's task reports. Returns the attempt that was answered, if one was.
    pub(crate) fn handle_event(
        &mut self,
        now: f64,
        id: ConnectionId,
        event: ConnectionEvent,
    ) -> Option<AnsweredAttempt> {
        match event {
            ConnectionEvent::Connected => self.connections.get_mut(&id)?.connected = true,
            ConnectionEvent::Closed => self.connection_closed(now, id),
            ConnectionEvent::AnswerReceived {
                wire_id,
                status,
                score,
                value,
                at,
            } => {
                let connection = self.connections.get_mut(&id)?;
                connection.last_heard = Some(now);
                let Some(attempt) = connection.in_flight.get(&wire_id).copied() else {
                    debug!(%wire_id, ?status, "answer to no attempt in flight received");
                    if !connection.has_finished(&wire_id) {
                        self.abort(now, id);
                    }
                    return None;
                };
                let (ending, value) = ending_and_value(status, value);
                self.finish(attempt, ending, at);
                if ending == Ending::Broken {
                    self.abort(now, id);
                }
                return value.map(|value| AnsweredAttempt {
                    attempt,
                    score,
                    value,
                });
            }
        }
        None
    }

    fn connection_closed(&mut self, now: f64, id: ConnectionId) {
        self.finish_all(now, id);
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&connection.replica) {
            endpoint.connections.remove(&id);
        }
    }

    /// Closes a connection at once.
    ///
    /// After an answer that belongs to no attempt, the bytes on a connection mean nothing any more, and the
    /// attempts on it would wait in vain. They are retried, where they may be.
    fn abort(&mut self, now: f64, id: ConnectionId) {
        self.finish_all(now, id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.retired = true;
            connection.queue.close(Closing::Abort);
        }
    }

    /// Ends all attempts on a connection that is of no further use, each by its true outcome.
    fn finish_all(&mut self, now: f64, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let unwritten = connection.queue.unwritten();
        connection.queue.clear();
        let attempts: Vec<AttemptId> = connection.in_flight.values().copied().collect();
        for attempt in attempts {
            let never_ran = unwritten.contains(&attempt) || is_mutated("replicas-never-ran");
            let ending = if never_ran {
                Ending::Unreachable
            } else {
                Ending::Broken
            };
            self.finish(attempt, ending, now);
        }
    }
}

/// How an answered attempt ends, and its value.
fn ending_and_value(status: PartStatus, value: Vec<u8>) -> (Ending, Option<String>) {
    match (status, String::from_utf8(value)) {
        (PartStatus::Ok, Ok(value)) => (Ending::Answered, Some(value)),
        (PartStatus::Full, _) => (Ending::Full, None),
        (PartStatus::Error, _) => (Ending::Errored, None),
        // A value that no answer could carry unchanged.
        (PartStatus::Ok, Err(_)) => (Ending::Broken, None),
    }
}
