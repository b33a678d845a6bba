//! Checks [`Rule::DrainRespected`]: a draining or departed replica is sent no new part after the grace period.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::rules::parts::ReceivedPart;

impl Checker {
    pub(crate) fn check_drain(&mut self, received: &ReceivedPart<'_>) {
        let not_ready_since = self
            .replicas
            .get(received.replica)
            .and_then(|replica| replica.not_ready_since.get(&received.node))
            .copied();
        let Some(listed) = not_ready_since else {
            return;
        };
        let sent_at = received.first_byte_at;
        if sent_at > listed + self.terms.drain_grace + self.terms.slack
            && !self.was_delayed(received, listed)
            && !self.is_excused(received.node, listed, sent_at)
        {
            let why = format!(
                "part sent to {} {:.3} s after it was listed as draining or departed",
                received.replica,
                sent_at - listed
            );
            self.report(Rule::DrainRespected, &received.part.search, why);
        }
    }
}
