//! The runs' files.

use super::error::{CapacityError, FileSnafu, ReportSnafu};
use super::target::POLLED;
use crate::hollow::HollowReport;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// A run and its file's name.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the file, without its folder.
    pub file: String,
    /// What it measured.
    pub report: HollowReport,
}

impl Run {
    /// Mean of the core processes' processor time, in hundredths of a core.
    pub fn core_cpu(&self) -> f64 {
        mean(self.report.core.iter().map(|core| core.cpu_percent))
    }

    /// Mean of the core processes' memory, in MB.
    pub fn core_memory(&self) -> f64 {
        mean(self.report.core.iter().map(|core| core.memory_mb))
    }

    /// Heartbeats that one core process takes a second.
    pub fn heartbeats_of_core(&self) -> f64 {
        self.report.heartbeats.per_second / self.report.core.len() as f64
    }

    /// Heartbeats that one core process is told of by the others a second.
    pub fn told_heartbeats(&self) -> f64 {
        self.report.heartbeats.per_second - self.heartbeats_of_core()
    }

    /// Polls that one core process answers a second.
    pub fn polls_of_core(&self) -> f64 {
        let polls = self.report.edge_traffic.polls_per_second * self.report.size.edges as f64;
        polls / self.report.core.len() as f64
    }

    /// Edges that poll one core process, each of which polls up to three.
    pub fn edges_of_core(&self) -> f64 {
        let core = self.report.core.len() as f64;
        self.report.size.edges as f64 * core.min(POLLED) / core
    }

    /// Changes of the configuration a minute.
    pub fn changes(&self) -> f64 {
        self.report.in_force_ms.count as f64 * 60.0
            / self.report.seconds
            / self.report.size.edges as f64
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

/// All runs of a folder, by name.
pub fn load(folder: &Path) -> Result<Vec<Run>, CapacityError> {
    let entries = std::fs::read_dir(folder).context(FileSnafu { path: folder })?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| {
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        name.starts_with("hollow-") && name.ends_with(".json")
    });
    paths.sort();
    paths.iter().map(|path| read(path)).collect()
}

fn read(path: &Path) -> Result<Run, CapacityError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let report = serde_json::from_str(&text).context(ReportSnafu { path })?;
    let file = path
        .file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    Ok(Run { file, report })
}
