//! Summary of a run of many seeds: totals, recovery by kind of fault, and the seeds that break a rule.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use woadreach_simulation::{Outcome, Recovery};

/// Maximum number of rule-breaking seeds to print.
const MAX_PRINTED: usize = 20;
/// Longest recovery that a histogram records: one hour. Longer ones are recorded as this.
const MAX_RECOVERY_MS: u64 = 3_600_000;

/// A seed that breaks a rule, with its first breach.
#[derive(Serialize)]
pub(super) struct BrokenSeed {
    seed: u64,
    rule: String,
    /// Time of the breach, in seconds from the start of the run.
    #[serde(rename = "at")]
    at_s: f64,
    why: String,
    /// Number of recorded breaches, 20 at most.
    breaches: usize,
}

/// Times from a fault until service recovered. Serialized as an array in the order of the fields.
#[derive(Clone, Copy, Serialize)]
#[serde(into = "[f64; 3]")]
struct RecoveryTimes {
    median_s: f64,
    p90_s: f64,
    longest_s: f64,
}

impl From<RecoveryTimes> for [f64; 3] {
    fn from(times: RecoveryTimes) -> [f64; 3] {
        [times.median_s, times.p90_s, times.longest_s]
    }
}

/// Aggregate recovery from all faults of one kind.
#[derive(Serialize)]
struct KindRecovery {
    faults: u64,
    /// Recovery times, only over faults after which service recovered before the end of the run.
    back_after: RecoveryTimes,
    /// Number of faults after which service did not recover before the end of the run.
    never: u64,
    /// Mean number of searches per fault that missed their latency target because of it.
    #[serde(rename = "lost")]
    missed_searches: f64,
    /// Mean number of attempts per search from a fault until service recovered.
    #[serde(rename = "sub_requests")]
    attempts_per_search: f64,
}

/// Totals over all seeds.
#[derive(Serialize)]
pub(super) struct Summary {
    seeds: u64,
    /// Simulated seconds.
    seconds: f64,
    /// Wall time of the run, in seconds.
    #[serde(rename = "wall")]
    wall_s: f64,
    steps: u64,
    events: u64,
    searches: u64,
    #[serde(rename = "good")]
    answered_in_time: u64,
    #[serde(rename = "sub_requests")]
    attempts: u64,
    /// Digest of the concatenated digests of all seeds, in the order of the seeds.
    digest: String,
    kinds: BTreeMap<&'static str, KindRecovery>,
    /// Seeds that break a rule, in ascending order.
    pub(super) broken: Vec<BrokenSeed>,
}

impl KindRecovery {
    fn new(recoveries: &[&Recovery]) -> KindRecovery {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_RECOVERY_MS, 3).ok();
        for after in recoveries
            .iter()
            .filter_map(|recovery| recovery.back_after_s)
        {
            if let Some(histogram) = &mut histogram {
                histogram.saturating_record((after * 1000.0).max(1.0) as u64);
            }
        }
        let quantile = |quantile| {
            histogram.as_ref().map_or(0.0, |histogram| {
                histogram.value_at_quantile(quantile) as f64 / 1000.0
            })
        };
        let count = recoveries.len() as f64;
        let has_not_recovered = |recovery: &&&Recovery| recovery.back_after_s.is_none();
        let missed_searches: f64 = recoveries
            .iter()
            .map(|recovery| recovery.missed_searches)
            .sum();
        let attempts_per_search: f64 = recoveries
            .iter()
            .map(|recovery| recovery.attempts_per_search)
            .sum();
        KindRecovery {
            faults: recoveries.len() as u64,
            back_after: RecoveryTimes {
                median_s: quantile(0.5),
                p90_s: quantile(0.9),
                longest_s: quantile(1.0),
            },
            never: recoveries.iter().filter(has_not_recovered).count() as u64,
            missed_searches: missed_searches / count,
            attempts_per_search: attempts_per_search / count,
        }
    }
}

impl Summary {
    /// Aggregates the outcomes of all seeds; the key of `outcomes` is the seed. `wall_s` is the wall time of the run,
    /// in seconds.
    pub(super) fn new(outcomes: &BTreeMap<u64, Outcome>, wall_s: f64) -> Summary {
        let sum = |count: &dyn Fn(&Outcome) -> u64| outcomes.values().map(count).sum();
        let mut recoveries: BTreeMap<&'static str, Vec<&Recovery>> = BTreeMap::new();
        for recovery in outcomes.values().flat_map(|outcome| &outcome.recoveries) {
            recoveries.entry(recovery.kind).or_default().push(recovery);
        }
        let digests: String = outcomes
            .values()
            .map(|outcome| outcome.digest.as_str())
            .collect();
        Summary {
            seeds: outcomes.len() as u64,
            seconds: outcomes.values().map(|outcome| outcome.seconds).sum(),
            wall_s,
            steps: sum(&|outcome| outcome.steps),
            events: sum(&|outcome| outcome.events),
            searches: sum(&|outcome| outcome.searches),
            answered_in_time: sum(&|outcome| outcome.answered_in_time),
            attempts: sum(&|outcome| outcome.attempts),
            digest: woadreach_simulation::digest(&digests),
            kinds: recoveries
                .into_iter()
                .map(|(kind, recoveries)| (kind, KindRecovery::new(&recoveries)))
                .collect(),
            broken: outcomes
                .iter()
                .filter_map(|(seed, outcome)| broken_seed(*seed, outcome))
                .collect(),
        }
    }

    /// Prints the summary as text.
    pub(super) fn print(&self) {
        println!(
            "{} seeds, {:.0} simulated s, {:.1} s of wall time",
            self.seeds, self.seconds, self.wall_s
        );
        let rate = |count: u64| count as f64 / self.wall_s.max(1e-9);
        println!(
            "{:.0} seeds/s, {:.0} searches/s, {:.0} steps/s",
            rate(self.seeds),
            rate(self.searches),
            rate(self.steps)
        );
        println!(
            "{} searches, {} in time, {} sub-requests, {} events",
            self.searches, self.answered_in_time, self.attempts, self.events
        );
        println!("digest {}", self.digest);
        self.print_kinds();
        for broken in self.broken.iter().take(MAX_PRINTED) {
            println!(
                "seed {}: {}, at {:.3} s: {}",
                broken.seed, broken.rule, broken.at_s, broken.why
            );
        }
        match self.broken.len() {
            0 => println!("no rule is broken"),
            count => println!("{count} seeds break a rule"),
        }
    }

    fn print_kinds(&self) {
        println!(
            "{:<18}{:>7}{:>9}{:>9}{:>9}{:>7}{:>8}{:>12}",
            "kind", "faults", "back p50", "p90", "most", "never", "lost", "sub-requests"
        );
        for (kind, recovery) in &self.kinds {
            let RecoveryTimes {
                median_s,
                p90_s,
                longest_s,
            } = recovery.back_after;
            println!(
                "{kind:<18}{:>7}{median_s:>9.2}{p90_s:>9.2}{longest_s:>9.2}{:>7}{:>8.1}{:>12.2}",
                recovery.faults,
                recovery.never,
                recovery.missed_searches,
                recovery.attempts_per_search
            );
        }
    }
}

fn broken_seed(seed: u64, outcome: &Outcome) -> Option<BrokenSeed> {
    let first = outcome.breaches.first()?;
    Some(BrokenSeed {
        seed,
        rule: first.rule.to_string(),
        at_s: first.at - woadreach_simulation::BEGIN,
        why: first.why.clone(),
        breaches: outcome.breaches.len(),
    })
}
