//! Drawing a run of a whole tier with many co-ordinators.

use super::draw::{draw_query_type, rate_for};
use super::fault::{Fault, FaultKind};
use super::query_type::QueryType;
use super::random::Choices;
use super::{Fleet, Script, Settings, SlowStart};

/// Length of the run, in seconds.
const SECONDS: f64 = 24.0;

fn draw_fleet(fleet: &mut Fleet, choices: &mut Choices) {
    fleet.co_ordinators = choices.pick(&[20, 30]);
    fleet.cells = choices.pick(&[1, 2]);
    fleet.span = 1;
    fleet.shards = fleet.cells * choices.pick(&[2, 3]);
    fleet.replicas = choices.pick(&[3, 4, 6]);
    fleet.cores = choices.pick(&[1, 2, 4]);
}

fn draw_settings(settings: &mut Settings, choices: &mut Choices) {
    let (initial_share, overload_multiple) =
        choices.pick(&[(0.15, 2.0), (0.25, 2.0), (0.25, 2.5), (0.4, 3.0)]);
    settings.slow_start = Some(SlowStart {
        initial_share,
        duration_s: choices.pick(&[6.0, 12.0]),
        overload_multiple,
        overload_window_s: choices.pick(&[1.0, 2.0]),
    });
    settings.hedging = !choices.one_in(3);
    settings.attempts = 3;
}

/// Several replicas start together: up to four in five of them, so that the capacity of the others may not suffice.
fn draw_start(script: &Script, choices: &mut Choices) -> Fault {
    let replicas = choices.subset(script.replicas(), 0.8);
    let at = choices.pick(&[5.0, 6.5]);
    let duration = choices.pick(&[0.5, 1.5, 3.0]);
    let kind = if choices.one_in(3) {
        FaultKind::Drain { replicas }
    } else {
        FaultKind::Crash {
            replicas,
            listed_after_s: choices.pick(&[0.1, 1.0, 4.0]),
        }
    };
    Fault::new(at, duration, kind)
}

/// Co-ordinators that forget what they sent.
fn draw_kill(co_ordinators: usize, started: f64, choices: &mut Choices) -> Fault {
    let co_ordinators = if choices.one_in(2) {
        (0..co_ordinators).filter(|n| n % 10 < 7).collect()
    } else {
        choices.each_one_in(3, co_ordinators)
    };
    let at = started + choices.pick(&[0.3, 1.0, 2.0]);
    Fault::new(at, 0.3, FaultKind::KillCoordinators { co_ordinators })
}

/// Rejections or errors, after which retries go to other replicas.
fn draw_failures(script: &Script, started: f64, choices: &mut Choices) -> Fault {
    let share = choices.pick(&[0.1, 0.5]);
    let replicas = choices.subset(script.replicas(), 0.5);
    let kind = if choices.one_in(2) {
        FaultKind::AnswerErrors { replicas, share }
    } else {
        FaultKind::RejectParts { replicas }
    };
    Fault::new(started, 4.0, kind)
}

fn draw_faults(script: &Script, choices: &mut Choices) -> Vec<Fault> {
    let co_ordinators = script.fleet.co_ordinators;
    let start = draw_start(script, choices);
    let started = start.at + start.duration;
    let mut faults = vec![start];
    if choices.one_in(2) {
        faults.push(draw_kill(co_ordinators, started, choices));
    }
    if choices.one_in(3) {
        let co_ordinators = choices.each_one_in(3, co_ordinators);
        let duration = choices.pick(&[1.0, 3.0]);
        let unresponsive = FaultKind::DiscoveryUnresponsive { co_ordinators };
        faults.push(Fault::new(started - 0.4, duration, unresponsive));
    }
    if choices.one_in(2) {
        faults.push(draw_failures(script, started, choices));
    }
    if choices.one_in(3) {
        let burst = FaultKind::LoadBurst { factor: 3.0 };
        faults.push(Fault::new(started + 0.5, 3.0, burst));
    }
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    faults
}

impl Script {
    /// Draws a run of a whole tier: 20 or 30 co-ordinators, some with far more traffic than others, while
    /// several replicas warm up at once, co-ordinators restart and forget what they sent, and retries look
    /// for other replicas.
    pub fn draw_tier(seed: u64) -> Script {
        let mut choices = Choices::new(seed, "tier");
        let mut script = Script::draw(seed, &[], Some(SECONDS));
        draw_fleet(&mut script.fleet, &mut choices);
        draw_settings(&mut script.settings, &mut choices);
        let query_types: Vec<QueryType> = (0..choices.pick(&[1, 2]))
            .map(|index| draw_query_type(index, &script.fleet, &mut choices))
            .collect();
        let utilization = choices.pick(&[0.3, 0.5, 0.7]);
        script.load.rate = rate_for(utilization, &script.fleet, &query_types).clamp(0.1, 5.0);
        script.load.skew = choices.pick(&[0.0, 1.0, 3.0]);
        script.query_types = query_types;
        script.faults = draw_faults(&script, &mut choices);
        script
    }
}
