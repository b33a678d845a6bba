//! State machine of an observer of the core, without I/O: decides which core machines to poll and when, and merges
//! their answers. Driven by [`ControlWatch`](crate::ControlWatch).
//!
//! [`TARGET_POLLED_MACHINES`](crate::selection::TARGET_POLLED_MACHINES) healthy machines are polled concurrently.
//! A machine that does not answer, or is out of quorum, is still polled (with backoff if it does not answer), and the
//! next machine by rank is polled in addition. Ranks depend on the name of the process, which distributes the processes
//! over the core machines. A process that has received no answer from a machine in quorum for
//! [`QUORUM_CONTACT_TIMEOUT`] chooses from all addresses that it knows: the core view, the seeds, and the core machines
//! found by peer sampling.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::CommittedValue;
use crate::messages::{CoreView, PollRequest, PollResponse, VersionedBytes};
use crate::polled_machine::{PollState, PolledMachine, backoff_after};
use crate::replica_table::ReplicaTable;
use crate::selection::{MachineHealth, rank, select};
use crate::watch_change::WatchChange;

/// Time for which an unhealthy machine that is no longer polled still counts as unhealthy.
pub const UNHEALTHY_RETRY_INTERVAL: Duration = Duration::from_millis(4000);
/// Time for which a core machine may delay its answer to a poll while there are no updates.
pub const POLL_WAIT: Duration = Duration::from_millis(1000);
/// Time beyond [`POLL_WAIT`] after which an unanswered poll has failed.
pub const POLL_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Time without an answer of a machine in quorum after which the process counts as disconnected from the core.
pub const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time-out of the first attempt to fetch a configuration. Each failed attempt extends the time-out by this value, up
/// to [`MAX_FETCH_TIMEOUT`].
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time-out of an attempt to fetch a configuration.
pub const MAX_FETCH_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time that a starting process waits, after its first complete list, for the other polled machines to answer.
pub const WARM_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// Call that the driver has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Poll a core machine.
    Poll {
        /// Internal address of the core machine.
        machine: SocketAddr,
        /// The request to send.
        request: PollRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Fetch the configuration from a core machine.
    FetchConfiguration {
        /// Internal address of the core machine.
        machine: SocketAddr,
        /// Time after which the call has failed.
        timeout: Duration,
    },
}

/// Whether a configuration fetch is in flight. `attempts` counts the failed fetches since the last fetch that
/// returned a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchState {
    /// No fetch is in flight. The next may start at `next_at` if a newer configuration has been reported.
    Idle { next_at: Duration, attempts: u32 },
    /// A fetch from `machine` is in flight.
    Fetching { machine: SocketAddr, attempts: u32 },
}

/// Progress of a starting process towards a complete and current state.
///
/// | state | event | next |
/// | --- | --- | --- |
/// | awaiting a list | a trusted machine has sent its complete list | listed |
/// | listed | the newest configuration is known, and all polled machines have answered | warm |
/// | listed | the newest configuration is known, and [`WARM_UP_TIMEOUT`] has passed | warm |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmUp {
    /// No trusted machine has sent its complete list of replicas yet.
    AwaitingList,
    /// The first complete list of a trusted machine was received at `since`.
    Listed { since: Duration },
    /// The process has reached a complete and current state. Final.
    Warm,
}

/// State of the core as known to one process, and state of the process's polls and fetches.
pub struct Watcher {
    /// Name of the process, which determines the ranks of the core machines.
    name: String,
    /// Internal addresses of the core machines in the settings. They are polled while no core view is known or the
    /// process is disconnected.
    seeds: Vec<SocketAddr>,
    /// Internal addresses of the core machines found by peer sampling.
    sampled_machines: Vec<SocketAddr>,
    /// Epoch of the newest core view received; 0 before the first.
    view_epoch: u64,
    /// Internal addresses of the core machines in the newest core view; empty before the first.
    core_machines: Vec<SocketAddr>,
    /// Polled machines by internal address.
    machines: BTreeMap<SocketAddr, PolledMachine>,
    /// Unhealthy machines that are no longer polled, and the time until which they count as unhealthy.
    unhealthy_until: BTreeMap<SocketAddr, Duration>,
    /// Newest configuration generation reported by any machine.
    newest_reported_generation: u64,
    table: ReplicaTable,
    /// Generation of the newest fetched configuration; 0 before the first.
    configuration_generation: u64,
    /// Newest storage view received, with its epoch as the version; `None` before the first.
    storage_view: Option<CommittedValue>,
    fetch: FetchState,
    /// Time of the last answer of any core machine; `None` before the first.
    last_answer_at: Option<Duration>,
    /// Time of the last answer of a machine in quorum; `None` before the first.
    last_quorum_answer_at: Option<Duration>,
    started_at: Duration,
    warm_up: WarmUp,
}

