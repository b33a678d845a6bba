//! The course of a hollow run: start, settle, measure.

use super::configuration::configuration;
use super::core::HollowCore;
use super::edge::{HollowEdge, InForce};
use super::heartbeats::{HEAD_BYTES, HollowReplicas};
use super::in_force::{Acknowledged, Times, delays};
use super::probe::{Counts, Probe, Traffic};
use super::report::{EdgeLoad, EdgeTraffic, HeartbeatLoad, HollowReport, ProcessLoad, Sizes};
use super::size::{HollowSize, MachineBounds, SizeError};
use super::usage::{self, Usage};
use super::workers::Workers;
use crate::error::{TierError, TooLateSnafu};
use crate::operator::Operator;
use crate::settings::MachineClass;
use snafu::{ResultExt, Snafu};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

/// Threads for the edges.
const EDGE_THREADS: usize = 4;
/// Threads for the replicas.
const REPLICA_THREADS: usize = 2;
/// Counting edges.
const PROBES: u32 = 3;
/// How long a configuration may take to be acknowledged.
const ACKNOWLEDGE: Duration = Duration::from_secs(30);
/// How long replicas and edges may take until all are known.
const START: Duration = Duration::from_secs(180);
/// Pause between two looks at a condition.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Pause after the start, and for the last changes to come in force.
const SETTLE: Duration = Duration::from_secs(3);

/// Why a hollow run gave nothing.
#[derive(Debug, Snafu)]
pub enum HollowError {
    /// The size does not fit.
    #[snafu(display("{source}"))]
    Size {
        /// What does not fit, and what would.
        source: SizeError,
    },
    /// The run failed.
    #[snafu(display("{source}"))]
    Run {
        /// What failed.
        source: TierError,
    },
}

/// Checks the size, and runs it if it fits.
pub async fn run(size: &HollowSize, programs: &Path) -> Result<HollowReport, HollowError> {
    let bounds = MachineBounds::read().context(SizeSnafu)?;
    size.check(bounds).context(SizeSnafu)?;
    let running = Running::start(size, programs).await.context(RunSnafu)?;
    running.measure().await.context(RunSnafu)
}

/// Everything that runs.
struct Running<'a> {
    size: &'a HollowSize,
    core: HollowCore,
    operator: Operator,
    replicas: HollowReplicas,
    edges: Vec<HollowEdge>,
    probes: Vec<Probe>,
    taken: mpsc::UnboundedReceiver<InForce>,
    start_cost: EdgeLoad,
    edge_workers: Workers,
    _replica_workers: Workers,
    _probe_workers: Workers,
}

/// What has been used and counted at one moment.
struct Look {
    at: Instant,
    core: Vec<Usage>,
    whole_edges: Vec<Usage>,
    edges_cpu: f64,
    counts: Vec<Counts>,
    acknowledged: u64,
    failed: u64,
    body_bytes: u64,
    load: f64,
}

/// The changes that were sent while measuring.
#[derive(Default)]
struct Changes {
    acknowledged: Vec<Acknowledged>,
    took: Vec<Duration>,
    replicas: u64,
}

impl<'a> Running<'a> {
    async fn start(size: &'a HollowSize, programs: &Path) -> Result<Self, TierError> {
        let mut core = HollowCore::start(programs, size)?;
        let operator = Operator::new(core.control());
        operator
            .put(0, &configuration(1, size.routes), ACKNOWLEDGE)
            .await?;
        let replica_workers = Workers::start("hollow-replica", REPLICA_THREADS)?;
        let replicas = {
            let _entered = replica_workers.enter();
            HollowReplicas::start(size.replicas, size.heartbeat, &core.control())
        };
        let acknowledged = || replicas.counters.acknowledged.load(Ordering::Relaxed);
        wait_for("the replicas' heartbeats", || {
            acknowledged() >= size.replicas + size.replicas / 2
        })
        .await?;
        let edge_workers = Workers::start("hollow-edge", EDGE_THREADS)?;
        let (taken_sender, taken) = mpsc::unbounded_channel();
        let resident = own_resident();
        let started = Instant::now();
        let mut edges = Vec::new();
        for number in 0..size.edges as u32 {
            let settings = core.edge_settings(number)?;
            let _entered = edge_workers.enter();
            edges.push(HollowEdge::start(
                number as usize,
                settings,
                taken_sender.clone(),
            )?);
        }
        let knows_all = |edge: &HollowEdge| {
            let snapshot = edge.snapshots.borrow();
            snapshot.warmed && snapshot.replicas.len() as u64 == size.replicas
        };
        wait_for("the edges' knowledge of all replicas", || {
            edges.iter().all(knows_all)
        })
        .await?;
        let start_cost = EdgeLoad {
            cpu_percent: 0.0,
            memory_mb: own_resident().saturating_sub(resident) as f64 / 1e6 / size.edges as f64,
            start_cpu_seconds: edge_workers.cpu_seconds() / size.edges as f64,
            start_seconds: started.elapsed().as_secs_f64(),
        };
        let probe_workers = Workers::start("hollow-probe", 1)?;
        let mut probes = Vec::new();
        for number in 0..PROBES {
            let settings = core.edge_settings(size.edges as u32 + number)?;
            let _entered = probe_workers.enter();
            probes.push(Probe::start(&settings));
        }
        core.start_whole_edges(programs, size.whole_edges)?;
        sleep(SETTLE).await;
        Ok(Running {
            size,
            core,
            operator,
            replicas,
            edges,
            probes,
            taken,
            start_cost,
            edge_workers,
            _replica_workers: replica_workers,
            _probe_workers: probe_workers,
        })
    }

