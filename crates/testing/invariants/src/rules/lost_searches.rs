//! Checks [`Rule::NoSearchLost`]: each search gets one final answer by its deadline, and no part is sent afterwards.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{CoordinatorId, Event, EventKind};
use crate::rules::parts::ReceivedPart;
use crate::state::Search;
use crate::units::Seconds;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A stall excuses a late answer if the process had recovered from it at most this long before the deadline.
const STALL_BEFORE_DEADLINE: Seconds = 1.0;
/// Part of the link latency that is not tolerated: an attempt sent before the answer may arrive after it by at most
/// the remaining latency.
const SHORT_LATENCY: Seconds = 0.001;

impl Checker {
    pub(crate) fn search_requested(&mut self, event: &Event) {
        let EventKind::Requested {
            node,
            search: name,
            query_type,
            parts,
            deadline,
        } = &event.kind
        else {
            return;
        };
        self.count_accepted(event.at, *node, 1 + parts.len());
        let state = Search {
            node: *node,
            query_type: *query_type,
            parts: parts.clone(),
            deadline: *deadline,
            answered_at: None,
            ended: false,
            disconnected_at: None,
            attempts: BTreeMap::new(),
            values: BTreeMap::new(),
            second_step_possible: false,
            first_step: None,
            events: vec![event.clone()],
        };
        self.open_search(name, state);
    }

    /// Ends a search whose latest time for an answer, `due`, has passed, and reports it if it is still open.
    pub(crate) fn answer_overdue(&mut self, name: &Arc<str>, due: Seconds) {
        let Some(search) = self.searches.get(name).filter(|search| search.is_open()) else {
            return;
        };
        if !self.is_excused(search.node, search.deadline - STALL_BEFORE_DEADLINE, due) {
            let why = "no final answer within the deadline and the grace period".into();
            self.report(Rule::NoSearchLost, name, why);
        }
        self.end_search(name);
    }

    /// Records a final answer; reports a second or late one. Returns whether the search was awaiting it.
    pub(crate) fn accept_final_answer(&mut self, at: Seconds, name: &Arc<str>) -> bool {
        let Some(search) = self.searches.get_mut(name) else {
            return false;
        };
        if search.answered_at.is_some() {
            self.report(
                Rule::NoSearchLost,
                name,
                "client received a second final answer".into(),
            );
            return false;
        }
        if search.ended {
            return false;
        }
        search.answered_at = Some(at);
        let (deadline, node) = (search.deadline, search.node);
        if at > self.latest_answer(deadline)
            && !self.is_excused(node, deadline - STALL_BEFORE_DEADLINE, at)
        {
            let why = format!("final answer {:.3} s after the deadline", at - deadline);
            self.report(Rule::NoSearchLost, name, why);
        }
        self.end_search(name);
        true
    }

    pub(crate) fn connection_closed(&mut self, name: &Arc<str>) {
        let Some(search) = self.searches.get(name).filter(|search| search.is_open()) else {
            return;
        };
        if !search.attempts.is_empty() {
            let why = "connection closed without an answer after a part was sent".into();
            self.report(Rule::NoSearchLost, name, why);
        }
        self.end_search(name);
    }

    pub(crate) fn coordinator_killed(&mut self, node: CoordinatorId) {
        for name in self.searches_of(node) {
            self.end_search(&name);
        }
    }

    pub(crate) fn coordinator_ended(&mut self, node: CoordinatorId) {
        let searches = self.searches_of(node);
        for name in &searches {
            if self.searches[name].answered_at.is_none() {
                let why = "co-ordinator exited before it answered".into();
                self.report(Rule::NoSearchLost, name, why);
            }
        }
        for name in &searches {
            self.end_search(name);
        }
    }

    fn searches_of(&self, node: CoordinatorId) -> Vec<Arc<str>> {
        self.searches
            .iter()
            .filter(|(_, search)| search.node == node && !search.ended)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Reports a part of an unknown search, and one that was sent after the final answer. Returns whether the part was
    /// allowed.
    pub(crate) fn check_search_awaits_part(&mut self, received: &ReceivedPart<'_>) -> bool {
        let name = &received.part.search;
        let Some(search) = self.searches.get(name) else {
            let why = format!("{} received a part of an unknown search", received.replica);
            self.report(Rule::NoSearchLost, name, why);
            return false;
        };
        // A part that was sent before the answer may arrive after it, by up to the latency of a link.
        let in_flight_for = (self.terms.max_link_latency - SHORT_LATENCY).max(0.0);
        let Some(answered) = search
            .answered_at
            .filter(|answered| received.at > *answered + in_flight_for)
        else {
            return true;
        };
        if self.was_delayed(received, answered) {
            return true;
        }
        let why = format!(
            "{} received a part for shard {} {:.6} s after the final answer",
            received.replica,
            received.part.shard,
            received.at - answered
        );
        self.report(Rule::NoSearchLost, name, why);
        false
    }

    /// Reports a part for a shard that the search doesn't query.
    pub(crate) fn check_shard_requested(&mut self, received: &ReceivedPart<'_>) {
        let (name, shard) = (&received.part.search, received.part.shard);
        let requested = self
            .searches
            .get(name)
            .is_some_and(|search| search.parts.iter().any(|part| part.shard == shard));
        if !requested {
            let why = format!(
                "replica received a part for shard {shard}, which the search does not query"
            );
            self.report(Rule::NoSearchLost, name, why);
        }
    }
}
