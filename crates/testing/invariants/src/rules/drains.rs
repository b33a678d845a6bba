//! Drains are kept: a replica that drains or has departed gets nothing new after the grace period.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::rules::parts::ReceivedPart;

impl Checker {
    pub(crate) fn check_drain(&mut self, received: &ReceivedPart<'_>) {
        let leaving = self
            .replicas
            .get(received.replica)
            .and_then(|replica| replica.leaving.get(&received.node))
            .copied();
        let Some(listed) = leaving else { return };
        let sent_at = received.first_byte_at;
        if sent_at > listed + self.terms.drain_grace + self.terms.slack
            && !self.was_delayed(received, listed)
            && !self.is_excused(received.node, listed, sent_at)
        {
            let why = format!(
                "sent to {} {:.3} s after it was told to leave",
                received.replica,
                sent_at - listed
            );
            self.report(Rule::DrainRespected, &received.part.search, why);
        }
    }
}
