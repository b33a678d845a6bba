//! What each scenario does and when: a pure function of the cluster's size and a seed.

use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One thing that is done to the cluster.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Kills a zone's replicas.
    KillReplicas(usize),
    /// Starts a zone's replicas again; they warm up.
    StartReplicas(usize),
    /// Divides the speed of a zone's replicas by `factor`.
    SlowReplicas {
        /// The replicas' zone.
        zone: usize,
        /// 1 restores the full speed.
        factor: f64,
    },
    /// Partitions one direction between two zones, or repairs it.
    Partition {
        /// The zone of the senders.
        from: usize,
        /// The zone of the receivers.
        to: usize,
        /// False repairs the link.
        is_partitioned: bool,
    },
    /// Loses this share of the datagrams on all links.
    LoseDatagrams(f64),
    /// Has a zone's replicas accept parts without answering any, or answer again.
    HangReplicas {
        /// The replicas' zone.
        zone: usize,
        /// False has them answer again.
        is_hanging: bool,
    },
    /// Lists a zone's replicas as draining, or as ready again.
    DrainReplicas {
        /// The replicas' zone.
        zone: usize,
        /// False lists them as ready.
        is_draining: bool,
    },
    /// Makes all discovery agents unresponsive (true), or responsive again.
    SuspendDiscovery(bool),
    /// Has clients send three times as many searches and abandon them (true), or behave as before.
    AbandonSearches(bool),
    /// Sends SIGKILL to these co-ordinators.
    Kill(Vec<usize>),
    /// Sends SIGTERM to these co-ordinators.
    Terminate(Vec<usize>),
    /// Starts these co-ordinators.
    Start(Vec<usize>),
    /// Sends SIGSTOP to these co-ordinators.
    Pause {
        /// The co-ordinators.
        nodes: Vec<usize>,
        /// Seconds until they are resumed.
        seconds: f64,
    },
    /// Sends SIGCONT to these co-ordinators.
    Resume(Vec<usize>),
    /// Injects a fault into whoever holds the lease then, or ends the fault of the holder that the last one
    /// was injected into.
    LeaseHolder(HolderFault),
}

/// A fault of a lease holder, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderFault {
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGKILL.
    Kill,
    /// Starts it after it was killed.
    Start,
    /// Partitions its zone from the others.
    Partition,
    /// Partitions its zone from the others, of five or more zones together with another one.
    PartitionMinority,
    /// Repairs all links.
    Repair,
}

impl HolderFault {
    /// Whether this injects a fault, rather than ending one.
    pub(crate) fn is_injected(self) -> bool {
        matches!(
            self,
            HolderFault::Pause
                | HolderFault::Kill
                | HolderFault::Partition
                | HolderFault::PartitionMinority
        )
    }
}

/// An action and when it is done.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TimedAction {
    /// When, in seconds from the start of the load.
    pub(crate) at_s: f64,
    /// What is done.
    pub(crate) action: Action,
}

/// A time in which a zone is at fault, so that taking it out of service is right.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ZoneFault {
    /// The zone at fault.
    pub(crate) zone: usize,
    /// When the fault begins, in seconds from the start of the load.
    pub(crate) from_s: f64,
    /// When it ends, in seconds from the start of the load.
    pub(crate) until_s: f64,
}

/// What a scenario does.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Schedule {
    /// In order of their times.
    pub(crate) actions: Vec<TimedAction>,
    /// The zones at fault and when they are; a scenario whose faults aren't those of a zone has none.
    pub(crate) faults: Vec<ZoneFault>,
}

/// Seconds from the start of the load to the first fault: members know each other and latency samples are in.
const FAULT_START: f64 = 6.0;
/// Seconds from the start of the load to the end of that fault.
const FAULT_END: f64 = FAULT_START + 5.0;
/// Seconds from the start of the load by which somebody holds the lease: a lease's time-out and a proposal.
const HOLDER_FAULT_START: f64 = 8.0;
/// Seconds between the two faults of lease holders, so that one run measures two hand-overs.
const HOLDER_FAULT_INTERVAL: f64 = 10.0;
/// Seconds from SIGTERM until the next start: the process has ended by then, or has been killed.
const RESTART_DELAY: f64 = 3.0;
/// How many seconds the fault of a lease holder lasts: longer than a lease and a proposal.
pub(crate) const HOLDER_FAULT_SECONDS: f64 = 6.0;
/// How often a flapping zone is partitioned.
const FLAP_COUNT: u32 = 6;
/// Seconds from the start of one partition of a flapping zone to the start of the next.
const FLAP_INTERVAL: f64 = 4.0;
/// How many seconds each of them lasts.
const FLAP_SECONDS: f64 = 2.0;
/// How many times slower the replicas of a slow zone are: beyond any latency target.
const SLOW_FACTOR: f64 = 300.0;
/// How many times slower all replicas are while clients abandon their searches.
const ABANDON_SLOW_FACTOR: f64 = 30.0;
/// Seconds by which replicas are slow before clients abandon their searches.
const ABANDON_LEAD: f64 = 0.5;
/// Seconds by which replicas hang before the first co-ordinator is restarted.
const HANG_LEAD: f64 = 0.2;
/// Seconds between the restarts of two co-ordinators.
const RESTART_INTERVAL: f64 = 2.0;
/// Seconds from discovery's return until a zone's replicas are listed as draining, and as ready again.
const DRAIN_DELAY: f64 = 0.3;
const READY_DELAY: f64 = 8.0;
/// Seconds from the kill of many co-ordinators until they are started again.
const MASS_KILL_SECONDS: f64 = 3.0;
/// Share of the datagrams that lossy links lose.
const LOSS: f64 = 0.3;

