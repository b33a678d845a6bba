//! One function for each event and timer of the core task.
//!
//! A search enters here: [`Core::search_arrived`] sheds it at a limit of this process, or adds it to the search
//! table, from where the pass has it placed. Its replicas' answers enter here too; the routing decisions then
//! say, through [`super::executor`], whether it is finished.

use super::executor::{PartAnswer, Request};
use super::observations::FAULT_OBSERVATION_INTERVAL;
use super::timers::Timer;
use super::{Core, IDLE_SWEEP_INTERVAL};
use crate::events::{Answer, Arrival, ConnectionEvent, ConnectionId, Event};
use tracing::debug;
use woadreach_routing::api::{Ending, Search};
use woadreach_runtime::Net;
use woadreach_search_driver::{InFlightCounts, TIMER_PRECISION};

impl<N: Net> Core<N> {
    pub(super) fn handle_event(&mut self, now: f64, event: Event) {
        match event {
            Event::SearchArrived(arrival) => self.search_arrived(now, *arrival),
            Event::AnswerNotOwed(search) => {
                self.search_table
                    .client_disconnected(now, search, &mut self.executor);
                self.executor.send_delayed_answer(search);
            }
            Event::ZoneFailover(state) => self.search_table.set_zone_failover(now, Some(state)),
            Event::Role(update) => self.apply_role_update(now, update),
            Event::Connection(id, event) => self.handle_connection_event(now, id, event),
        }
    }

    pub(super) fn handle_timer(&mut self, now: f64, due: f64, timer: Timer) {
        match timer {
            Timer::Search(search) => self
                .search_table
                .timer_fired(now, search, &mut self.executor),
            Timer::Answer(search) => self.executor.send_delayed_answer(search),
            Timer::AttemptTimeout(attempt) => {
                self.executor.replicas.time_out(now, attempt);
                self.process_outcomes(now);
            }
            Timer::AttemptBeginBy(attempt) => {
                self.executor.replicas.withdraw(now, attempt);
                self.process_outcomes(now);
            }
            Timer::IdleSweep => {
                self.executor.replicas.close_idle(now);
                self.executor
                    .timers
                    .insert(now + IDLE_SWEEP_INTERVAL, Timer::IdleSweep);
            }
            Timer::Observation => {
                let next = self.observation_sender.as_ref().map(|s| s.next_due);
                if next.is_some_and(|next| now + TIMER_PRECISION >= next) {
                    self.send_observations(now);
                }
            }
            Timer::UsageReport => self.report_usage(now, due),
        }
    }

    /// Hands the outcomes of attempts that have ended to the routing decisions.
    pub(super) fn process_outcomes(&mut self, now: f64) {
        for _ in 0..self.executor.replicas.outcomes.len() {
            let Some(outcome) = self.executor.replicas.outcomes.pop_front() else {
                return;
            };
            self.search_table
                .attempt_finished(now, &outcome, &mut self.executor);
            if outcome.ending != Ending::Answered {
                self.schedule_observation(now + FAULT_OBSERVATION_INTERVAL);
            }
        }
    }

    /// Adds the parts of second steps that the last pass prepared, and has them placed.
    pub(super) fn begin_second_steps(&mut self) {
        for step in std::mem::take(&mut self.executor.second_steps) {
            let weight = 1.0 / step.shards.len().max(1) as f64;
            for shard in step.shards {
                let id = self.executor.new_part();
                self.search_table.add_part(step.search, id, shard, weight);
            }
            self.executor.unplaced.push(step.search);
        }
    }

    fn handle_connection_event(&mut self, now: f64, id: ConnectionId, event: ConnectionEvent) {
        if let ConnectionEvent::AnswerReceived { at, .. } = event {
            self.max_event_delay_s = self.max_event_delay_s.max(now - at);
        }
        if let Some(answered) = self.executor.replicas.handle_event(now, id, event)
            && let Some(search) = self.search_table.search_of(answered.attempt.part)
            && let Some(request) = self.executor.requests.get_mut(&search)
        {
            // The first answer of a part stands, as it does for the routing decisions.
            request
                .answers
                .entry(answered.attempt.part)
                .or_insert(PartAnswer {
                    score: answered.score,
                    value: answered.value,
                });
        }
        self.process_outcomes(now);
    }

    fn search_arrived(&mut self, now: f64, arrival: Arrival) {
        self.max_event_delay_s = self.max_event_delay_s.max(now - arrival.received_at);
        self.executor.expire_traces(now);
        if self.executor.traces.contains(&arrival.trace) {
            debug!(trace = %arrival.trace, "search rejected, duplicate trace id");
            let _ = arrival.reply.send(Answer::DuplicateTrace);
            return;
        }
        if self.exceeds_limits(&arrival) {
            let _ = arrival.reply.send(Answer::Shed { retry_after_s: 0.0 });
            return;
        }
        debug!(
            trace = %arrival.trace,
            query_type = arrival.query_type.0,
            parts = arrival.parts.len(),
            time_left_s = arrival.client_deadline - arrival.received_at,
            "search arrived"
        );
        self.take_search(arrival);
    }

    /// Whether the search is one too many: the settings bound the searches and parts in flight, the memory the
    /// bytes of their requests.
    fn exceeds_limits(&self, arrival: &Arrival) -> bool {
        let InFlightCounts { searches, parts } = self.search_table.in_flight();
        let in_flight = searches + parts + 1 + arrival.parts.len();
        let request_bytes = self.executor.request_bytes + arrival.bytes;
        let config = &self.executor.config;
        let exceeds = in_flight > config.max_in_flight || request_bytes > config.max_request_bytes;
        if exceeds {
            debug!(trace = %arrival.trace, searches, parts, "search shed, too much in flight");
        }
        exceeds
    }

    fn take_search(&mut self, mut arrival: Arrival) {
        let id = arrival.search;
        let mut search = Search::new(
            id,
            arrival.query_type,
            arrival.tenant,
            arrival.received_at,
            arrival.client_deadline,
        );
        search.marked_as_retry = arrival.marked_as_retry;
        self.search_table.insert(search);
        for requested in std::mem::take(&mut arrival.parts) {
            let part = self.executor.new_part();
            self.search_table
                .add_part(id, part, requested.shard, requested.weight);
        }
        self.executor.insert(id, Request::new(arrival));
    }
}
