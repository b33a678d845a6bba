//! The scenarios that can be played; each is named as on the command line. What each of them does and when
//! is in `schedule.rs`.

use crate::error::UnknownScenario;
use std::fmt;
use std::str::FromStr;

/// Which faults are injected into a cluster of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing goes wrong.
    Calm,
    /// A zone's replicas and co-ordinators are killed and started again; the replicas warm up.
    ZoneLoss,
    /// A zone is partitioned from the others in both directions.
    ZoneCut,
    /// A zone's replicas are three hundred times slower, which exceeds any latency target.
    ZoneSlow,
    /// Everything that leaves a zone is lost; what is sent to it arrives.
    OneWay,
    /// A zone is partitioned for two seconds in every four.
    Flap,
    /// All zones of a region are killed, as in `ZoneLoss`.
    RegionLoss,
    /// 30 % of datagrams are lost, and nothing else is wrong.
    Loss30,
    /// Seven in ten co-ordinators are killed at once and started again.
    MassKill,
    /// A zone's co-ordinators are paused for some seconds while its replicas serve.
    ZoneStall,
    /// The lease holder of the first quota allocator's role is paused for longer than a lease and resumed.
    HolderStall,
    /// The lease holder's zone is partitioned from the others in both directions.
    HolderCut,
    /// The lease holder is killed and started again.
    HolderKill,
    /// The lease holder's zone is partitioned from the others, of five or more zones together with another one, so
    /// that the holder is on the minority's side.
    SplitBrain,
    /// Clocks run one per cent fast and slow and are seconds apart; the lease holder is killed.
    Skew,
    /// 30 % of datagrams are lost, and the lease holder is killed.
    LeaseLossy,
    /// One co-ordinator after another gets SIGTERM while a zone's replicas hang, and is started again.
    RollHang,
    /// Discovery doesn't answer for some seconds; afterwards a zone's replicas are draining.
    DiscoveryDown,
    /// While all replicas are slow, clients send three times as many searches and abandon them.
    LeaveBurst,
}

impl Scenario {
    /// All scenarios, in the order in which they are listed.
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

    /// The scenario's name on the command line and in an outcome.
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
    /// Whether the faults are injected into a lease holder; the figures of interest are those of leases.
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

    /// Whether the clocks of the processes differ.
    pub fn has_clock_skew(self) -> bool {
        self == Scenario::Skew
    }

    /// Seconds under load.
    pub fn seconds(self) -> f64 {
        match self {
            Scenario::Flap => 34.0,
            Scenario::Calm | Scenario::Loss30 => 18.0,
            scenario if scenario.targets_lease_holder() => 30.0,
            _ => 24.0,
        }
    }
}
