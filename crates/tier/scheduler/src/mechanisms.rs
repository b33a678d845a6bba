//! Mechanisms of the scheduler that can be disabled in a measurement of their effect (ablation).
//!
//! Without the feature `ablation`, which no release build enables, all mechanisms are enabled and the checks compile to
//! constants.

/// A mechanism that can be disabled in a build with the feature `ablation`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Placement considers the prompt parts that this process has sent to a replica as cached there.
    OwnPromptKnowledge,
    /// Calls of a program or about an object prefer its home replica.
    Homes,
    /// Late idempotent calls are hedged, and resumable streams move away from replicas that have lost them.
    Hedging,
    /// Calls that would be late are rejected on arrival while all replicas are full.
    SheddingOnArrival,
    /// The latency target of a step is derived from the remaining time of its program.
    ProgramPace,
    /// A replica is under backpressure after a rejection or a time-out: calls beyond its concurrency limit are queued.
    Hold,
    /// Queued calls are sent in order of queuing deadline; if disabled, in order of arrival.
    DeadlineOrder,
    /// A call is not sent if its remaining time is below the replica's unloaded tail latency.
    Skip,
    /// Failing and slow replicas are ejected, and probed until they are restored.
    OutlierEjection,
    /// Unresponsive replicas are avoided while others remain.
    UnresponsiveAvoidance,
    /// A replica whose last outcome was a recent failure is avoided while others remain.
    RecentFailureAvoidance,
    /// The number of retries and hedges is limited to a share of the first attempts.
    RetryBudget,
    /// Among equally suitable replicas, those in the local zone are preferred.
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

    /// Name of the mechanism on the command line.
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

    /// The mechanism with this command-line name; `None` if the name is unknown.
    pub fn from_name(name: &str) -> Option<Mechanism> {
        let mut all = Mechanism::ALL.into_iter();
        all.find(|mechanism| mechanism.as_str() == name)
    }
}

#[cfg(feature = "ablation")]
mod switches {
    use super::Mechanism;
    use std::sync::atomic::{AtomicU32, Ordering};

    /// Bit set of the disabled mechanisms, by their position in the declaration.
    static SWITCHED_OFF: AtomicU32 = AtomicU32::new(0);

    /// Disables this mechanism for all schedulers of the process.
    pub fn switch_off(mechanism: Mechanism) {
        SWITCHED_OFF.fetch_or(1 << mechanism as u32, Ordering::Relaxed);
    }

    /// Enables all mechanisms for all schedulers of the process.
    pub fn switch_all_on() {
        SWITCHED_OFF.store(0, Ordering::Relaxed);
    }

    /// Whether the mechanism is enabled.
    pub(crate) fn is_on(mechanism: Mechanism) -> bool {
        SWITCHED_OFF.load(Ordering::Relaxed) & (1 << mechanism as u32) == 0
    }
}

#[cfg(feature = "ablation")]
pub(crate) use switches::is_on;
#[cfg(feature = "ablation")]
pub use switches::{switch_all_on, switch_off};

/// Whether the mechanism is enabled; always true without the feature `ablation`.
#[cfg(not(feature = "ablation"))]
#[inline(always)]
pub(crate) const fn is_on(_: Mechanism) -> bool {
    true
}
