//! What came of many seeds.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use woadreach_simulation::{Outcome, Recovery};

/// Most seeds that break a rule of which a line is printed.
const MAX_PRINTED: usize = 20;
/// The longest recovery that a histogram holds, in milliseconds: an hour.
const MAX_RECOVERY_MS: u64 = 3_600_000;

/// A seed that breaks a rule.
#[derive(Serialize)]
pub(super) struct BrokenSeed {
    seed: u64,
    rule: String,
    /// Seconds from the start of load.
    at: f64,
    why: String,
    breaches: usize,
}

/// Recovery from all faults of one kind.
#[derive(Serialize)]
struct KindRecovery {
    faults: u64,
    /// Seconds until service was back, where it was: the median, the 0.9 quantile, the longest.
    back_after: [f64; 3],
    /// Faults after which service was not back in the run.
    never: u64,
    /// Mean of the searches lost to a fault.
    lost: f64,
    /// Mean of the attempts of a search meanwhile.
    sub_requests: f64,
}

/// All seeds together.
#[derive(Serialize)]
pub(super) struct Summary {
    seeds: u64,
    /// Simulated seconds.
    seconds: f64,
    /// Seconds that it took.
    wall: f64,
    steps: u64,
    events: u64,
    searches: u64,
    /// Searches answered in time.
    good: u64,
    sub_requests: u64,
    /// Digest of the digests of all seeds, in their order.
    digest: String,
    kinds: BTreeMap<&'static str, KindRecovery>,
    /// Seeds that break a rule.
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
        let is_never = |recovery: &&&Recovery| recovery.back_after_s.is_none();
        let lost: f64 = recoveries
            .iter()
            .map(|recovery| recovery.lost_searches)
            .sum();
        let sub_requests: f64 = recoveries
            .iter()
            .map(|recovery| recovery.attempts_per_search)
            .sum();
        KindRecovery {
            faults: recoveries.len() as u64,
            back_after: [quantile(0.5), quantile(0.9), quantile(1.0)],
            never: recoveries.iter().filter(is_never).count() as u64,
            lost: lost / count,
            sub_requests: sub_requests / count,
        }
    }
}

impl Summary {
    /// Sums up the outcomes of seeds that took `wall` seconds to play.
    pub(super) fn new(outcomes: &BTreeMap<u64, Outcome>, wall: f64) -> Summary {
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
            wall,
            steps: sum(&|outcome| outcome.steps),
            events: sum(&|outcome| outcome.events),
            searches: sum(&|outcome| outcome.searches),
            good: sum(&|outcome| outcome.answered_in_time),
            sub_requests: sum(&|outcome| outcome.attempts),
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
            self.seeds, self.seconds, self.wall
        );
        let rate = |count: u64| count as f64 / self.wall.max(1e-9);
        println!(
            "{:.0} seeds a second, {:.0} searches a second, {:.0} steps a second",
            rate(self.seeds),
            rate(self.searches),
            rate(self.steps)
        );
        println!(
            "{} searches, {} in time, {} sub-requests, {} events",
            self.searches, self.good, self.sub_requests, self.events
        );
        println!("digest {}", self.digest);
        self.print_kinds();
        for broken in self.broken.iter().take(MAX_PRINTED) {
            println!(
                "seed {}: {}, at {:.3} s: {}",
                broken.seed, broken.rule, broken.at, broken.why
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
            let [median, high, longest] = recovery.back_after;
            println!(
                "{kind:<18}{:>7}{median:>9.2}{high:>9.2}{longest:>9.2}{:>7}{:>8.1}{:>12.2}",
                recovery.faults, recovery.never, recovery.lost, recovery.sub_requests
            );
        }
    }
}

fn broken_seed(seed: u64, outcome: &Outcome) -> Option<BrokenSeed> {
    let first = outcome.breaches.first()?;
    Some(BrokenSeed {
        seed,
        rule: first.rule.to_string(),
        at: first.at - woadreach_simulation::BEGIN,
        why: first.why.clone(),
        breaches: outcome.breaches.len(),
    })
}
