//! Runs a scenario in real time, on one thread.

use crate::cluster::Cluster;
use crate::config::PlayConfig;
use crate::error::{PlayError, SetUpSnafu, StartRuntimeSnafu};
use crate::outcome::Outcome;
use crate::schedule::Schedule;
use crate::script;
use snafu::ResultExt;
use tokio::sync::mpsc;

/// Starts the cluster that `config` describes, injects the faults of its scenario and returns the measurements.
///
/// # Errors
///
/// Fails if the configuration is invalid, or if the cluster or one of its processes cannot be started. Misbehaviour of
/// the program under test is reported in the outcome.
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
    let script = script::generate(config)?;
    let (log, mut log_lines) = mpsc::unbounded_channel();
    let mut cluster = Cluster::new(config, script, schedule.faults, log)
        .await
        .context(SetUpSnafu)?;
    cluster.run(schedule.actions, &mut log_lines).await
}
