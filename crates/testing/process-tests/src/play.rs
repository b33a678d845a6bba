//! Plays a scenario in real time, on one thread.

use crate::cluster::Cluster;
use crate::config::PlayConfig;
use crate::error::{PlayError, SetUpSnafu, StartRuntimeSnafu};
use crate::outcome::Outcome;
use crate::schedule::Schedule;
use crate::script;
use snafu::ResultExt;
use tokio::sync::mpsc;

/// Starts the processes that `config` asks for, injects its scenario's faults and measures.
///
/// # Errors
///
/// Fails if the configuration can't be played, or if the cluster can't be set up. What the program under test
/// does wrong is in the outcome.
pub fn play(config: &PlayConfig) -> Result<Outcome, PlayError> {
    config.check()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartRuntimeSnafu)?;
    tokio::task::LocalSet::new().block_on(&runtime, play_in_cluster(config))
}

async fn play_in_cluster(config: &PlayConfig) -> Result<Outcome, PlayError> {
    let schedule = Schedule::new(
        config.scenario,
        config.co_ordinators,
        &config.region_of_zones(),
        config.seed,
    );
    let script = script::of(config)?;
    let (log, mut log_lines) = mpsc::unbounded_channel();
    let mut cluster = Cluster::new(config, script, schedule.faults, log)
        .await
        .context(SetUpSnafu)?;
    cluster.run(schedule.actions, &mut log_lines).await
}
