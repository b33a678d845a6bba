//! The page's tables.

use super::error::CapacityError;
use super::fit::{Fit, Term};
use super::runs::Run;
use super::slopes::Slopes;
use super::target;

/// A table and its name on the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// The name between the marks.
    pub name: &'static str,
    /// Its lines.
    pub text: String,
}

/// All tables of the page.
pub fn tables(runs: &[Run]) -> Result<Vec<Table>, CapacityError> {
    let slopes = Slopes::of(runs)?;
    Ok(vec![
        Table {
            name: "runs",
            text: runs_table(runs),
        },
        Table {
            name: "times",
            text: times_table(runs),
        },
        Table {
            name: "slopes",
            text: slopes_table(&slopes),
        },
        Table {
            name: "target-core",
            text: core_table(&slopes),
        },
        Table {
            name: "budget",
            text: budget_table(runs, &slopes),
        },
    ])
}

fn lines(head: &str, rows: impl Iterator<Item = String>) -> String {
    let columns = head.matches('|').count() - 1;
    let rule = format!("|{}", " --- |".repeat(columns));
    let rows: Vec<String> = rows.collect();
    format!("{head}\n{rule}\n{}\n", rows.join("\n"))
}

fn runs_table(runs: &[Run]) -> String {
    let row = |run: &Run| {
        let (report, size) = (&run.report, &run.report.size);
        format!(
            "| {} | {} | {} | {:.0} | {:.1} | {:.0} | {:.2} | {:.1} | {:.3} | {:.2} | {:.2} | {:.0} | {:.0} |",
            size.edges,
            size.replicas,
            size.core,
            report.heartbeats.per_second,
            run.changes(),
            report.replica_changes,
            run.core_cpu(),
            run.core_memory(),
            report.edge.cpu_percent,
            report.edge.memory_mb,
            report.edge_traffic.polls_per_second,
            report.edge_traffic.poll_bytes_out_per_second
                + report.edge_traffic.poll_bytes_in_per_second,
            report.edge_traffic.fetch_bytes_in_per_second,
        )
    };
    lines(
        "| edges | replicas | core | heartbeats/s | changes/min | replica changes | core, % of a core each | core, MB each \
         | edge, % of a core | edge, MB | polls/s an edge | poll bytes/s | fetch bytes/s |",
        runs.iter().map(row),
    )
}

fn times_table(runs: &[Run]) -> String {
    let row = |run: &Run| {
        let report = &run.report;
        format!(
            "| {} | {} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {} | {} | {:.1} | {:.3} |",
            report.size.edges,
            report.size.replicas,
            report.size.core,
            report.machine_load[1],
            report.acknowledged_ms.p50,
            report.in_force_ms.p50,
            report.in_force_ms.p99,
            report.in_force_ms.worst,
            report.in_force_ms.count,
            report.not_in_force,
            report.heartbeats.failed,
            report.edge.start_seconds,
            report.edge.start_cpu_seconds,
        )
    };
    lines(
        "| edges | replicas | core | load of the machine | acknowledged, p50 ms | in force, p50 ms | p99 ms | worst ms \
         | counted | missing | heartbeats failed | all edges started, s | processor seconds of one start |",
        runs.iter().map(row),
    )
}

fn slopes_table(slopes: &Slopes) -> String {
    let rows = [
        (
            "core, % of a core",
            &slopes.core_cpu,
            [
                "base",
                "a heartbeat/s taken",
                "a heartbeat/s told",
                "a poll/s",
            ]
            .as_slice(),
        ),
        (
            "core, MB",
            &slopes.core_memory,
            &["base", "1,000 replicas", "a connected edge"],
        ),
        (
            "edge, % of a core",
            &slopes.edge_cpu,
            &["base", "a change/min"],
        ),
        ("edge, MB", &slopes.edge_memory, &["base", "1,000 replicas"]),
    ];
    let row = |(cost, fit, names): &(&str, &Fit, &[&str])| {
        let term = |(name, term): (&&str, &Term)| {
            format!(
                "| {cost} | {name} | {:.5} | {:.5} | {:.3} |",
                term.value, term.error, fit.residual
            )
        };
        names
            .iter()
            .zip(&fit.terms)
            .map(term)
            .collect::<Vec<String>>()
    };
    lines(
        "| cost | for | slope | standard error | residual of the fit |",
        rows.iter().flat_map(row),
    )
}

