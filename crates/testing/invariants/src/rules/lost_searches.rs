//! No search is lost: each gets one final answer by its deadline, and no part is sent after it.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{CoordinatorId, Event, EventKind};
use crate::rules::parts::ReceivedPart;
use crate::state::Search;
use crate::units::Seconds;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long before a deadline a stall may have ended and still excuse a late answer.
const STALL_BEFORE_DEADLINE: Seconds = 1.0;
/// Latency of a link up to which an attempt that arrives after the answer was sent after it.
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
            answered: None,
            ended: false,
            disconnected: None,
            attempts: BTreeMap::new(),
            values: BTreeMap::new(),
            second_step_possible: false,
            first_step: None,
            events: vec![event.clone()],
        };
        self.open_search(name, state);
    }

    /// The latest time for a search's answer, `due`, has passed.
    pub(crate) fn answer_overdue(&mut self, name: &Arc<str>, due: Seconds) {
        let Some(search) = self.searches.get(name).filter(|search| search.is_open()) else {
            return;
        };
        if !self.is_excused(search.node, search.deadline - STALL_BEFORE_DEADLINE, due) {
            let why = "no final answer by the end of its time".into();
            self.report(Rule::NoSearchLost, name, why);
        }
        self.end_search(name);
    }

    /// Whether this is the search's one answer; reports a second one and a late one.
    pub(crate) fn accept_final_answer(&mut self, at: Seconds, name: &Arc<str>) -> bool {
        let Some(search) = self.searches.get_mut(name) else {
            return false;
        };
        if search.answered.is_some() {
            self.report(Rule::NoSearchLost, name, "a second final answer".into());
            return false;
        }
        if search.ended {
            return false;
        }
        search.answered = Some(at);
        let (deadline, node) = (search.deadline, search.node);
        if at > self.latest_answer(deadline)
            && !self.is_excused(node, deadline - STALL_BEFORE_DEADLINE, at)
        {
            let why = "its final answer came after its time".into();
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
            let why = "its connection ended without an answer".into();
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
            if self.searches[name].answered.is_none() {
                let why = "its co-ordinator has ended by itself".into();
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

    /// Whether the part was sent for a search that awaits its answer; reports it if not.
    pub(crate) fn check_search_awaits_part(&mut self, received: &ReceivedPart<'_>) -> bool {
        let name = &received.part.search;
        let Some(search) = self.searches.get(name) else {
            let why = format!("a part at {} that no client asked for", received.replica);
            self.report(Rule::NoSearchLost, name, why);
            return false;
        };
        // What was sent before the answer may arrive after it, by the latency of a link.
        let in_flight_for = (self.terms.max_link_latency - SHORT_LATENCY).max(0.0);
        let Some(answered) = search
            .answered
            .filter(|answered| received.at > *answered + in_flight_for)
        else {
            return true;
        };
        if self.was_delayed(received, answered) {
            return true;
        }
        let why = format!(
            "shard {} was sent on {:.6} s after its final answer",
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
            let why = format!("shard {shard} was not asked for");
            self.report(Rule::NoSearchLost, name, why);
        }
    }
}
