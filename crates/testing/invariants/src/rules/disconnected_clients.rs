//! Checks an aspect of [`Rule::Sound`]: nothing is sent for a client that has disconnected.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::rules::parts::ReceivedPart;
use crate::units::Seconds;
use std::sync::Arc;

/// Time after a client's disconnection in which attempts may still begin: the co-ordinator must first detect it.
const DISCONNECT_GRACE: Seconds = 0.1;
/// Number of late attempts in a run from which each one is a breach. Fewer are tolerated, because the delay until a
/// co-ordinator reads its sockets varies.
const MIN_LATE_ATTEMPTS: usize = 3;

impl Checker {
    pub(crate) fn client_disconnected(&mut self, at: Seconds, name: &Arc<str>) {
        if let Some(search) = self
            .searches
            .get_mut(name)
            .filter(|search| search.is_open())
        {
            search.disconnected_at = Some(at);
        }
        self.end_search(name);
    }

    pub(crate) fn check_client_connected(&mut self, received: &ReceivedPart<'_>) {
        let name = &received.part.search;
        let Some(disconnected) = self
            .searches
            .get(name)
            .and_then(|search| search.disconnected_at)
        else {
            return;
        };
        let sent_at = received.first_byte_at;
        if sent_at <= disconnected + DISCONNECT_GRACE + self.terms.slack
            || self.was_delayed(received, disconnected)
            || self.is_excused(received.node, disconnected, sent_at)
        {
            return;
        }
        self.late_attempts += 1;
        if self.late_attempts >= MIN_LATE_ATTEMPTS {
            let why = format!(
                "part for shard {} sent {:.3} s after the client disconnected, late attempt {} of the run",
                received.part.shard,
                sent_at - disconnected,
                self.late_attempts
            );
            self.report(Rule::Sound, name, why);
        }
    }
}
