//! Drawing a script from a seed.

use super::fault::Fault;
use super::query_type::{QueryType, Repeats};
use super::random::Choices;
use super::{Budget, CallsWhileUnresponsive, Fleet, Load, Peers, Script, Settings, SlowStart};

const QUERY_TYPE_NAMES: [&str; 3] = ["browse", "check", "picks"];
/// Most parts of a drawn query type's searches.
const MAX_PARTS: usize = 6;
/// Seconds before the first fault, for the latencies to settle.
const FIRST_FAULT: f64 = 5.0;
/// How often a kind is drawn until it is a wanted one.
const MAX_KIND_DRAWS: usize = 64;

fn draw_fleet(seed: u64, choices: &mut Choices) -> Fleet {
    let cells = choices.pick(&[1, 2, 2, 3, 4]);
    let zones = choices.pick(&[1, 2, 2, 3]);
    Fleet {
        co_ordinators: choices.pick(&[2, 3, 3, 3, 4]),
        zones,
        cells,
        span: if choices.one_in(4) { cells.min(2) } else { 1 },
        shards: cells * choices.pick(&[2, 3, 4]),
        replicas: choices.pick(&[2, 3, 3, 4, 6]),
        cores: choices.pick(&[1, 2, 2, 4]),
        queue_capacity: choices.pick(&[4, 16, 64]),
        max_clock_offset: choices.pick(&[0.0, 0.01, 0.05]),
        max_latency: choices.pick(&[0.001, 0.001, 0.001, 0.02]),
        buffers: choices.pick(&[131_072, 131_072, 131_072, 512]),
        // From a source of its own, so that older seeds keep everything else.
        calls_while_unresponsive: Choices::new(seed, "calls while silent").pick(&[
            CallsWhileUnresponsive::Delayed,
            CallsWhileUnresponsive::ListsLost,
            CallsWhileUnresponsive::Lost,
        ]),
    }
}

fn draw_settings(choices: &mut Choices) -> Settings {
    Settings {
        per_call: choices.pick(&[1, 1, 2, 4]),
        cancelling: !choices.one_in(4),
        hedging: !choices.one_in(4),
        attempts: choices.pick(&[2, 3, 4]),
        streams: choices.pick(&[2, 8, 100]),
        descriptors: choices.pick(&[128, 256, 1024]),
        retry_after: !choices.one_in(3),
        marks_repeats: choices.one_in(3),
        drain_grace_s: choices.pick(&[0.1, 0.5]),
        connect_timeout_s: choices.pick(&[0.25, 0.25, 2.0]),
        idle_timeout_s: choices.pick(&[30.0, 30.0, 2.5]),
        budget: choices.one_in(3).then_some(Budget {
            free: 3.0,
            share: 0.1,
            window_s: 10.0,
        }),
        slow_start: choices.one_in(2).then(|| SlowStart {
            initial_share: choices.pick(&[0.25, 0.15]),
            duration_s: 8.0,
            overload_multiple: 2.0,
            overload_window_s: 2.0,
        }),
    }
}

/// A query type of the fleet; `index` chooses its name.
pub(super) fn draw_query_type(index: usize, fleet: &Fleet, choices: &mut Choices) -> QueryType {
    let max_parts = (fleet.shards as usize).min(MAX_PARTS);
    let min_parts = 1 + choices.below(max_parts);
    let latency_target_s = choices.pick(&[0.3, 0.6, 1.0, 1.5]);
    let may_be_partial = choices.one_in(2);
    QueryType {
        name: QUERY_TYPE_NAMES[index % QUERY_TYPE_NAMES.len()].to_string(),
        share: choices.pick(&[1.0, 2.0, 3.0]),
        latency_target_s,
        client_timeout_s: latency_target_s * choices.pick(&[2.0, 3.0]),
        repeats: choices.pick(&[
            Repeats::Idempotent,
            Repeats::Idempotent,
            Repeats::Tokened,
            Repeats::NonIdempotent,
        ]),
        token_window_s: choices.pick(&[0.5, 2.0]),
        any_holder: choices.one_in(2),
        complete_weight: 1.0,
        minimum_weight: if may_be_partial {
            choices.pick(&[0.5, 0.8])
        } else {
            1.0
        },
        second_step_parts: if choices.one_in(3) {
            choices.pick(&[1, 2])
        } else {
            0
        },
        min_parts,
        max_parts: (min_parts + choices.within(0..=2)).min(max_parts),
        work_s: choices.pick(&[0.01, 0.03, 0.06, 0.1]),
    }
}

