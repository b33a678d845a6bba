//! No effect happens twice: a part runs again only where its query type allows it.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::rules::parts::ReceivedPart;
use crate::state::{Attempt, PartKey};
use crate::terms::Repeats;
use crate::units::Seconds;
use std::sync::Arc;

impl Checker {
    /// The client has read that its search was shed.
    pub(crate) fn search_shed(&mut self, at: Seconds, name: &Arc<str>) {
        if self.accept_final_answer(at, name) {
            self.check_shed(name);
        }
    }

    /// Reports a search that was shed although a part of it may have run and must not run again.
    fn check_shed(&mut self, name: &Arc<str>) {
        let Some(search) = self.searches.get(name) else {
            return;
        };
        let repeats = self
            .terms
            .query_types
            .get(search.query_type)
            .map(|terms| terms.repeats);
        if repeats == Some(Repeats::NonIdempotent)
            && search
                .attempts
                .values()
                .flatten()
                .any(|attempt| !attempt.rejected)
        {
            let why = "shed, though a part of it may have run".into();
            self.report(Rule::NoEffectTwice, name, why);
        }
    }

    /// Records the attempt; reports it if an earlier one may have run and the part must not run again.
    pub(crate) fn check_repeat(&mut self, received: &ReceivedPart<'_>) {
        let (name, part) = (&received.part.search, received.part);
        let Some(search) = self.searches.get(name) else {
            return;
        };
        let repeats = self
            .terms
            .query_types
            .get(search.query_type)
            .map_or(Repeats::Idempotent, |terms| terms.repeats);
        let attempts = search.attempts.get(&PartKey::from(part));
        let first = attempts.and_then(|all| all.first());
        let is_retry = first.is_some();
        // When a delayed attempt was written is unknown here.
        let delayed = first.is_some_and(|attempt| self.was_delayed(received, attempt.at));
        let may_have_run = attempts
            .into_iter()
            .flatten()
            .find(|attempt| !attempt.rejected);
        let forbidden = may_have_run
            .and_then(|earlier| self.why_forbidden(repeats, earlier, received, delayed));
        self.record_attempt(received);
        if let Some(why) = forbidden {
            let (shard, replica) = (part.shard, received.replica);
            let why = format!("shard {shard} was sent again, to {replica}: {why}");
            self.report(Rule::NoEffectTwice, name, why);
        }
        self.check_shard_requested(received);
        if is_retry && !delayed {
            self.check_retry_budget(received.at, received.node);
        }
    }

    fn record_attempt(&mut self, received: &ReceivedPart<'_>) {
        let attempt = Attempt {
            replica: received.replica.clone(),
            at: received.at,
            rejected: false,
        };
        if let Some(search) = self.searches.get_mut(&received.part.search) {
            search
                .attempts
                .entry(PartKey::from(received.part))
                .or_default()
                .push(attempt);
        }
    }

    /// Why the part must not run again after `earlier`, which may have run; none if it may.
    fn why_forbidden(
        &self,
        repeats: Repeats,
        earlier: &Attempt,
        received: &ReceivedPart<'_>,
        delayed: bool,
    ) -> Option<String> {
        let elapsed = received.at - earlier.at;
        match repeats {
            Repeats::Idempotent => None,
            Repeats::NonIdempotent => Some(format!("{} may have run it", earlier.replica)),
            Repeats::Tokened { window, .. }
                if received.at > earlier.at + window + self.terms.slack && !delayed =>
            {
                Some(format!(
                    "{elapsed:.3} s after {} may have run it",
                    earlier.replica
                ))
            }
            Repeats::Tokened { any_holder, .. } => (!any_holder
                && earlier.replica != *received.replica)
                .then(|| format!("only {} knows its token", earlier.replica)),
        }
    }
}
