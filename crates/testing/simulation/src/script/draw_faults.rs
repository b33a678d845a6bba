//! Drawing faults: single ones, and groups of faults that are hard to survive together.

use super::Script;
use super::fault::{Fault, FaultKind};
use super::random::Choices;

impl Choices {
    /// At least one replica, up to this share of all.
    fn some_replicas(&mut self, script: &Script, max_share: f64) -> Vec<usize> {
        self.subset(script.replicas(), max_share)
    }

    /// All co-ordinators, or one.
    fn some_co_ordinators(&mut self, script: &Script) -> Vec<usize> {
        let n = script.fleet.co_ordinators;
        if self.one_in(3) {
            (0..n).collect()
        } else {
            vec![self.below(n)]
        }
    }

    /// A single fault of any kind. Kinds are drawn by their position in [`FaultKind::NAMES`], so that its order is part
    /// of what a seed stands for. In place of a kind that the script can't have there is a burst.
    pub(super) fn fault_kind(&mut self, script: &Script) -> FaultKind {
        let index = self.small_below(FaultKind::NAMES.len() as u32);
        match FaultKind::NAMES[index as usize] {
            "cut" if script.fleet.zones > 1 => self.partition(script),
            "costly" if script.settings.slow_start.is_none() => FaultKind::ExpensiveSearches {
                factor: self.pick(&[2.0, 5.0]),
            },
            "cut" | "costly" | "burst" => FaultKind::LoadBurst {
                factor: self.pick(&[2.0, 4.0]),
            },
            "rude" => FaultKind::MalformedRequests {
                rate: self.pick(&[2.0, 10.0]),
            },
            name @ ("discovery_silent" | "stall" | "kill" | "restart" | "reload") => {
                self.co_ordinator_fault(name, script)
            }
            name => self.replica_fault(name, script),
        }
    }

    fn partition(&mut self, script: &Script) -> FaultKind {
        let zones = script.fleet.zones;
        let from = self.below(zones);
        FaultKind::Partition {
            from,
            to: (from + 1) % zones,
            both: self.one_in(2),
        }
    }

    fn co_ordinator_fault(&mut self, name: &str, script: &Script) -> FaultKind {
        let co_ordinators = self.some_co_ordinators(script);
        match name {
            "discovery_silent" => FaultKind::DiscoveryUnresponsive { co_ordinators },
            "stall" => FaultKind::StallCoordinators { co_ordinators },
            "kill" => FaultKind::KillCoordinators { co_ordinators },
            "restart" => FaultKind::RestartCoordinators { co_ordinators },
            _ => FaultKind::ReloadCoordinators { co_ordinators },
        }
    }

    fn replica_fault(&mut self, name: &str, script: &Script) -> FaultKind {
        let max_share = match name {
            "die" | "vanish" | "drain" | "hang" => 0.3,
            "slow" | "full" | "swallow" | "spoil" | "break" | "stall_replicas" => 0.4,
            "heedless" => 1.0,
            _ => 0.5,
        };
        let replicas = self.some_replicas(script, max_share);
        match name {
            "die" => FaultKind::Crash {
                replicas,
                listed_after_s: self.pick(&[0.1, 1.0, 4.0]),
            },
            "vanish" => FaultKind::Isolate { replicas },
            "drain" => FaultKind::Drain { replicas },
            "hang" => FaultKind::Hang { replicas },
            "slow" => FaultKind::Slow {
                replicas,
                factor: self.pick(&[2.0, 5.0, 20.0]),
            },
            "full" => FaultKind::RejectParts { replicas },
            "heedless" => FaultKind::IgnoreCancels { replicas },
            "late" => FaultKind::SlowReads {
                replicas,
                accept_delay_s: self.pick(&[0.0, 0.01, 0.1]),
                read_delay_s: self.pick(&[0.0, 0.0005, 0.001]),
            },
            "stall_replicas" => FaultKind::StallReplicas { replicas },
            _ => self.answer_fault(name, replicas),
        }
    }

    /// A fault that a share of the answers of these replicas has.
    fn answer_fault(&mut self, name: &str, replicas: Vec<usize>) -> FaultKind {
        let shares: &[f64] = match name {
            "swallow" | "errors" => &[0.1, 0.5, 1.0],
            "double" => &[0.2, 1.0],
            _ => &[0.05, 0.3],
        };
        let share = self.pick(shares);
        match name {
            "swallow" => FaultKind::DropAnswers { replicas, share },
            "errors" => FaultKind::AnswerErrors { replicas, share },
            "spoil" => FaultKind::CorruptAnswers { replicas, share },
            "double" => FaultKind::DuplicateAnswers { replicas, share },
            _ => FaultKind::BreakConnections { replicas, share },
        }
    }

    /// Faults that hit together: a known bad combination, or any one or two.
    pub(super) fn fault_group(&mut self, script: &Script, at: f64) -> Vec<Fault> {
        let duration = self.pick(&[0.5, 2.0, 4.0, 8.0]);
        match self.small_below(15) {
            0 | 1 => self.crash_together(script, at, duration),
            2 if script.fleet.zones > 1 => self.partition_with_stale_list(script, at, duration),
            3 => self.drain_with_unresponsive_discovery(script, at, duration),
            4 => self.restart_within_reload(script, at),
            5 => self.corruption_with_broken_connections(script, at, duration),
            6 => self.answers_that_cross_cancels(script, at, duration),
            7 => self.stall_with_burst(script, at, duration),
            8 => self.isolation_with_replacement(script, at, duration),
            // Not while replicas may be warming up: see the open points of `docs/faults.md`.
            9 if script.settings.slow_start.is_none() => {
                self.overload_with_errors(script, at, duration)
            }
            10 => self.drain_while_stalled(script, at, duration),
            _ => self.one_or_two_faults(script, at, duration),
        }
    }