impl Watcher {
    /// Creates the state of the process `name`, which starts at `now`. `seeds` are internal addresses.
    pub fn new(now: Duration, name: String, seeds: Vec<SocketAddr>) -> Self {
        Self {
            name,
            seeds,
            sampled_machines: Vec::new(),
            view_epoch: 0,
            core_machines: Vec::new(),
            machines: BTreeMap::new(),
            unhealthy_until: BTreeMap::new(),
            newest_reported_generation: 0,
            table: ReplicaTable::default(),
            configuration_generation: 0,
            storage_view: None,
            fetch: FetchState::Idle {
                next_at: now,
                attempts: 0,
            },
            last_answer_at: None,
            last_quorum_answer_at: None,
            started_at: now,
            warm_up: WarmUp::AwaitingList,
        }
    }

    /// Merged table of the known replicas.
    pub fn table(&self) -> &ReplicaTable {
        &self.table
    }

    /// Internal addresses of the core machines in the newest [`CoreView`]; empty before the first.
    pub fn core_machines(&self) -> &[SocketAddr] {
        &self.core_machines
    }

    /// Newest storage view, with its epoch as the version; `None` before the first.
    pub fn storage_view(&self) -> Option<&CommittedValue> {
        self.storage_view.as_ref()
    }

    /// Generation of the newest fetched configuration; 0 before the first.
    pub fn configuration_generation(&self) -> u64 {
        self.configuration_generation
    }

    /// Time of the last answer of any core machine; `None` before the first.
    pub fn last_answer_at(&self) -> Option<Duration> {
        self.last_answer_at
    }

    /// Whether the process has, at any time since its start, had both a complete list of replicas from a trusted
    /// machine and the newest configuration that any machine had reported. Never reset.
    pub fn has_reached_current_state(&self) -> bool {
        self.warm_up == WarmUp::Warm
    }

    /// Whether no core machine in quorum has answered for [`QUORUM_CONTACT_TIMEOUT`].
    pub fn is_disconnected(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_quorum_answer_at.unwrap_or(self.started_at))
            >= QUORUM_CONTACT_TIMEOUT
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Replaces the internal addresses of the core machines found by peer sampling. They are polled only while this
    /// process [is disconnected](Self::is_disconnected).
    pub fn set_sampled_machines(&mut self, sampled_machines: Vec<SocketAddr>) {
        self.sampled_machines = sampled_machines;
    }

    /// Starts all calls that are due at `now`, and returns them for the driver to send.
    pub fn start_due_calls(&mut self, now: Duration) -> Vec<WatchAction> {
        let machines_to_poll = self.machines_to_poll(now);
        self.stop_polling_others(now, &machines_to_poll);
        let mut actions: Vec<WatchAction> = machines_to_poll
            .into_iter()
            .filter_map(|address| self.start_poll(now, address))
            .collect();
        actions.extend(self.start_fetch(now));
        actions
    }

    /// Starts a poll of the machine at `address` if it is due.
    fn start_poll(&mut self, now: Duration, address: SocketAddr) -> Option<WatchAction> {
        let storage_epoch = self.storage_epoch();
        let machine = self
            .machines
            .entry(address)
            .or_insert_with(|| PolledMachine::new(now));
        match machine.state {
            PollState::Idle { next_at } if next_at <= now => {}
            _ => return None,
        }
        machine.state = PollState::Polling { since: now };
        let request = PollRequest {
            configuration_generation: self
                .configuration_generation
                .max(machine.reported_generation),
            view_epoch: self.view_epoch,
            storage_epoch,
            registry: self.table.version(address),
            core_status: machine.core_status,
            wait_ms: POLL_WAIT.as_millis() as u32,
        };
        Some(WatchAction::Poll {
            machine: address,
            request,
            timeout: POLL_WAIT + POLL_GRACE_PERIOD,
        })
    }

