//! Decisions of the client side: which core machines to poll when, and what to make of their answers.
//!
//! Up to [`TARGET_POLLED_MACHINES`](crate::selection::TARGET_POLLED_MACHINES) machines are polled at once. A machine that
//! does not answer is asked again with backoff, and the next by rank takes its place meanwhile; so it does
//! beside a machine that answers, but is cut off from the core's majority. Ranks follow from the process's
//! own name, so that the processes spread over the core machines. A process that hears no machine in quorum
//! for [`QUORUM_CONTACT_TIMEOUT`] asks every address it has heard of: members, seeds and hints.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::messages::{CoreView, PollRequest, PollResponse};
use crate::polled_machine::{MIN_BACKOFF, PollState, PolledMachine};
use crate::replica_table::ReplicaTable;
use crate::selection::{MachineHealth, rank, select};

/// A machine of no use that is not asked any more is tried again after this time.
pub const UNHEALTHY_RETRY_INTERVAL: Duration = Duration::from_millis(4000);
/// How long a core machine waits for news.
pub const POLL_WAIT: Duration = Duration::from_millis(1000);
/// A poll that is not answered this long after its wait is broken.
pub const POLL_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Without an answer of a machine in quorum for this long, all known addresses are asked.
pub const QUORUM_CONTACT_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a configuration may take to come at the first try; each further try gives it as much more.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a configuration to come.
pub const MAX_FETCH_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long the first complete answer waits for those of the other machines.
pub const WARM_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Poll this machine.
    Poll {
        /// Its internal address.
        machine: SocketAddr,
        /// The poll.
        request: PollRequest,
        /// When to give up.
        timeout: Duration,
    },
    /// Fetch the configuration from this machine.
    FetchConfiguration {
        /// Its internal address.
        machine: SocketAddr,
        /// When to give up.
        timeout: Duration,
    },
}

/// What has changed for the process's other parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchChange {
    /// Replicas.
    pub replicas: bool,
    /// Storage view.
    pub storage_view: bool,
    /// Members of the core, or whether the process is warmed.
    pub standing: bool,
}

