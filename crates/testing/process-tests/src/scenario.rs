//! What goes wrong when. Owns nothing; a pure function of the plan's sizes.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::str::FromStr;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    Calm,
    /// A zone's replicas and co-ordinators die, and come back cold.
    ZoneLoss,
    /// A zone is cut off from the others, both ways.
    ZoneCut,
    /// A zone's replicas are three hundred times slower, beyond any target.
    ZoneSlow,
    /// What leaves a zone is lost, what goes to it is not.
    OneWay,
    /// A zone is cut off and back every two seconds.
    Flap,
    /// All zones of a region are lost.
    RegionLoss,
    /// 30 % of datagrams are lost, and nothing else is wrong.
    Loss30,
    /// Seven in ten co-ordinators are killed at once, and started again.
    MassKill,
    /// A zone's co-ordinators stand still for some seconds, while its replicas serve.
    ZoneStall,
    /// Whoever holds the first warden's duty stands still for longer than a lease, and wakes.
    HolderStall,
    /// Its zone is cut off from the others, both ways.
    HolderCut,
    /// It is killed, and started again.
    HolderKill,
    /// Its zone is cut off, of five or more together with another: the holder is on the minority's side.
    SplitBrain,
    /// Clocks run one per cent fast and slow and are seconds apart; the holder is killed.
    Skew,
    /// 30 % of datagrams are lost, and the holder is killed.
    LeaseLossy,
    /// One co-ordinator after another is told to end, while a zone's replicas hang, and started again.
    RollHang,
    /// Discovery falls silent for all; at its return a zone's replicas drain.
    DiscoveryDown,
    /// While all replicas are slow clients ask at three times the rate and leave at once.
    LeaveBurst,
}

impl Scenario {
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
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names = Scenario::ALL.map(Scenario::name).join(", ");
        let found = Scenario::ALL.into_iter().find(|s| s.name() == text);
        found.ok_or_else(|| format!("no such scenario; there are {names}"))
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A zone's replicas die, or start again, cold.
    KillReplicas(usize),
    StartReplicas(usize),
    SlowReplicas {
        zone: usize,
        factor: f64,
    },
    Cut {
        from: usize,
        to: usize,
        cut: bool,
    },
    /// Of datagrams, on all ways.
    Lose(f64),
    /// A zone's replicas take parts in and answer none, or answer again.
    HangReplicas {
        zone: usize,
        hang: bool,
    },
    /// A zone's replicas are listed as draining, or as ready again.
    DrainReplicas {
        zone: usize,
        drain: bool,
    },
    /// All agents say nothing, or speak again.
    SilenceDiscovery(bool),
    /// Clients ask three times as often and go at once, or do as before.
    LeaveAtOnce(bool),
    Kill(Vec<usize>),
    /// SIGTERM.
    Term(Vec<usize>),
    Start(Vec<usize>),
    /// SIGSTOP for so many seconds, and SIGCONT.
    Stop(Vec<usize>, f64),
    Go(Vec<usize>),
    /// Done to whoever holds the duty then; the same one is meant until the next `Holder`.
    Holder(Grip),
}

/// What is done to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grip {
    Stop,
    Go,
    Kill,
    Start,
    Cut,
    /// Its zone, and where there are five another with it, are cut from the others.
    Split,
    Mend,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub act: Act,
}

/// A time in which a zone is at fault, so that a verdict against it is right.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub zone: usize,
    pub from: f64,
    pub until: f64,
}

/// Seconds from the start of load to the first fault: members know each other and samples are in.
const BEGINS: f64 = 6.0;
const LASTS: f64 = 5.0;
/// By then somebody holds the duty: a lease's silence, and a bid.
const HOLDS: f64 = 8.0;
/// From SIGTERM until the next start: the process has ended by then, or been killed.
const TERM_LASTS: f64 = 3.0;
/// What is done to a holder lasts so long: longer than a lease and a bid.
pub const GRIPPED: f64 = 6.0;

impl Scenario {
    /// It is about a duty's holder; its figures are those of leases.
    pub fn of_duty(self) -> bool {
        use Scenario::*;
        matches!(
            self,
            HolderStall | HolderCut | HolderKill | SplitBrain | Skew | LeaseLossy
        )
    }

    /// Clocks of the processes differ.
    pub fn skewed(self) -> bool {
        self == Scenario::Skew
    }

    /// Seconds under load.
    pub fn seconds(self) -> f64 {
        match self {
            Scenario::Flap => 34.0,
            s if s.of_duty() => 30.0,
            Scenario::Calm | Scenario::Loss30 => 18.0,
            _ => 24.0,
        }
    }