    fn storage_epoch(&self) -> u64 {
        self.storage_view.as_ref().map_or(0, |view| view.version)
    }

    /// Time at which the next call is due if no answer is received before; `None` if no call is scheduled.
    pub fn next_wake(&self) -> Option<Duration> {
        let polls = self
            .machines
            .values()
            .filter_map(|machine| match machine.state {
                PollState::Idle { next_at } => Some(next_at),
                PollState::Polling { .. } => None,
            });
        let fetch = match self.fetch {
            FetchState::Idle { next_at, .. } if self.has_newer_configuration() => Some(next_at),
            _ => None,
        };
        polls.chain(fetch).min()
    }

    /// Merges the answer of `machine` to a poll. Returns which parts of the state have changed.
    pub fn poll_answered(
        &mut self,
        now: Duration,
        machine: SocketAddr,
        response: PollResponse,
    ) -> WatchChange {
        self.last_answer_at = Some(now);
        let Some(entry) = self.machines.get_mut(&machine) else {
            return WatchChange::default();
        };
        entry.record_answer(now, response.core_status, response.configuration_generation);
        let trusted = entry.is_trusted();
        self.record_reported_generation(now, response.configuration_generation);
        if response.core_status.in_quorum {
            self.last_quorum_answer_at = Some(now);
        }
        let mut change = WatchChange::default();
        if let Some(view) = response.view {
            change.core_machines = self.merge_view(view);
        }
        if let Some(storage_view) = response.storage_view {
            change.storage_view = self.merge_storage_view(storage_view);
        }
        change.replicas = self.table.apply(now, machine, trusted, response.registry);
        change.replicas |= self.table.sweep(now);
        let is_listed = trusted && self.table.is_complete(machine);
        if is_listed && self.warm_up == WarmUp::AwaitingList {
            self.warm_up = WarmUp::Listed { since: now };
        }
        change.reached_current_state = self.try_complete_warm_up(now);
        change
    }

    /// Records that the poll of `machine` has failed. Returns which parts of the state have changed.
    pub fn poll_failed(&mut self, now: Duration, machine: SocketAddr) -> WatchChange {
        if let Some(entry) = self.machines.get_mut(&machine) {
            entry.record_failure(now);
        }
        WatchChange {
            reached_current_state: self.try_complete_warm_up(now),
            ..WatchChange::default()
        }
    }

    /// Records the result of the fetch in flight. `generation` is `None` if the configuration could not be fetched or
    /// parsed. Returns whether the configuration is newer than the previous one and has to be applied.
    pub fn configuration_fetched(&mut self, now: Duration, generation: Option<u64>) -> bool {
        let FetchState::Fetching { machine, attempts } = self.fetch else {
            return false;
        };
        let newer = generation.filter(|generation| *generation > self.configuration_generation);
        match newer {
            Some(generation) => {
                self.configuration_generation = generation;
                self.fetch = FetchState::Idle {
                    next_at: now,
                    attempts: 0,
                };
                self.machines
                    .values_mut()
                    .for_each(|machine| machine.failed_fetches = 0);
            }
            None => {
                if let Some(source) = self.machines.get_mut(&machine) {
                    source.failed_fetches += 1;
                }
                self.fetch = FetchState::Idle {
                    next_at: now + self.fetch_backoff(),
                    attempts: attempts + 1,
                };
            }
        }
        self.try_complete_warm_up(now);
        newer.is_some()
    }

    /// Records a configuration generation reported by a machine. If no fetch is in flight, a generation newer than all
    /// reported before is fetched at once, because the backoff applied to an older configuration. The time-out of the
    /// fetch is not reset: on a slow link, the newer configuration takes no less time than the older one.
    fn record_reported_generation(&mut self, now: Duration, generation: u64) {
        if generation <= self.newest_reported_generation {
            return;
        }
        self.newest_reported_generation = generation;
        if let FetchState::Idle { next_at, .. } = &mut self.fetch {
            *next_at = now;
        }
    }

    /// Backoff after a failed fetch. It doubles only after a fetch from every source has failed once more, so each
    /// source is tried before the backoff grows. It has to grow because a configuration that this program cannot parse
    /// is the same at every source.
    fn fetch_backoff(&self) -> Duration {
        let known = self.configuration_generation;
        let sources = self
            .machines
            .values()
            .filter(|machine| machine.reported_generation > known);
        let rounds = sources.map(|machine| machine.failed_fetches).min();
        backoff_after(rounds.unwrap_or(0))
    }

