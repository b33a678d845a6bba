//! Nothing is sent for a client that has disconnected.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::rules::parts::ReceivedPart;
use crate::units::Seconds;
use std::sync::Arc;

/// How long after a client's disconnection attempts may still begin: the co-ordinator has to notice it.
const DISCONNECT_GRACE: Seconds = 0.1;
/// Cases of a run from which on late attempts are a breach: the delay until a co-ordinator reads its sockets
/// varies.
const MIN_LATE_ATTEMPTS: usize = 3;

impl Checker {
    pub(crate) fn client_disconnected(&mut self, at: Seconds, name: &Arc<str>) {
        if let Some(search) = self
            .searches
            .get_mut(name)
            .filter(|search| search.is_open())
        {
            search.disconnected = Some(at);
        }
        self.end_search(name);
    }

    pub(crate) fn check_client_connected(&mut self, received: &ReceivedPart<'_>) {
        let name = &received.part.search;
        let Some(disconnected) = self
            .searches
            .get(name)
            .and_then(|search| search.disconnected)
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
                "shard {} was sent on {:.3} s after its client had gone, case {} of the run",
                received.part.shard,
                sent_at - disconnected,
                self.late_attempts
            );
            self.report(Rule::Sound, name, why);
        }
    }
}