    async fn measure(mut self) -> Result<HollowReport, TierError> {
        let before = self.look()?;
        let changes = self.send_changes().await?;
        let after = self.look()?;
        sleep(SETTLE).await;
        self.core.stop().await?;
        let mut taken = Vec::new();
        while let Ok(event) = self.taken.try_recv() {
            taken.push(event);
        }
        let (times, not_in_force) = delays(&changes.acknowledged, &taken, self.edges.len());
        let seconds = (after.at - before.at).as_secs_f64();
        let edges_cpu = 100.0 * (after.edges_cpu - before.edges_cpu) / seconds;
        let configuration_bytes = configuration(1, self.size.routes).len();
        Ok(HollowReport {
            size: Sizes::new(self.size, configuration_bytes),
            seconds,
            machine_load: [before.load, after.load],
            core: ProcessLoad::between(&before.core, &after.core, seconds),
            whole_edges: ProcessLoad::between(&before.whole_edges, &after.whole_edges, seconds),
            edge: EdgeLoad {
                cpu_percent: edges_cpu / self.edges.len() as f64,
                ..self.start_cost
            },
            edge_traffic: traffic(&before, &after, seconds),
            heartbeats: heartbeats(&before, &after, seconds),
            replica_changes: changes.replicas,
            acknowledged_ms: Times::of(changes.took),
            in_force_ms: Times::of(times),
            not_in_force,
        })
    }

    /// Sends the changes of configuration and replicas, evenly spread over the measured time.
    async fn send_changes(&mut self) -> Result<Changes, TierError> {
        let end = Instant::now() + Duration::from_secs(self.size.seconds);
        let mut configurations = ticks(self.size.changes_per_minute);
        let mut replicas = ticks(self.size.replica_changes_per_minute.max(1));
        let changes_replicas = self.size.replica_changes_per_minute > 0;
        let mut changes = Changes::default();
        let mut generation = 1;
        loop {
            tokio::select! {
                _ = configurations.tick() => {
                    generation += 1;
                    self.change_configuration(generation, &mut changes).await?;
                }
                _ = replicas.tick(), if changes_replicas => {
                    self.replicas.change_one();
                    changes.replicas += 1;
                }
                () = tokio::time::sleep_until(end) => return Ok(changes),
            }
        }
    }

    async fn change_configuration(
        &self,
        generation: u64,
        changes: &mut Changes,
    ) -> Result<(), TierError> {
        let body = configuration(generation, self.size.routes);
        let sent = Instant::now();
        self.operator
            .put(generation - 1, &body, ACKNOWLEDGE)
            .await?;
        let at = Instant::now();
        changes.took.push(at - sent);
        changes.acknowledged.push(Acknowledged { generation, at });
        Ok(())
    }

    fn look(&self) -> Result<Look, TierError> {
        let counters = &self.replicas.counters;
        Ok(Look {
            at: Instant::now(),
            core: self.core.usage(MachineClass::Core)?,
            whole_edges: self.core.usage(MachineClass::Edge)?,
            edges_cpu: self.edge_workers.cpu_seconds(),
            counts: self.probes.iter().map(Probe::counts).collect(),
            acknowledged: counters.acknowledged.load(Ordering::Relaxed),
            failed: counters.failed.load(Ordering::Relaxed),
            body_bytes: counters.body_bytes.load(Ordering::Relaxed),
            load: usage::load_average(),
        })
    }
}

fn ticks(per_minute: u64) -> tokio::time::Interval {
    let mut ticks = interval(Duration::from_secs(60) / per_minute as u32);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

fn traffic(before: &Look, after: &Look, seconds: f64) -> EdgeTraffic {
    let (mut polls, mut configurations) = (Traffic::default(), Traffic::default());
    for (before, after) in before.counts.iter().zip(&after.counts) {
        polls = polls.plus(after.polls.since(before.polls));
        configurations = configurations.plus(after.configurations.since(before.configurations));
    }
    EdgeTraffic::new(polls, configurations, before.counts.len(), seconds)
}

fn heartbeats(before: &Look, after: &Look, seconds: f64) -> HeartbeatLoad {
    let acknowledged = after.acknowledged - before.acknowledged;
    let failed = after.failed - before.failed;
    let bytes = after.body_bytes - before.body_bytes + (acknowledged + failed) * HEAD_BYTES;
    HeartbeatLoad {
        per_second: acknowledged as f64 / seconds,
        failed,
        bytes_per_second: bytes as f64 / seconds,
    }
}

fn own_resident() -> u64 {
    usage::of_process(std::process::id())
        .unwrap_or_default()
        .resident
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) -> Result<(), TierError> {
    let end = Instant::now() + START;
    while !condition() {
        if Instant::now() > end {
            return TooLateSnafu {
                what,
                seconds: START.as_secs(),
            }
            .fail();
        }
        sleep(LOOK_AGAIN).await;
    }
    Ok(())
}