/// A core process's processor time at the target for an interval between heartbeats.
fn core_at(slopes: &Slopes, heartbeat: f64) -> Term {
    let heartbeats = target::REPLICAS / heartbeat;
    let taken = heartbeats / target::CORE;
    let polls = target::EDGES * target::POLLED / target::CORE;
    slopes.core_cpu.at(&[1.0, taken, heartbeats - taken, polls])
}

/// Whether 0.6 of a core, the share of a core machine, suffices by two standard errors.
fn sign(cpu: Term) -> &'static str {
    if cpu.value + 2.0 * cpu.error <= 60.0 {
        "within 0.6 of a core"
    } else if cpu.value - 2.0 * cpu.error > 60.0 {
        "above 0.6 of a core"
    } else {
        "not decided: two standard errors reach beyond 0.6 of a core"
    }
}

fn core_table(slopes: &Slopes) -> String {
    let edges = target::EDGES * target::POLLED / target::CORE;
    let memory = slopes
        .core_memory
        .at(&[1.0, target::REPLICAS / 1000.0, edges]);
    let row = |heartbeat: &f64| {
        let cpu = core_at(slopes, *heartbeat);
        format!(
            "| {heartbeat:.1} s | {:.0} | {:.0} ± {:.0} | {:.0} ± {:.0} | {} |",
            target::REPLICAS / heartbeat,
            cpu.value,
            cpu.error,
            memory.value,
            memory.error,
            sign(cpu),
        )
    };
    lines(
        "| heartbeat every | heartbeats/s, all | core, % of a core each | core, MB each | sign |",
        target::HEARTBEATS.iter().map(row),
    )
}

fn budget_table(runs: &[Run], slopes: &Slopes) -> String {
    let cpu = slopes.edge_cpu.at(&[1.0, target::CHANGES_PER_MINUTE]);
    let memory = slopes.edge_memory.at(&[1.0, target::REPLICAS / 1000.0]);
    let polls = polls_bytes(runs);
    let configuration = runs
        .iter()
        .map(|run| run.report.size.configuration_bytes as f64)
        .fold(0.0, f64::max);
    let fetches = configuration * target::CHANGES_PER_MINUTE / 60.0;
    let verdict = |used: f64, allowed: f64| if used <= allowed { "kept" } else { "missed" };
    let rows = [
        format!(
            "| edge, % of a core | {:.2} ± {:.2} | {} | {} |",
            cpu.value,
            cpu.error,
            target::EDGE_CPU_PERCENT,
            verdict(cpu.value + 2.0 * cpu.error, target::EDGE_CPU_PERCENT)
        ),
        format!(
            "| edge, MB | {:.1} ± {:.1} | {} | {} |",
            memory.value,
            memory.error,
            target::EDGE_MEMORY_MB,
            verdict(memory.value + 2.0 * memory.error, target::EDGE_MEMORY_MB)
        ),
        format!(
            "| edge, bytes/s: polls | {polls:.0} | {:.0} | {} |",
            target::EDGE_BYTES_PER_SECOND,
            verdict(polls, target::EDGE_BYTES_PER_SECOND)
        ),
        format!(
            "| edge, bytes/s: polls and whole configurations of {:.0} KB | {:.0} | {:.0} | {} |",
            configuration / 1000.0,
            polls + fetches,
            target::EDGE_BYTES_PER_SECOND,
            verdict(polls + fetches, target::EDGE_BYTES_PER_SECOND)
        ),
    ];
    lines(
        "| what | used at the target | allowed | verdict |",
        rows.into_iter(),
    )
}

/// The most bytes of polls a second that an edge had in a run without changes of replicas.
fn polls_bytes(runs: &[Run]) -> f64 {
    let calm = runs.iter().filter(|run| run.report.replica_changes == 0);
    calm.map(|run| {
        let traffic = &run.report.edge_traffic;
        traffic.poll_bytes_out_per_second + traffic.poll_bytes_in_per_second
    })
    .fold(0.0, f64::max)
}