    /// What is done, and which zones are at fault when. `regions`: of each zone.
    pub fn steps(
        self,
        co_ordinators: usize,
        regions: &[usize],
        seed: u64,
    ) -> (Vec<Step>, Vec<Fault>) {
        let zones = regions.len();
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let zone = chance.random_range(0..zones);
        let (from, until) = (BEGINS, BEGINS + LASTS);
        let mut steps = Vec::new();
        let mut faults = vec![Fault { zone, from, until }];
        let mut add = |at: f64, act: Act| steps.push(Step { at, act });
        let of_zone = |z: usize| {
            (0..co_ordinators)
                .filter(|n| n % zones == z)
                .collect::<Vec<_>>()
        };
        let others = |z: usize| (0..zones).filter(move |o| *o != z);
        match self {
            Scenario::Calm => faults.clear(),
            Scenario::Loss30 => {
                add(0.0, Act::Lose(0.3));
                faults.clear();
            }
            Scenario::ZoneLoss | Scenario::RegionLoss => {
                let lost = |z: &usize| match self {
                    Scenario::ZoneLoss => *z == zone,
                    _ => regions[*z] == regions[zone],
                };
                let lost: Vec<usize> = (0..zones).filter(lost).collect();
                faults = lost
                    .iter()
                    .map(|z| Fault {
                        zone: *z,
                        from,
                        until,
                    })
                    .collect();
                for z in lost {
                    add(from, Act::KillReplicas(z));
                    add(from, Act::Kill(of_zone(z)));
                    add(until, Act::StartReplicas(z));
                    add(until, Act::Start(of_zone(z)));
                }
            }
            Scenario::ZoneSlow => {
                add(
                    from,
                    Act::SlowReplicas {
                        zone,
                        factor: 300.0,
                    },
                );
                add(until, Act::SlowReplicas { zone, factor: 1.0 });
            }
            Scenario::ZoneCut | Scenario::OneWay => {
                for (at, cut) in [(from, true), (until, false)] {
                    for other in others(zone) {
                        add(
                            at,
                            Act::Cut {
                                from: zone,
                                to: other,
                                cut,
                            },
                        );
                        if self == Scenario::ZoneCut {
                            add(
                                at,
                                Act::Cut {
                                    from: other,
                                    to: zone,
                                    cut,
                                },
                            );
                        }
                    }
                }
            }
            Scenario::Flap => {
                faults.clear();
                for n in 0..6 {
                    let (from, until) = (
                        BEGINS + 4.0 * f64::from(n),
                        BEGINS + 4.0 * f64::from(n) + 2.0,
                    );
                    faults.push(Fault { zone, from, until });
                    for (at, cut) in [(from, true), (until, false)] {
                        for other in others(zone) {
                            add(
                                at,
                                Act::Cut {
                                    from: zone,
                                    to: other,
                                    cut,
                                },
                            );
                            add(
                                at,
                                Act::Cut {
                                    from: other,
                                    to: zone,
                                    cut,
                                },
                            );
                        }
                    }
                }
            }
            Scenario::ZoneStall => {
                faults.clear();
                add(from, Act::Stop(of_zone(zone), LASTS));
                add(until, Act::Go(of_zone(zone)));
            }
            Scenario::HolderStall
            | Scenario::HolderCut
            | Scenario::HolderKill
            | Scenario::SplitBrain
            | Scenario::Skew
            | Scenario::LeaseLossy => {
                faults.clear();
                if self == Scenario::LeaseLossy {
                    add(0.0, Act::Lose(0.3));
                }
                let (grip, back) = match self {
                    Scenario::HolderStall => (Grip::Stop, Grip::Go),
                    Scenario::HolderCut => (Grip::Cut, Grip::Mend),
                    Scenario::SplitBrain => (Grip::Split, Grip::Mend),
                    _ => (Grip::Kill, Grip::Start),
                };
                // Twice, so that one run tells of two handovers.
                for at in [HOLDS, HOLDS + 10.0] {
                    add(at, Act::Holder(grip));
                    add(at + GRIPPED, Act::Holder(back));
                }
            }
            Scenario::RollHang => {
                faults.clear();
                add(from - 0.2, Act::HangReplicas { zone, hang: true });
                for n in 0..co_ordinators {
                    let at = from + 2.0 * n as f64;
                    add(at, Act::Term(vec![n]));
                    add(at + TERM_LASTS, Act::Start(vec![n]));
                }
                add(
                    from + 2.0 * co_ordinators as f64,
                    Act::HangReplicas { zone, hang: false },
                );
            }
            Scenario::DiscoveryDown => {
                faults.clear();
                add(from, Act::SilenceDiscovery(true));
                add(until, Act::SilenceDiscovery(false));
                add(until + 0.3, Act::DrainReplicas { zone, drain: true });
                add(until + 8.0, Act::DrainReplicas { zone, drain: false });
            }
            Scenario::LeaveBurst => {
                faults.clear();
                for zone in 0..zones {
                    add(from - 0.5, Act::SlowReplicas { zone, factor: 30.0 });
                    add(until, Act::SlowReplicas { zone, factor: 1.0 });
                }
                add(from, Act::LeaveAtOnce(true));
                add(until, Act::LeaveAtOnce(false));
            }
            Scenario::MassKill => {
                faults.clear();
                let mut all: Vec<usize> = (0..co_ordinators).collect();
                for i in 0..all.len() {
                    let j = chance.random_range(i..all.len());
                    all.swap(i, j);
                }
                all.truncate((co_ordinators * 7).div_ceil(10));
                add(from, Act::Kill(all.clone()));
                add(from + 3.0, Act::Start(all));
            }
        }
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        (steps, faults)
    }
}
