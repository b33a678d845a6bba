//! Handles the events of parts at replicas, and applies the rules that concern them.

use crate::checker::Checker;
use crate::event::{CoordinatorId, Event, EventKind, PartName, ReplicaName};
use crate::state::PartKey;
use crate::units::Seconds;
use std::sync::Arc;

/// A part that a replica received.
pub(crate) struct ReceivedPart<'a> {
    /// Time at which its last byte arrived at the replica's machine.
    pub(crate) at: Seconds,
    /// Time at which its first byte arrived there.
    pub(crate) first_byte_at: Seconds,
    pub(crate) node: CoordinatorId,
    pub(crate) replica: &'a ReplicaName,
    pub(crate) part: &'a PartName,
}

impl Checker {
    pub(crate) fn part_received(&mut self, event: &Event) {
        let EventKind::PartReceived {
            node,
            replica,
            part,
            first_byte_at,
            last_byte_at,
            work,
            first_step_shards,
            first_step_complete,
        } = &event.kind
        else {
            return;
        };
        let received = ReceivedPart {
            at: *last_byte_at,
            first_byte_at: *first_byte_at,
            node: *node,
            replica,
            part,
        };
        self.check_drain(&received);
        self.check_client_connected(&received);
        if self.check_search_awaits_part(&received) {
            self.check_repeat(&received);
        }
        self.check_second_step(part, first_step_shards, *first_step_complete);
        self.check_slow_start(*last_byte_at, *node, replica, *work);
    }

    pub(crate) fn part_rejected(&mut self, replica: &ReplicaName, part: &PartName) {
        if let Some(search) = self.searches.get_mut(&part.search)
            && let Some(attempt) = search
                .attempts
                .get_mut(&PartKey::from(part))
                .and_then(|all| {
                    all.iter_mut()
                        .rev()
                        .find(|attempt| attempt.replica == *replica)
                })
        {
            attempt.rejected = true;
        }
    }

    pub(crate) fn part_completed(&mut self, at: Seconds, part: &PartName, value: &Arc<str>) {
        if let Some(search) = self.searches.get_mut(&part.search) {
            search
                .values
                .entry(PartKey::from(part))
                .or_default()
                .push(value.clone());
        }
        self.count_second_step(at, part);
    }

    /// Whether a fault may have delayed the part on its link, so that it may have been written before `since`.
    pub(crate) fn was_delayed(&self, received: &ReceivedPart<'_>, since: Seconds) -> bool {
        self.replicas
            .get(received.replica)
            .is_some_and(|replica| replica.was_delayed(since, received.at))
    }
}
