//! Drains are kept: a replica that drains or has departed gets nothing new after the grace period.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::rules::parts::ReceivedPart;

impl Checker {
    pub(crate) fn check_drain(&mut self, received: &ReceivedPart<'_>) {
        let leaving = self
            .replicas
            .get(received.replica)
            .and_then(|r| r.leaving.get(&received.node))
            .copied();
        let Some(listed) = leaving else { return };
        let began = received.first_byte_at;
        if began > listed + self.terms.drain_grace + self.terms.slack
            && !self.was_delayed(received, listed)
            && !self.is_excused(received.node, listed, began)
        {
            let why = format!(
                "sent to {} {:.3} s after it was told to leave",
                received.replica,
                began - listed
            );
            self.report(Rule::DrainsKept, &received.part.search, why);
        }
    }
}
