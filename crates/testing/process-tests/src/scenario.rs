//! The scenarios and their names on the command line. Their actions and times are in `schedule.rs`.

use crate::error::UnknownScenario;
use std::fmt;
use std::str::FromStr;

/// The set of faults to inject into a cluster of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No faults.
    Calm,
    /// A zone's replicas and co-ordinators are killed and restarted; the restarted replicas warm up.
    ZoneLoss,
    /// A zone is partitioned from the others in both directions.
    ZoneCut,
    /// A zone's replicas are three hundred times slower, which exceeds any latency target.
    ZoneSlow,
    /// A zone's outgoing links are partitioned; its incoming links are not.
    OneWay,
    /// A zone is partitioned for two seconds in every four.
    Flap,
    /// All zones of a region are killed, as in `ZoneLoss`.
    RegionLoss,
    /// 30 % of datagrams are lost; there is no other fault.
    Loss30,
    /// Seven in ten co-ordinators are killed at once and restarted.
    MassKill,
    /// A zone's co-ordinators are paused for some seconds while its replicas keep serving.
    ZoneStall,
    /// The lease holder of the first quota allocator's role is paused for longer than a lease, then resumed.
    HolderStall,
    /// The lease holder's zone is partitioned from the others in both directions.
    HolderCut,
    /// The lease holder is killed and restarted.
    HolderKill,
    /// The lease holder's zone is partitioned from the others. If there are five or more zones, another zone is on its
    /// side, which is the minority.
    SplitBrain,
    /// Clocks run one per cent fast or slow and differ by seconds; the lease holder is killed.
    Skew,
    /// 30 % of datagrams are lost, and the lease holder is killed.
    LeaseLossy,
    /// A rolling restart while a zone's replicas hang: one co-ordinator after another receives SIGTERM and is
    /// restarted.
    RollHang,
    /// Discovery does not answer for some seconds; afterwards a zone's replicas are listed as draining.
    DiscoveryDown,
    /// While all replicas are slow, clients send three times as many searches and abandon them.
    LeaveBurst,
}

impl Scenario {
    /// All scenarios, in the order in which the command line lists them.
    pub const ALL: [Scenario; 19] = [
        Scenario::Calm,
        Scenario::ZoneLoss,
        Scenario::ZoneCut,
        Scenario::ZoneSlow,
        Scenario::OneWay,
        Scenario::Flap,
        Scenario::RegionLoss,
        Scenario::Loss30,
        Scenario::MassKill,
        Scenario::ZoneStall,
        Scenario::HolderStall,
        Scenario::HolderCut,
        Scenario::HolderKill,
        Scenario::SplitBrain,
        Scenario::Skew,
        Scenario::LeaseLossy,
        Scenario::RollHang,
        Scenario::DiscoveryDown,
        Scenario::LeaveBurst,
    ];

    /// Name of the scenario on the command line and in an outcome.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::ZoneLoss => "zone-loss",
            Scenario::ZoneCut => "zone-cut",
            Scenario::ZoneSlow => "zone-slow",
            Scenario::OneWay => "one-way",
            Scenario::Flap => "flap",
            Scenario::RegionLoss => "region-loss",
            Scenario::Loss30 => "loss-30",
            Scenario::MassKill => "mass-kill",
            Scenario::ZoneStall => "zone-stall",
            Scenario::HolderStall => "holder-stall",
            Scenario::HolderCut => "holder-cut",
            Scenario::HolderKill => "holder-kill",
            Scenario::SplitBrain => "split-brain",
            Scenario::Skew => "skew",
            Scenario::LeaseLossy => "lease-lossy",
            Scenario::RollHang => "roll-hang",
            Scenario::DiscoveryDown => "discovery-down",
            Scenario::LeaveBurst => "leave-burst",
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = UnknownScenario;

    fn from_str(text: &str) -> Result<Self, UnknownScenario> {
        let found = Scenario::ALL.into_iter().find(|s| s.name() == text);
        found.ok_or_else(|| UnknownScenario {
            known: Scenario::ALL.map(Scenario::name).join(", "),
        })
    }
}

impl Scenario {
    /// Whether the faults are injected into a lease holder, so that the lease measurements are the relevant ones.
    pub fn targets_lease_holder(self) -> bool {
        matches!(
            self,
            Scenario::HolderStall
                | Scenario::HolderCut
                | Scenario::HolderKill
                | Scenario::SplitBrain
                | Scenario::Skew
                | Scenario::LeaseLossy
        )
    }

    /// Whether the processes' clocks deviate from the system clock.
    pub fn has_clock_skew(self) -> bool {
        self == Scenario::Skew
    }

    /// Duration of the load in seconds.
    pub fn seconds(self) -> f64 {
        match self {
            Scenario::Flap => 34.0,
            Scenario::Calm | Scenario::Loss30 => 18.0,
            scenario if scenario.targets_lease_holder() => 30.0,
            _ => 24.0,
        }
    }
}