    /// Replicas crash together and warm up together.
    fn crash_together(&mut self, script: &Script, at: f64, duration: f64) -> Vec<Fault> {
        let mut replicas = self.some_replicas(script, 0.3);
        replicas.extend(self.some_replicas(script, 0.3));
        replicas.sort_unstable();
        replicas.dedup();
        let listed_after_s = self.pick(&[0.1, 1.0, 4.0]);
        let crash = FaultKind::Crash {
            replicas,
            listed_after_s,
        };
        vec![Fault::new(at, duration, crash)]
    }

    fn partition_with_stale_list(&mut self, script: &Script, at: f64, duration: f64) -> Vec<Fault> {
        let from = self.below(script.fleet.zones);
        let partition = FaultKind::Partition {
            from,
            to: (from + 1) % script.fleet.zones,
            both: true,
        };
        let co_ordinators = self.some_co_ordinators(script);
        vec![
            Fault::new(
                at,
                duration,
                FaultKind::DiscoveryUnresponsive { co_ordinators },
            ),
            Fault::new(at + 0.2, duration, partition),
        ]
    }

    /// Replicas drain while the endpoint lists of some co-ordinators are stale.
    fn drain_with_unresponsive_discovery(
        &mut self,
        script: &Script,
        at: f64,
        duration: f64,
    ) -> Vec<Fault> {
        let co_ordinators = self.some_co_ordinators(script);
        let replicas = self.some_replicas(script, 0.3);
        vec![
            Fault::new(
                at,
                duration,
                FaultKind::DiscoveryUnresponsive { co_ordinators },
            ),
            Fault::new(at + 0.1, duration + 2.0, FaultKind::Drain { replicas }),
        ]
    }

    /// Replicas drain while they are suspended, with parts that they have not read yet.
    fn drain_while_stalled(&mut self, script: &Script, at: f64, duration: f64) -> Vec<Fault> {
        let replicas = self.some_replicas(script, 0.3);
        let stall = FaultKind::StallReplicas {
            replicas: replicas.clone(),
        };
        vec![
            Fault::new(at, duration, stall),
            Fault::new(at + 0.3, duration + 1.0, FaultKind::Drain { replicas }),
        ]
    }

    fn restart_within_reload(&mut self, script: &Script, at: f64) -> Vec<Fault> {
        let co_ordinators = self.some_co_ordinators(script);
        let restart_at = at + self.pick(&[0.0, 0.05, 0.5]);
        let reload = FaultKind::ReloadCoordinators {
            co_ordinators: co_ordinators.clone(),
        };
        let restart = FaultKind::RestartCoordinators { co_ordinators };
        vec![
            Fault::new(at, 2.0, reload),
            Fault::new(restart_at, 1.0, restart),
        ]
    }

    fn corruption_with_broken_connections(
        &mut self,
        script: &Script,
        at: f64,
        duration: f64,
    ) -> Vec<Fault> {
        let share = 0.1;
        let replicas = self.some_replicas(script, 0.5);
        let corruption = FaultKind::CorruptAnswers { replicas, share };
        let replicas = self.some_replicas(script, 0.5);
        let breaks = FaultKind::BreakConnections { replicas, share };
        vec![
            Fault::new(at, duration, corruption),
            Fault::new(at, duration, breaks),
        ]
    }

    fn answers_that_cross_cancels(
        &mut self,
        script: &Script,
        at: f64,
        duration: f64,
    ) -> Vec<Fault> {
        let replicas = self.some_replicas(script, 1.0);
        let ignoring = FaultKind::IgnoreCancels { replicas };
        let replicas = self.some_replicas(script, 0.5);
        let factor = 8.0;
        vec![
            Fault::new(at, duration + 4.0, ignoring),
            Fault::new(at, duration, FaultKind::Slow { replicas, factor }),
        ]
    }

    fn stall_with_burst(&mut self, script: &Script, at: f64, duration: f64) -> Vec<Fault> {
        let stall_duration = self.pick(&[0.2, 1.0, 3.0]);
        let co_ordinators = self.some_co_ordinators(script);
        let stall = FaultKind::StallCoordinators { co_ordinators };
        vec![
            Fault::new(at, stall_duration, stall),
            Fault::new(at, duration, FaultKind::LoadBurst { factor: 3.0 }),
        ]
    }

    fn isolation_with_replacement(
        &mut self,
        script: &Script,
        at: f64,
        duration: f64,
    ) -> Vec<Fault> {
        let replicas = self.some_replicas(script, 0.5);
        let isolated_for = self.pick(&[0.5, 2.0]);
        let isolation = FaultKind::Isolate {
            replicas: replicas.clone(),
        };
        vec![
            Fault::new(at, isolated_for, isolation),
            Fault::new(at + 0.3, duration, FaultKind::Drain { replicas }),
        ]
    }

    fn overload_with_errors(&mut self, script: &Script, at: f64, duration: f64) -> Vec<Fault> {
        let replicas = self.some_replicas(script, 0.4);
        let share = 0.3;
        let expensive = FaultKind::ExpensiveSearches { factor: 4.0 };
        vec![
            Fault::new(at, duration, expensive),
            Fault::new(at, duration, FaultKind::AnswerErrors { replicas, share }),
        ]
    }

    fn one_or_two_faults(&mut self, script: &Script, at: f64, duration: f64) -> Vec<Fault> {
        let mut faults = vec![Fault::new(at, duration, self.fault_kind(script))];
        if self.one_in(2) {
            let later = at + self.pick(&[0.0, 0.3, 1.0]);
            let duration = self.pick(&[1.0, 3.0]);
            faults.push(Fault::new(later, duration, self.fault_kind(script)));
        }
        faults
    }
}
