//! Checks [`Rule::NoEffectTwice`]: a part runs again only if its query type allows it.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::rules::parts::ReceivedPart;
use crate::state::{Attempt, PartKey};
use crate::terms::Repeats;
use crate::units::Seconds;
use std::sync::Arc;

impl Checker {
    /// Handles [`EventKind::Shed`](crate::EventKind::Shed).
    pub(crate) fn search_shed(&mut self, at: Seconds, name: &Arc<str>) {
        if self.accept_final_answer(at, name) {
            self.check_shed(name);
        }
    }

    /// Reports a shed search if a non-idempotent part of it may have run: a client retries a search that was shed.
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
            let why = "shed, but a non-idempotent part of it may have run".into();
            self.report(Rule::NoEffectTwice, name, why);
        }
    }

    /// Records an attempt. Reports it if an earlier attempt may have run and the part must not run again, and counts
    /// a retry in the retry budget.
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
        // The time at which a delayed attempt was written is unknown.
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
            let why = format!("part for shard {shard} was sent again, to {replica}: {why}");
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

    /// Reason why the part must not run again after `earlier`, which may have run; `None` if it may run again.
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
                    "{elapsed:.3} s after {} may have run it; its token is valid for {window} s",
                    earlier.replica
                ))
            }
            Repeats::Tokened { any_holder, .. } => (!any_holder
                && earlier.replica != *received.replica)
                .then(|| format!("only {} recognizes its token", earlier.replica)),
        }
    }
}