/// Searches per second at each co-ordinator that use this share of all cores.
pub(super) fn rate_for(utilization: f64, fleet: &Fleet, query_types: &[QueryType]) -> f64 {
    let share: f64 = query_types.iter().map(|t| t.share).sum();
    let work: f64 = query_types
        .iter()
        .map(|t| t.share / share * t.work_s * t.mean_parts())
        .sum();
    let cores = (fleet.cells as usize * fleet.replicas * fleet.cores) as f64;
    cores * utilization / work / fleet.co_ordinators as f64
}

fn draw_load(fleet: &Fleet, query_types: &[QueryType], choices: &mut Choices) -> Load {
    let utilization = choices.pick(&[0.3, 0.45, 0.6, 0.75, 0.9]);
    Load {
        rate: rate_for(utilization, fleet, query_types).clamp(1.0, 5.0),
        skew: 0.0,
        retries: choices.pick(&[0, 1, 2, 3]),
        retry_delay_s: choices.pick(&[0.05, 0.2]),
        honors_retry_after: choices.one_in(2),
        disconnect_share: choices.pick(&[0.0, 0.02, 0.1]),
    }
}

/// From a source of its own: older seeds, from before there were peers, keep everything else.
fn draw_peers(seed: u64) -> Option<Peers> {
    let mut choices = Choices::new(seed, "peers");
    choices.one_in(2).then(|| Peers {
        loss: choices.pick(&[0.0, 0.1, 0.3]),
        duplication: choices.pick(&[0.0, 0.02]),
        max_delay_s: choices.pick(&[0.0, 0.01, 1.0]),
    })
}

/// A group of faults, of the kinds in `only`; of all kinds if that is empty.
fn draw_group(script: &Script, only: &[String], choices: &mut Choices) -> Vec<Fault> {
    let is_wanted = |name: &str| only.iter().any(|wanted| wanted == name);
    let at = FIRST_FAULT + choices.fraction((script.seconds - 10.0).max(0.1));
    let mut faults = choices.fault_group(script, (at * 100.0).round() / 100.0);
    faults.retain(|f| only.is_empty() || is_wanted(f.kind.name()));
    if faults.is_empty() {
        // The group had none of the wanted kinds: one of them by itself.
        let kind = (0..MAX_KIND_DRAWS)
            .map(|_| choices.fault_kind(script))
            .find(|kind| is_wanted(kind.name()));
        faults.extend(kind.map(|kind| Fault::new(at, choices.pick(&[1.0, 3.0, 6.0]), kind)));
    }
    faults
}

impl Script {
    /// Draws the script of a seed, with faults of the kinds in `only` (empty for all) and of this length, if
    /// one is given.
    pub fn draw(seed: u64, only: &[String], seconds: Option<f64>) -> Script {
        let mut choices = Choices::new(seed, "script");
        let fleet = draw_fleet(seed, &mut choices);
        let settings = draw_settings(&mut choices);
        let query_types: Vec<QueryType> = (0..choices.pick(&[1, 2, 2, 3]))
            .map(|index| draw_query_type(index, &fleet, &mut choices))
            .collect();
        let load = draw_load(&fleet, &query_types, &mut choices);
        let peers = draw_peers(seed);
        let seconds = seconds.unwrap_or_else(|| choices.pick(&[24.0, 30.0, 36.0, 40.0]));
        let mut script = Script {
            seed,
            seconds,
            fleet,
            settings,
            load,
            peers,
            query_types,
            faults: Vec::new(),
        };
        for _ in 0..choices.pick(&[1, 1, 2, 2, 3]) {
            let group = draw_group(&script, only, &mut choices);
            script.faults.extend(group);
        }
        script.faults.retain(|f| f.at < seconds);
        script.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        script
    }
}
