//! The core task: it owns the routing decisions, the searches in flight, their timers and the clock.
//!
//! Other tasks reach it through its event queue only; endpoint lists are applied first. All that belongs to a
//! search meets here, so that one task alone decides about it: the request from the front, the answers from
//! connections, and the time. Each turn of the loop in [`Core::run`] handles all events that are queued, asks
//! the search table for plans of what is new, and after two such passes hands the attempts to their
//! connections. It never blocks and never touches a socket. Start reading at [`Core::run`]:
//!
//! - [`handlers`]: one function for each event and timer.
//! - [`executor`]: carries out the plans of the routing decisions.
//! - [`timers`]: the timers and their order.
//! - [`endpoint_updates`]: endpoint lists and what other co-ordinators say of endpoints.
//! - [`observations`]: what the peers receive about zones and warming replicas.
//! - [`usage_report`]: the periodic report of what is in memory.

mod config;
mod endpoint_updates;
mod executor;
mod handlers;
mod observations;
mod timers;
mod usage_report;

pub use config::CoreConfig;
pub(crate) use observations::ObservationSender;

use crate::events::{EndpointList, EndpointReports, Event, Usage};
use crate::replicas::Replicas;
use crate::sockets::Sockets;
use endpoint_updates::EndpointState;
use executor::Executor;
use std::collections::BTreeMap;
use timers::{DueTimer, Timer};
use tokio::sync::mpsc;
use tracing::warn;
use woadreach_routing::api::Settings;
use woadreach_runtime::Net;
use woadreach_search_driver::SearchTable;
use woadreach_search_driver::comparison::ProposedLimits;

/// How often idle connections to replicas are looked for, in seconds. A finer interval gains nothing, since
/// idle connections are not used either.
const IDLE_SWEEP_INTERVAL: f64 = 1.0;

/// Seconds after which a process without an endpoint list reports that it is ready, and sheds all searches.
///
/// A process that starts while discovery is down would otherwise never let clients in: a shed reply states
/// when to come back, a refused connection does not. Operators count a process that is not ready after 10 s as
/// failed; two seconds remain for their check. A client that another process could have served asks twice.
const FIRST_LIST_TIMEOUT: f64 = 8.0;

/// What ended a wait of the core task.
enum Wake {
    Event(Event),
    /// A list, which has been applied, a timer, or work that the last pass has left.
    Other,
    /// The event queue is closed: the process ends.
    Closed,
}

/// Receives the report of usage every few seconds.
pub type UsageCallback = Box<dyn Fn(&Usage)>;

/// The core task's state. See the module's documentation.
pub(crate) struct Core<N: Net> {
    search_table: SearchTable,
    executor: Executor<N>,
    /// Numbers of the zones, by name: those of the settings first, then others as lists name them.
    zones: BTreeMap<String, u64>,
    sockets: Sockets,
    /// Whether any list has named an endpoint so far.
    knows_endpoints: bool,
    /// Whether it was logged that no list has done so within [`FIRST_LIST_TIMEOUT`].
    first_list_timed_out: bool,
    /// Longest wait of an event since the last usage report, in seconds.
    max_event_delay_s: f64,
    on_usage: UsageCallback,
    observation_sender: Option<ObservationSender>,
    endpoints: EndpointState,
}

impl<N: Net> Core<N> {
    /// A core without endpoints; `on_usage` receives the usage every few seconds.
    pub(crate) fn new(
        net: N,
        settings: Settings,
        config: CoreConfig,
        replicas: Replicas<N>,
        sockets: Sockets,
        on_usage: UsageCallback,
    ) -> Self {
        let zones = config.zones.iter().cloned().zip(0..).collect();
        Core {
            search_table: SearchTable::new(settings),
            executor: Executor::new(net, config, replicas),
            zones,
            sockets,
            knows_endpoints: false,
            first_list_timed_out: false,
            max_event_delay_s: 0.0,
            on_usage,
            observation_sender: None,
            endpoints: EndpointState::default(),
        }
    }

