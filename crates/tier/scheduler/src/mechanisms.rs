//! The mechanisms of the scheduler that a measurement can switch off, to tell what each is worth (ablation).
//!
//! Without the feature `ablation`, which no release build has, none can be switched off, and the checks cost nothing.

/// A mechanism that a measurement can switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// What this process's own calls have left in a replica's prompt cache counts.
    OwnPromptKnowledge,
    /// Programs and objects have homes.
    Homes,
    /// Late calls that may run again are hedged.
    Hedging,
    /// Calls are refused on arrival while all replicas are full and they would be late.
    SheddingOnArrival,
    /// The latency target of a step follows from its program's remaining time.
    ProgramPace,
    /// After a full or timed-out answer a replica's queue holds back what exceeds its share.
    Hold,
    /// Queued calls leave by queuing deadline; without it in the order of arrival.
    DeadlineOrder,
    /// A call whose remaining time is below the replica's unloaded tail latency is not sent.
    Skip,
    /// Failing and slow replicas are ejected, and probed.
    OutlierEjection,
    /// Replicas that show no activity are passed over.
    UnresponsiveAvoidance,
    /// A replica whose last outcome was a failure is passed over for a while.
    RecentFailureAvoidance,
    /// Retries and hedges are a bounded share of first attempts.
    RetryBudget,
    /// Among equals the own zone is preferred.
    NearAmongEquals,
}

impl Mechanism {
    /// All mechanisms, in the order of their declaration.
    pub const ALL: [Mechanism; 13] = [
        Mechanism::OwnPromptKnowledge,
        Mechanism::Homes,
        Mechanism::Hedging,
        Mechanism::SheddingOnArrival,
        Mechanism::ProgramPace,
        Mechanism::Hold,
        Mechanism::DeadlineOrder,
        Mechanism::Skip,
        Mechanism::OutlierEjection,
        Mechanism::UnresponsiveAvoidance,
        Mechanism::RecentFailureAvoidance,
        Mechanism::RetryBudget,
        Mechanism::NearAmongEquals,
    ];

    /// The mechanism as command lines name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Mechanism::OwnPromptKnowledge => "own-prompt-knowledge",
            Mechanism::Homes => "homes",
            Mechanism::Hedging => "hedging",
            Mechanism::SheddingOnArrival => "shedding-on-arrival",
            Mechanism::ProgramPace => "program-pace",
            Mechanism::Hold => "hold",
            Mechanism::DeadlineOrder => "deadline-order",
            Mechanism::Skip => "skip",
            Mechanism::OutlierEjection => "outlier-ejection",
            Mechanism::UnresponsiveAvoidance => "unresponsive-avoidance",
            Mechanism::RecentFailureAvoidance => "recent-failure-avoidance",
            Mechanism::RetryBudget => "retry-budget",
            Mechanism::NearAmongEquals => "near-among-equals",
        }
    }

    /// The mechanism of this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Mechanism> {
        let mut all = Mechanism::ALL.into_iter();
        all.find(|mechanism| mechanism.as_str() == name)
    }
}

#[cfg(feature = "ablation")]
mod switches {
    use super::Mechanism;
    use std::sync::atomic::{AtomicU32, Ordering};

    /// A bit for each mechanism that is switched off.
    static SWITCHED_OFF: AtomicU32 = AtomicU32::new(0);

    /// Switches this mechanism off in all schedulers of the process.
    pub fn switch_off(mechanism: Mechanism) {
        SWITCHED_OFF.fetch_or(1 << mechanism as u32, Ordering::Relaxed);
    }

    /// Switches all mechanisms on again.
    pub fn switch_all_on() {
        SWITCHED_OFF.store(0, Ordering::Relaxed);
    }

    /// Whether the mechanism acts.
    pub(crate) fn is_on(mechanism: Mechanism) -> bool {
        SWITCHED_OFF.load(Ordering::Relaxed) & (1 << mechanism as u32) == 0
    }
}

#[cfg(feature = "ablation")]
pub(crate) use switches::is_on;
#[cfg(feature = "ablation")]
pub use switches::{switch_all_on, switch_off};

/// Whether the mechanism acts: always, in this build.
#[cfg(not(feature = "ablation"))]
#[inline(always)]
pub(crate) const fn is_on(_: Mechanism) -> bool {
    true
}
