//! What each role costs, fitted over all runs.

use super::error::{CapacityError, UndeterminedSnafu};
use super::fit::{Fit, fit};
use super::runs::Run;
use snafu::OptionExt;

/// The fitted costs.
#[derive(Clone, Debug)]
pub struct Slopes {
    /// Processor time of a core process, in hundredths of a core, by 1, heartbeats a second that it takes,
    /// heartbeats a second that others tell it of, and polls a second.
    pub core_cpu: Fit,
    /// Memory of a core process, in MB, by 1, thousands of replicas and connected edges.
    pub core_memory: Fit,
    /// Processor time of an edge on control, in hundredths of a core, by 1 and changes of the configuration
    /// a minute.
    pub edge_cpu: Fit,
    /// Memory of an edge on control, in MB, by 1 and thousands of replicas.
    pub edge_memory: Fit,
}

impl Slopes {
    /// Of these runs. Runs with changes of replicas are left out of the edge's processor time, which they
    /// show apart.
    pub fn of(runs: &[Run]) -> Result<Self, CapacityError> {
        let calm: Vec<&Run> = runs
            .iter()
            .filter(|run| run.report.replica_changes == 0)
            .collect();
        let all: Vec<&Run> = runs.iter().collect();
        let thousands = |run: &Run| run.report.size.replicas as f64 / 1000.0;
        Ok(Slopes {
            core_cpu: fit_over("core, processor time", &calm, |run| {
                let regressors = [
                    1.0,
                    run.heartbeats_of_core(),
                    run.told_heartbeats(),
                    run.polls_of_core(),
                ];
                (regressors.to_vec(), run.core_cpu())
            })?,
            core_memory: fit_over("core, memory", &all, |run| {
                (
                    vec![1.0, thousands(run), run.edges_of_core()],
                    run.core_memory(),
                )
            })?,
            edge_cpu: fit_over("edge, processor time", &calm, |run| {
                (vec![1.0, run.changes()], run.report.edge.cpu_percent)
            })?,
            edge_memory: fit_over("edge, memory", &all, |run| {
                (vec![1.0, thousands(run)], run.report.edge.memory_mb)
            })?,
        })
    }
}

fn fit_over(
    cost: &'static str,
    runs: &[&Run],
    observation: impl Fn(&Run) -> (Vec<f64>, f64),
) -> Result<Fit, CapacityError> {
    let observations: Vec<(Vec<f64>, f64)> = runs.iter().map(|run| observation(run)).collect();
    let terms = observations
        .first()
        .map_or(0, |(regressors, _)| regressors.len());
    fit(&observations).context(UndeterminedSnafu {
        cost,
        runs: runs.len(),
        terms,
    })
}