    /// Counts from now on where the settings of another deployment would have decided otherwise.
    pub(crate) fn compare_with(&mut self, limits: ProposedLimits, query_types: &[String]) {
        self.search_table.compare_with(limits, query_types);
    }

    /// Sends from now on what this process observes of zones, and what its endpoint list says of replicas.
    pub(crate) fn report_to_peers(
        &mut self,
        observations: ObservationSender,
        endpoint_reports: EndpointReports,
    ) {
        self.observation_sender = Some(observations);
        self.endpoints.report_to(endpoint_reports);
        self.schedule_observation(self.executor.now);
    }

    /// Runs until the event queue closes. Calls `on_ready` once it knows of endpoints, or has waited for them
    /// for [`FIRST_LIST_TIMEOUT`].
    pub(crate) async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut lists: mpsc::UnboundedReceiver<EndpointList>,
        on_ready: impl Fn(),
    ) {
        let now = self.executor.now;
        self.executor.timers.insert(now, Timer::IdleSweep);
        self.executor.timers.insert(now, Timer::UsageReport);
        loop {
            if self.check_ready() {
                on_ready();
            }
            let first = match self.next_input(&mut events, &mut lists).await {
                Wake::Event(event) => Some(event),
                Wake::Other => None,
                Wake::Closed => return,
            };
            while let Ok(list) = lists.try_recv() {
                self.apply_endpoint_list(list);
            }
            self.process_queued(first, &mut events);
            // If the machine has held this pass up, clients may have disconnected meanwhile: sockets are polled
            // once more before any part is sent, which takes some microseconds.
            self.executor.net.yield_now().await;
            self.process_queued(None, &mut events);
            self.executor.replicas.flush(self.executor.now);
        }
    }

    /// Whether the process knows of endpoints, or has waited for them for [`FIRST_LIST_TIMEOUT`], which is logged
    /// once.
    fn check_ready(&mut self) -> bool {
        if self.knows_endpoints {
            return true;
        }
        let timed_out = self.executor.now > self.executor.timers.start() + FIRST_LIST_TIMEOUT;
        if timed_out && !self.first_list_timed_out {
            self.first_list_timed_out = true;
            warn!(
                timeout_s = FIRST_LIST_TIMEOUT,
                "no endpoint list received, ready without one"
            );
        }
        timed_out
    }

    /// Waits for an event, a list, the next timer or work that is left.
    async fn next_input(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<Event>,
        lists: &mut mpsc::UnboundedReceiver<EndpointList>,
    ) -> Wake {
        let idle_until = self.executor.now + IDLE_SWEEP_INTERVAL;
        let due = self.executor.timers.next_due().unwrap_or(idle_until);
        let has_work =
            !self.executor.replicas.outcomes.is_empty() || !self.executor.second_steps.is_empty();
        tokio::select! {
            biased;
            Some(list) = lists.recv() => self.apply_endpoint_list(list),
            event = events.recv() => return event.map_or(Wake::Closed, Wake::Event),
            () = self.executor.net.sleep_until(due), if !has_work => {}
            () = std::future::ready(()), if has_work => {}
        }
        Wake::Other
    }

    /// One pass: second steps, outcomes, the events that are queued by now, due timers, then new searches.
    fn process_queued(
        &mut self,
        mut first: Option<Event>,
        events: &mut mpsc::UnboundedReceiver<Event>,
    ) {
        let now = self.executor.net.now();
        self.executor.now = now;
        self.begin_second_steps();
        self.process_outcomes(now);
        // Only what is queued by now, so that a pass ends.
        for _ in 0..=events.len() {
            let Some(event) = first.take().or_else(|| events.try_recv().ok()) else {
                break;
            };
            self.handle_event(now, event);
        }
        while let Some(DueTimer { due, timer }) = self.executor.timers.pop_due(now) {
            self.handle_timer(now, due, timer);
        }
        for search in std::mem::take(&mut self.executor.unplaced) {
            self.search_table.place(now, search, &mut self.executor);
        }
    }
}