impl Schedule {
    /// What `scenario` does to a cluster of this size. `regions` gives the region of each zone.
    pub(crate) fn new(
        scenario: Scenario,
        co_ordinators: usize,
        regions: &[usize],
        seed: u64,
    ) -> Schedule {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut planner = Planner {
            co_ordinators,
            regions,
            zone: random.random_range(0..regions.len()),
            random,
            schedule: Schedule::default(),
        };
        planner.plan(scenario);
        let mut schedule = planner.schedule;
        schedule.actions.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        schedule
    }
}

/// A schedule under construction.
struct Planner<'a> {
    co_ordinators: usize,
    regions: &'a [usize],
    /// The zone at fault, in scenarios that have one.
    zone: usize,
    random: Pcg64Mcg,
    schedule: Schedule,
}

impl Planner<'_> {
    fn plan(&mut self, scenario: Scenario) {
        match scenario {
            Scenario::Calm => {}
            Scenario::Loss30 => self.add(0.0, Action::LoseDatagrams(LOSS)),
            Scenario::ZoneLoss => self.kill_zones(&[self.zone]),
            Scenario::RegionLoss => self.kill_zones(&self.zones_of_region()),
            Scenario::ZoneSlow => self.slow_zone(),
            Scenario::ZoneCut => self.partition_zone(FAULT_START, FAULT_END),
            Scenario::OneWay => self.partition_outgoing(),
            Scenario::Flap => self.flap(),
            Scenario::ZoneStall => self.pause_zone(),
            Scenario::HolderStall => self.disturb_holder(HolderFault::Pause, HolderFault::Resume),
            Scenario::HolderCut => self.disturb_holder(HolderFault::Partition, HolderFault::Repair),
            Scenario::SplitBrain => {
                self.disturb_holder(HolderFault::PartitionMinority, HolderFault::Repair);
            }
            Scenario::HolderKill | Scenario::Skew => {
                self.disturb_holder(HolderFault::Kill, HolderFault::Start);
            }
            Scenario::LeaseLossy => {
                self.add(0.0, Action::LoseDatagrams(LOSS));
                self.disturb_holder(HolderFault::Kill, HolderFault::Start);
            }
            Scenario::RollHang => self.restart_while_replicas_hang(),
            Scenario::DiscoveryDown => self.suspend_discovery(),
            Scenario::LeaveBurst => self.abandon_searches(),
            Scenario::MassKill => self.kill_seven_in_ten(),
        }
    }

    fn add(&mut self, at_s: f64, action: Action) {
        self.schedule.actions.push(TimedAction { at_s, action });
    }

    fn add_fault(&mut self, zone: usize, from_s: f64, until_s: f64) {
        self.schedule.faults.push(ZoneFault {
            zone,
            from_s,
            until_s,
        });
    }

    fn zones(&self) -> usize {
        self.regions.len()
    }

    fn co_ordinators_of(&self, zone: usize) -> Vec<usize> {
        (0..self.co_ordinators)
            .filter(|node| node % self.zones() == zone)
            .collect()
    }

    /// All zones but the one at fault.
    fn other_zones(&self) -> Vec<usize> {
        (0..self.zones())
            .filter(|zone| *zone != self.zone)
            .collect()
    }

    /// The zones of the region of the zone at fault.
    fn zones_of_region(&self) -> Vec<usize> {
        (0..self.zones())
            .filter(|zone| self.regions[*zone] == self.regions[self.zone])
            .collect()
    }

    fn kill_zones(&mut self, zones: &[usize]) {
        for zone in zones.iter().copied() {
            let co_ordinators = self.co_ordinators_of(zone);
            self.add_fault(zone, FAULT_START, FAULT_END);
            self.add(FAULT_START, Action::KillReplicas(zone));
            self.add(FAULT_START, Action::Kill(co_ordinators.clone()));
            self.add(FAULT_END, Action::StartReplicas(zone));
            self.add(FAULT_END, Action::Start(co_ordinators));
        }
    }

    fn slow_zone(&mut self) {
        let zone = self.zone;
        self.add_fault(zone, FAULT_START, FAULT_END);
        for (at, factor) in [(FAULT_START, SLOW_FACTOR), (FAULT_END, 1.0)] {
            self.add(at, Action::SlowReplicas { zone, factor });
        }
    }

    fn partition(&mut self, at: f64, from: usize, to: usize, is_partitioned: bool) {
        let action = Action::Partition {
            from,
            to,
            is_partitioned,
        };
        self.add(at, action);
    }

    fn partition_outgoing(&mut self) {
        self.add_fault(self.zone, FAULT_START, FAULT_END);
        for (at, is_partitioned) in [(FAULT_START, true), (FAULT_END, false)] {
            for other in self.other_zones() {
                self.partition(at, self.zone, other, is_partitioned);
            }
        }
    }

    fn partition_zone(&mut self, from_s: f64, until_s: f64) {
        self.add_fault(self.zone, from_s, until_s);
        for (at, is_partitioned) in [(from_s, true), (until_s, false)] {
            for other in self.other_zones() {
                self.partition(at, self.zone, other, is_partitioned);
                self.partition(at, other, self.zone, is_partitioned);
            }
        }
    }

    fn flap(&mut self) {
        for index in 0..FLAP_COUNT {
            let from = FAULT_START + FLAP_INTERVAL * f64::from(index);
            self.partition_zone(from, from + FLAP_SECONDS);
        }
    }

    fn pause_zone(&mut self) {
        let nodes = self.co_ordinators_of(self.zone);
        let pause = Action::Pause {
            nodes: nodes.clone(),
            seconds: FAULT_END - FAULT_START,
        };
        self.add(FAULT_START, pause);
        self.add(FAULT_END, Action::Resume(nodes));
    }

    fn disturb_holder(&mut self, fault: HolderFault, end: HolderFault) {
        for at in [
            HOLDER_FAULT_START,
            HOLDER_FAULT_START + HOLDER_FAULT_INTERVAL,
        ] {
            self.add(at, Action::LeaseHolder(fault));
            self.add(at + HOLDER_FAULT_SECONDS, Action::LeaseHolder(end));
        }
    }

    fn hang_replicas(&mut self, at: f64, is_hanging: bool) {
        let zone = self.zone;
        self.add(at, Action::HangReplicas { zone, is_hanging });
    }

    fn restart_while_replicas_hang(&mut self) {
        self.hang_replicas(FAULT_START - HANG_LEAD, true);
        for node in 0..self.co_ordinators {
            let at = FAULT_START + RESTART_INTERVAL * node as f64;
            self.add(at, Action::Terminate(vec![node]));
            self.add(at + RESTART_DELAY, Action::Start(vec![node]));
        }
        let end = FAULT_START + RESTART_INTERVAL * self.co_ordinators as f64;
        self.hang_replicas(end, false);
    }

    fn suspend_discovery(&mut self) {
        let zone = self.zone;
        self.add(FAULT_START, Action::SuspendDiscovery(true));
        self.add(FAULT_END, Action::SuspendDiscovery(false));
        for (delay, is_draining) in [(DRAIN_DELAY, true), (READY_DELAY, false)] {
            self.add(
                FAULT_END + delay,
                Action::DrainReplicas { zone, is_draining },
            );
        }
    }

    fn abandon_searches(&mut self) {
        for zone in 0..self.zones() {
            for (at, factor) in [
                (FAULT_START - ABANDON_LEAD, ABANDON_SLOW_FACTOR),
                (FAULT_END, 1.0),
            ] {
                self.add(at, Action::SlowReplicas { zone, factor });
            }
        }
        self.add(FAULT_START, Action::AbandonSearches(true));
        self.add(FAULT_END, Action::AbandonSearches(false));
    }

    fn kill_seven_in_ten(&mut self) {
        let mut nodes: Vec<usize> = (0..self.co_ordinators).collect();
        for index in 0..nodes.len() {
            let other = self.random.random_range(index..nodes.len());
            nodes.swap(index, other);
        }
        nodes.truncate((self.co_ordinators * 7).div_ceil(10));
        self.add(FAULT_START, Action::Kill(nodes.clone()));
        self.add(FAULT_START + MASS_KILL_SECONDS, Action::Start(nodes));
    }
}
