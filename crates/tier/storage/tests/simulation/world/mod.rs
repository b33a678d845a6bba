//! One simulation run: its state, its event queue, and the dispatch of events.

mod competition;
mod final_reads;
mod jobs;
mod machines;
mod network;
mod pulls;
mod slow_turns;
mod turns;
mod views;

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use woadreach_sim_support::EventQueue;

use self::competition::Competition;
use self::network::Call;
use self::slow_turns::SlowTurns;
use self::turns::Program;
use super::core::Core;
use super::event::{Endpoint, Event};
use super::faults::Fault;
use super::final_fault::FinalFault;
use super::machine::Machine;
use super::mutation::Mutation;
use super::oracle::Oracle;
use super::proxy::Proxy;
use super::violation::Violation;

/// Simulated time at which the first turn starts.
const START_OF_TRAFFIC: Duration = Duration::from_secs(3);
/// Time from the end of the faults to the final reads; the proxies' background retries end within it.
const QUIET_PERIOD: Duration = Duration::from_secs(12);

/// A violation and the simulated time at which it was found.
#[derive(Debug)]
pub(crate) struct FoundViolation {
    pub violation: Violation,
    pub at: Duration,
}

impl Display for FoundViolation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} at {:?}", self.violation, self.at)
    }
}

/// The simulated tier, its faults and its queue of events.
pub(crate) struct World {
    pub now: Duration,
    pub random: Rand64,
    pub mutation: Mutation,
    pub tolerated_losses: usize,
    pub machines: Vec<Machine>,
    pub core: Core,
    pub proxies: Vec<Proxy>,
    pub oracle: Oracle,
    /// Time until which each of the tolerated losses is in use.
    pub losses: Vec<Duration>,
    pub end_of_faults: Duration,
    pub acknowledgements_per_fault: u64,
    pub final_fault: FinalFault,
    /// Whether the run's drawn faults are membership changes only.
    pub is_membership_run: bool,
    /// Whether proxies receive all new views late.
    has_late_views: bool,
    events: EventQueue<Duration, Event>,
    deferred: BTreeMap<usize, Vec<Event>>,
    /// Number of the latest call or job.
    last_number: u64,
    calls: BTreeMap<u64, Call>,
    programs: Vec<Program>,
    /// Slow turns, if the run has any.
    slow_turns: Option<SlowTurns>,
    /// Competing reservations, if the run has any.
    competition: Option<Competition>,
    has_commit_in_flight: bool,
    is_traced: bool,
    pub violation: Option<Violation>,
}

impl World {
    pub(crate) fn new(seed: u64, mutation: Mutation) -> World {
        let mut random = Rand64::new(u128::from(seed));
        let tolerated_losses = if random.rand_range(0..5) == 0 { 2 } else { 1 };
        let machines = 2 * tolerated_losses + 1 + random.rand_range(0..2) as usize;
        let proxies = random.rand_range(2..4) as usize;
        let programs = random.rand_range(2..6);
        let traffic = Duration::from_millis(random.rand_range(4_000..14_000));
        let mut world = World {
            now: Duration::ZERO,
            mutation,
            tolerated_losses,
            machines: Vec::new(),
            core: Core::new(Instant::now()),
            proxies: (0..proxies)
                .map(|_| Proxy {
                    view: Arc::default(),
                    jobs: BTreeMap::new(),
                })
                .collect(),
            oracle: Oracle::default(),
            losses: vec![Duration::ZERO; tolerated_losses],
            end_of_faults: START_OF_TRAFFIC + traffic,
            acknowledgements_per_fault: if random.rand_range(0..2) == 0 {
                0
            } else {
                random.rand_range(5..40)
            },
            final_fault: FinalFault::Never,
            is_membership_run: random.rand_range(0..4) == 0,
            has_late_views: random.rand_range(0..3) == 0,
            events: EventQueue::new(),
            deferred: BTreeMap::new(),
            last_number: 0,
            calls: BTreeMap::new(),
            programs: (0..programs)
                .map(|number| Program::draw(number, &mut random))
                .collect(),
            slow_turns: SlowTurns::draw(seed),
            competition: Competition::draw(seed),
            has_commit_in_flight: false,
            is_traced: std::env::var_os("STORAGE_TRACE").is_some(),
            violation: None,
            random,
        };
        for _ in 0..machines {
            world.add_machine();
        }
        world.after(Duration::from_millis(100), Event::Plan);
        world.at(START_OF_TRAFFIC, Event::Turn);
        let first_fault = START_OF_TRAFFIC + world.millis(100, 2_000);
        if !has_only_planned_work(seed) {
            world.at(first_fault, Event::Fault(Fault::Draw));
        }
        if has_planned_work(seed) {
            world.at(first_fault, Event::Fault(Fault::DrawPlanned));
        }
        let final_reads = world.end_of_faults + QUIET_PERIOD;
        world.at(final_reads, Event::FinalReads);
        world
    }