    /// Whether any polled machine has reported a newer configuration than the newest fetched one.
    fn has_newer_configuration(&self) -> bool {
        self.machines
            .values()
            .any(|machine| machine.reported_generation > self.configuration_generation)
    }

    fn start_fetch(&mut self, now: Duration) -> Option<WatchAction> {
        let FetchState::Idle { next_at, attempts } = self.fetch else {
            return None;
        };
        if next_at > now {
            return None;
        }
        let known = self.configuration_generation;
        let sources = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.reported_generation > known);
        let order = |(address, machine): &(&SocketAddr, &PolledMachine)| {
            (
                machine.failed_fetches,
                machine.consecutive_failures,
                rank(&self.name, **address),
            )
        };
        let machine = *sources.min_by_key(order)?.0;
        self.fetch = FetchState::Fetching { machine, attempts };
        let timeout = FETCH_TIMEOUT
            .saturating_mul(attempts + 1)
            .min(MAX_FETCH_TIMEOUT);
        Some(WatchAction::FetchConfiguration { machine, timeout })
    }

    fn merge_view(&mut self, view: CoreView) -> bool {
        if view.epoch <= self.view_epoch {
            return false;
        }
        self.view_epoch = view.epoch;
        let core_machines: Vec<SocketAddr> = view
            .core_machines
            .into_iter()
            .map(SocketAddr::from)
            .collect();
        let changed = core_machines != self.core_machines;
        self.core_machines = core_machines;
        changed
    }

    fn merge_storage_view(&mut self, storage_view: VersionedBytes) -> bool {
        let is_newer = storage_view.version > self.storage_epoch();
        if is_newer {
            self.storage_view = Some(CommittedValue {
                version: storage_view.version,
                bytes: storage_view.bytes.into(),
            });
        }
        is_newer
    }

    /// Internal addresses of the machines to poll at `now`.
    fn machines_to_poll(&self, now: Duration) -> Vec<SocketAddr> {
        let is_disconnected = self.is_disconnected(now);
        let mut known: BTreeSet<SocketAddr> = self.core_machines.iter().copied().collect();
        if known.is_empty() || is_disconnected {
            known.extend(&self.seeds);
        }
        if is_disconnected {
            known.extend(&self.sampled_machines);
        }
        let mut ranked: Vec<SocketAddr> = known.into_iter().collect();
        ranked.sort_by_cached_key(|address| rank(&self.name, *address));
        select(&ranked, is_disconnected, |address| {
            self.health_of(now, *address)
        })
    }

    fn health_of(&self, now: Duration, address: SocketAddr) -> MachineHealth {
        let is_unhealthy = || {
            self.unhealthy_until
                .get(&address)
                .is_some_and(|until| *until > now)
        };
        match self.machines.get(&address) {
            Some(machine) => machine.health(),
            None if is_unhealthy() => MachineHealth::Unhealthy,
            None => MachineHealth::Unknown,
        }
    }

    fn stop_polling_others(&mut self, now: Duration, machines_to_poll: &[SocketAddr]) {
        self.unhealthy_until.retain(|_, until| *until > now);
        let dropped: Vec<SocketAddr> = self
            .machines
            .keys()
            .filter(|address| !machines_to_poll.contains(address))
            .copied()
            .collect();
        for address in dropped {
            if self.health_of(now, address) == MachineHealth::Unhealthy {
                self.unhealthy_until
                    .insert(address, now + UNHEALTHY_RETRY_INTERVAL);
            }
            self.machines.remove(&address);
            self.table.remove_machine(address);
        }
    }

    /// Ends the warm-up if the state is complete and current. Returns whether this call ended it.
    fn try_complete_warm_up(&mut self, now: Duration) -> bool {
        let WarmUp::Listed { since } = self.warm_up else {
            return false;
        };
        let generation = self.configuration_generation;
        let is_current = generation > 0 && generation >= self.newest_reported_generation;
        let all_answered = self.machines.values().all(|machine| machine.has_answered);
        let has_waited = now.saturating_sub(since) >= WARM_UP_TIMEOUT;
        let is_warm = is_current && (all_answered || has_waited);
        if is_warm {
            self.warm_up = WarmUp::Warm;
        }
        is_warm
    }
}