impl WatchChange {
    /// Whether anything has changed.
    pub fn any(self) -> bool {
        self.replicas || self.storage_view || self.standing
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchState {
    Idle { next_at: Duration, attempts: u32 },
    Fetching { machine: SocketAddr, attempts: u32 },
}

/// The client side's decisions.
pub struct Watcher {
    name: String,
    seeds: Vec<SocketAddr>,
    hints: Vec<SocketAddr>,
    view_epoch: u64,
    members: Vec<SocketAddr>,
    machines: BTreeMap<SocketAddr, PolledMachine>,
    /// Machines of no use that are not asked, and until when.
    unhealthy_until: BTreeMap<SocketAddr, Duration>,
    /// The newest generation that any machine has told.
    newest_reported_generation: u64,
    table: ReplicaTable,
    configuration_generation: u64,
    storage_view: Option<(u64, Bytes)>,
    fetch: FetchState,
    heard_at: Option<Duration>,
    /// When a machine in quorum was last heard.
    quorum_heard_at: Option<Duration>,
    started_at: Duration,
    trusted_since: Option<Duration>,
    warmed: bool,
}

impl Watcher {
    /// Of the process `name`, which starts at `now` and knows the internal addresses `seeds`.
    pub fn new(now: Duration, name: String, seeds: Vec<SocketAddr>) -> Self {
        Self {
            name,
            seeds,
            hints: Vec::new(),
            view_epoch: 0,
            members: Vec::new(),
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
            heard_at: None,
            quorum_heard_at: None,
            started_at: now,
            trusted_since: None,
            warmed: false,
        }
    }

    /// The replicas known.
    pub fn table(&self) -> &ReplicaTable {
        &self.table
    }

    /// Members of the core, empty while unknown.
    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    /// Epoch and bytes of the storage view.
    pub fn storage_view(&self) -> Option<&(u64, Bytes)> {
        self.storage_view.as_ref()
    }

    /// Generation of the configuration taken last.
    pub fn configuration_generation(&self) -> u64 {
        self.configuration_generation
    }

    /// When a core machine was last heard.
    pub fn heard_at(&self) -> Option<Duration> {
        self.heard_at
    }

    /// Whether configuration and replicas are known from a trusted core machine.
    pub fn is_warmed(&self) -> bool {
        self.warmed
    }

    /// Whether no core machine in quorum has answered lately.
    pub fn is_disconnected(&self, now: Duration) -> bool {
        now.saturating_sub(self.quorum_heard_at.unwrap_or(self.started_at))
            >= QUORUM_CONTACT_TIMEOUT
    }

    /// The settings name these seeds now.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Other processes name these core machines.
    pub fn set_hints(&mut self, hints: Vec<SocketAddr>) {
        self.hints = hints;
    }

    /// Everything that is to be started now.
    pub fn act(&mut self, now: Duration) -> Vec<WatchAction> {
        let wanted = self.wanted_machines(now);
        self.drop_unwanted(now, &wanted);
        let mut actions = Vec::new();
        for address in wanted {
            let machine = self
                .machines
                .entry(address)
                .or_insert_with(|| PolledMachine::new(now));
            let PollState::Idle { next_at } = machine.state else {
                continue;
            };
            if next_at > now {
                continue;
            }
            machine.state = PollState::Polling { since: now };
            let request = PollRequest {
                configuration_generation: self
                    .configuration_generation
                    .max(machine.reported_generation),
                view_epoch: self.view_epoch,
                storage_epoch: self.storage_view.as_ref().map_or(0, |(epoch, _)| *epoch),
                registry: self.table.version(address),
                standing: machine.standing,
                wait_ms: POLL_WAIT.as_millis() as u32,
            };
            actions.push(WatchAction::Poll {
                machine: address,
                request,
                timeout: POLL_WAIT + POLL_GRACE_PERIOD,
            });
        }
        actions.extend(self.fetch_action(now));
        actions
    }

    /// When [`act`](Self::act) has something to do without any answer having come.
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

    /// `machine` has answered its poll.
    pub fn poll_answered(
        &mut self,
        now: Duration,
        machine: SocketAddr,
        response: PollResponse,
    ) -> WatchChange {
        self.heard_at = Some(now);
        let Some(entry) = self.machines.get_mut(&machine) else {
            return WatchChange::default();
        };
        entry.answered(now, response.standing, response.configuration_generation);
        self.newest_reported_generation = self
            .newest_reported_generation
            .max(response.configuration_generation);
        if response.standing.in_quorum {
            self.quorum_heard_at = Some(now);
        }
        let trusted = entry.is_trusted();
        let mut change = WatchChange::default();
        if let Some(view) = response.view {
            change.standing |= self.take_view(view);
        }
        if let Some(storage_view) = response.storage_view {
            let known = self.storage_view.as_ref().map_or(0, |(epoch, _)| *epoch);
            if storage_view.version > known {
                self.storage_view = Some((storage_view.version, storage_view.bytes.into()));
                change.storage_view = true;
            }
        }
        change.replicas = self.table.apply(now, machine, trusted, response.registry);
        change.replicas |= self.table.sweep(now);
        if trusted && self.trusted_since.is_none() && self.table.is_complete(machine) {
            self.trusted_since = Some(now);
        }
        change.standing |= self.update_warmed(now);
        change
    }

    /// The poll of `machine` has failed.
    pub fn poll_failed(&mut self, now: Duration, machine: SocketAddr) -> WatchChange {
        if let Some(entry) = self.machines.get_mut(&machine) {
            entry.failed(now);
        }
        WatchChange {
            standing: self.update_warmed(now),
            ..WatchChange::default()
        }
    }

    /// A configuration has come; `generation` is none if it could not be fetched or read. Returns whether it
    /// is newer than the one taken last: then it is to be put in force.
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
                self.fetch = FetchState::Idle {
                    next_at: now + MIN_BACKOFF,
                    attempts: attempts + 1,
                };
                if let Some(source) = self.machines.get_mut(&machine) {
                    source.failed_fetches += 1;
                }
            }
        }
        self.update_warmed(now);
        newer.is_some()
    }

    /// Whether a machine that is polled has told of a newer configuration than the one taken last.
    fn has_newer_configuration(&self) -> bool {
        self.machines
            .values()
            .any(|machine| machine.reported_generation > self.configuration_generation)
    }

    fn fetch_action(&mut self, now: Duration) -> Option<WatchAction> {
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
                machine.failures,
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

    fn take_view(&mut self, view: CoreView) -> bool {
        if view.epoch <= self.view_epoch {
            return false;
        }
        self.view_epoch = view.epoch;
        let members: Vec<SocketAddr> = view.members.into_iter().map(SocketAddr::from).collect();
        let changed = members != self.members;
        self.members = members;
        changed
    }

    /// The machines to poll.
    fn wanted_machines(&self, now: Duration) -> Vec<SocketAddr> {
        let lost = self.is_disconnected(now);
        let mut known: BTreeSet<SocketAddr> = self.members.iter().copied().collect();
        if known.is_empty() || lost {
            known.extend(&self.seeds);
        }
        if lost {
            known.extend(&self.hints);
        }
        let mut ranked: Vec<SocketAddr> = known.into_iter().collect();
        ranked.sort_by_cached_key(|address| rank(&self.name, *address));
        select(&ranked, lost, |address| self.use_of(now, *address))
    }

    fn use_of(&self, now: Duration, address: SocketAddr) -> MachineHealth {
        let is_unhealthy = || {
            self.unhealthy_until
                .get(&address)
                .is_some_and(|until| *until > now)
        };
        match self.machines.get(&address) {
            Some(machine) => machine.use_of(),
            None if is_unhealthy() => MachineHealth::Unhealthy,
            None => MachineHealth::Unknown,
        }
    }

    fn drop_unwanted(&mut self, now: Duration, wanted: &[SocketAddr]) {
        self.unhealthy_until.retain(|_, until| *until > now);
        let dropped: Vec<SocketAddr> = self
            .machines
            .keys()
            .filter(|address| !wanted.contains(address))
            .copied()
            .collect();
        for address in dropped {
            if self.use_of(now, address) == MachineHealth::Unhealthy {
                self.unhealthy_until
                    .insert(address, now + UNHEALTHY_RETRY_INTERVAL);
            }
            self.machines.remove(&address);
            self.table.forget_machine(address);
        }
    }

    /// Warmed is final: the process has had a whole and current state once.
    fn update_warmed(&mut self, now: Duration) -> bool {
        let Some(trusted_since) = self.trusted_since else {
            return false;
        };
        if self.warmed || self.configuration_generation == 0 {
            return false;
        }
        let current = self.configuration_generation >= self.newest_reported_generation;
        let all_answered = self.machines.values().all(|machine| machine.answered);
        let waited = now.saturating_sub(trusted_since) >= WARM_UP_TIMEOUT;
        self.warmed = current && (all_answered || waited);
        self.warmed
    }
}
