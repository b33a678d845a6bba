//! The actions of each scenario and their times: a pure function of the scenario, the cluster's size and a seed.

use crate::scenario::Scenario;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A change that is applied to the cluster.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Kills a zone's replicas.
    KillReplicas(usize),
    /// Restarts a zone's replicas; they warm up.
    StartReplicas(usize),
    /// Divides the speed of a zone's replicas by `factor`.
    SlowReplicas {
        /// The replicas' zone.
        zone: usize,
        /// 1 restores the full speed.
        factor: f64,
    },
    /// Partitions or repairs the link in one direction between two zones.
    Partition {
        /// The zone of the senders.
        from: usize,
        /// The zone of the receivers.
        to: usize,
        /// False repairs the link.
        is_partitioned: bool,
    },
    /// Sets the share of datagrams that are lost on all links.
    LoseDatagrams(f64),
    /// Makes a zone's replicas accept parts without answering them, or answer again.
    HangReplicas {
        /// The replicas' zone.
        zone: usize,
        /// False makes them answer again.
        is_hanging: bool,
    },
    /// Lists a zone's replicas as draining or as ready in the endpoint list.
    DrainReplicas {
        /// The replicas' zone.
        zone: usize,
        /// False lists them as ready.
        is_draining: bool,
    },
    /// Makes all discovery agents unresponsive (true), or responsive again.
    SuspendDiscovery(bool),
    /// Makes clients send three times as many searches and abandon them (true), or behave normally (false).
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
    /// Injects a fault into the current lease holder, or ends the fault of the co-ordinator into which the last one was
    /// injected.
    LeaseHolder(HolderFault),
}

/// A fault of a lease holder, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderFault {
    /// Sends SIGSTOP.
    Pause,
    /// Sends SIGCONT.
    Resume,
    /// Sends SIGKILL.
    Kill,
    /// Restarts the killed co-ordinator.
    Start,
    /// Partitions the holder's zone from the others.
    Partition,
    /// Partitions the holder's zone from the others. If there are five or more zones, another zone is on its side.
    PartitionMinority,
    /// Repairs all links.
    Repair,
}

impl HolderFault {
    /// Whether this injects a fault rather than ending one.
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

/// An action and its time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TimedAction {
    /// Time of the action, in seconds from the start of the load.
    pub(crate) at_s: f64,
    pub(crate) action: Action,
}

/// A period in which a zone is faulty, so that ejecting it is correct.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ZoneFault {
    /// Index of the faulty zone.
    pub(crate) zone: usize,
    /// Start of the fault, in seconds from the start of the load.
    pub(crate) from_s: f64,
    /// End of the fault, in seconds from the start of the load.
    pub(crate) until_s: f64,
}

/// The actions of a scenario and the zone faults that they cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Schedule {
    /// Actions in order of time.
    pub(crate) actions: Vec<TimedAction>,
    /// Periods in which zones are faulty; empty for scenarios whose faults do not affect a whole zone.
    pub(crate) faults: Vec<ZoneFault>,
}

/// Seconds from the start of the load to the first fault. By then the members know each other and latency
/// samples have been collected.
const FAULT_START: f64 = 6.0;
/// Seconds from the start of the load to the end of the first fault.
const FAULT_END: f64 = FAULT_START + 5.0;
/// Seconds from the start of the load to the first fault of a lease holder. By then a co-ordinator has acquired the
/// lease, which takes a lease's time-out and a proposal.
const HOLDER_FAULT_START: f64 = 8.0;
/// Seconds between the two faults of lease holders, so that one run measures two handovers.
const HOLDER_FAULT_INTERVAL: f64 = 10.0;
/// Seconds from SIGTERM until the process is restarted. By then the process has exited, or its late exit has been
/// recorded; a process that still runs is killed by the restart.
const RESTART_DELAY: f64 = 3.0;
/// Duration of a fault of a lease holder in seconds: longer than a lease and a proposal.
pub(crate) const HOLDER_FAULT_SECONDS: f64 = 6.0;
/// Number of times that a flapping zone is partitioned.
const FLAP_COUNT: u32 = 6;
/// Seconds from the start of one partition of a flapping zone to the start of the next.
const FLAP_INTERVAL: f64 = 4.0;
/// Duration of each partition of a flapping zone in seconds.
const FLAP_SECONDS: f64 = 2.0;
/// Factor by which the replicas of a slow zone are slower; their latency exceeds any latency target.
const SLOW_FACTOR: f64 = 300.0;
/// Factor by which all replicas are slower while clients abandon their searches.
const ABANDON_SLOW_FACTOR: f64 = 30.0;
/// Seconds from the slowdown of the replicas until clients start to abandon their searches.
const ABANDON_LEAD: f64 = 0.5;
/// Seconds from the start of the replicas' hang until the first co-ordinator is terminated.
const HANG_LEAD: f64 = 0.2;
/// Seconds between the SIGTERMs of successive co-ordinators.
const RESTART_INTERVAL: f64 = 2.0;
/// Seconds from the recovery of discovery until a zone's replicas are listed as draining.
const DRAIN_DELAY: f64 = 0.3;
/// Seconds from the recovery of discovery until these replicas are listed as ready again.
const READY_DELAY: f64 = 8.0;
/// Seconds from a mass kill of co-ordinators until they are restarted.
const MASS_KILL_SECONDS: f64 = 3.0;
/// Share of datagrams that lossy links drop.
const LOSS: f64 = 0.3;

impl Schedule {
    /// Creates the schedule of `scenario` for a cluster of this size. `regions` maps each zone to its region.
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
    /// The faulty zone, in scenarios that have one.
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
            Scenario::HolderStall => {
                self.inject_holder_faults(HolderFault::Pause, HolderFault::Resume)
            }
            Scenario::HolderCut => {
                self.inject_holder_faults(HolderFault::Partition, HolderFault::Repair)
            }
            Scenario::SplitBrain => {
                self.inject_holder_faults(HolderFault::PartitionMinority, HolderFault::Repair);
            }
            Scenario::HolderKill | Scenario::Skew => {
                self.inject_holder_faults(HolderFault::Kill, HolderFault::Start);
            }
            Scenario::LeaseLossy => {
                self.add(0.0, Action::LoseDatagrams(LOSS));
                self.inject_holder_faults(HolderFault::Kill, HolderFault::Start);
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

    /// All zones except the faulty one.
    fn other_zones(&self) -> Vec<usize> {
        (0..self.zones())
            .filter(|zone| *zone != self.zone)
            .collect()
    }

    /// All zones in the region of the faulty zone.
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

    fn inject_holder_faults(&mut self, fault: HolderFault, end: HolderFault) {
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