    /// Runs to the end or to the first violation, which is returned with its simulated time.
    pub(crate) fn run(mut self) -> Option<FoundViolation> {
        let end = self.end_of_faults + QUIET_PERIOD + jobs::READ_TIMEOUT * 2;
        while self.violation.is_none()
            && let Some(due) = self.events.pop_due(&end)
        {
            self.now = due.at;
            self.dispatch(due.event);
        }
        let at = self.now;
        self.violation
            .map(|violation| FoundViolation { violation, at })
    }

    pub(crate) fn chance(&mut self, one_in: u64) -> bool {
        self.random.rand_range(0..one_in) == 0
    }

    pub(crate) fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.random.rand_range(from * 1_000..to * 1_000))
    }

    pub(crate) fn at(&mut self, time: Duration, event: Event) {
        self.events.schedule(time, event);
    }

    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn record_check(&mut self, outcome: Result<(), Violation>) {
        if let Err(violation) = outcome {
            self.violation.get_or_insert(violation);
        }
    }

    /// Prints a step of the run if `STORAGE_TRACE` is set.
    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.is_traced {
            eprintln!("{:?} {}", self.now, text());
        }
    }

    fn dispatch(&mut self, event: Event) {
        let machine = match &event {
            Event::Request { to, .. } => Some(*to),
            Event::SyncDone { machine, .. } | Event::Announce { machine, .. } => Some(*machine),
            Event::View {
                to: Endpoint::Machine(machine),
                ..
            } => Some(*machine),
            _ => None,
        };
        if let Some(index) = machine.filter(|index| self.machines[*index].frozen) {
            self.deferred.entry(index).or_default().push(event);
            return;
        }
        match event {
            Event::Request { to, call, request } => self.on_request(to, call, request),
            Event::Response { call, response } => self.on_call_completed(call, Some(response)),
            Event::CallTimeout { call } => self.on_call_completed(call, None),
            Event::SyncDone {
                machine,
                incarnation,
            } => self.on_sync_done(machine, incarnation),
            Event::Announce {
                machine,
                incarnation,
            } => self.on_announce(machine, incarnation),
            Event::Announced(announcement) if !self.core.frozen => {
                self.core.record(self.now, announcement)
            }
            Event::Announced(_) => {}
            Event::Plan => self.on_plan(),
            Event::Commit(view) => self.on_commit(view),
            Event::View { to, view } => self.on_view(to, view),
            Event::Turn => self.on_turn(),
            Event::Reserve { proxy, program, id } => self.start_reservation(proxy, program, id),
            Event::TurnEnded { proxy, program, id } => self.on_turn_ended(proxy, program, id),
            Event::Resend { proxy, job } => self.send_job(proxy, job),
            Event::Deadline { proxy, job } => self.on_deadline(proxy, job),
            Event::Fault(fault) => {
                self.trace(|| format!("{fault:?}"));
                self.on_fault(fault);
            }
            Event::FinalReads => self.on_final_reads(),
        }
    }
}

/// One run in three has planned work; half of these have no other drawn faults.
fn has_planned_work(seed: u64) -> bool {
    seed % 3 == 2
}

fn has_only_planned_work(seed: u64) -> bool {
    seed % 6 == 2
}
