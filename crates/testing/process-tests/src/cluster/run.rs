//! The main loop of a run: starts the processes and the load, performs the schedule's actions, and shuts down.

use super::Cluster;
use crate::error::{NotAcceptingSnafu, PlayError};
use crate::outcome::Outcome;
use crate::process::{LogLine, ProcessExit};
use crate::schedule::TimedAction;
use snafu::ensure;
use std::cell::Cell;
use std::collections::VecDeque;
use tokio::sync::mpsc::UnboundedReceiver;
use woadreach_runtime::Net;

/// Seconds between two checks of the cluster.
const WATCH_INTERVAL: f64 = 0.02;
/// Seconds after the first start within which all processes must accept connections.
const START_TIMEOUT: f64 = 15.0;
/// Seconds after SIGTERM within which a process must exit at the end of a run.
const SHUTDOWN_TIMEOUT: f64 = 8.0;
/// Seconds from the last possible client time-out until the run ends.
const FINAL_GRACE: f64 = 0.5;
/// Maximum number of broken invariants that an outcome describes.
const MAX_DESCRIBED_BREACHES: usize = 5;

impl Cluster {
    /// Runs the cluster under load and performs `actions`, which are in order of time.
    pub(crate) async fn run(
        &mut self,
        actions: Vec<TimedAction>,
        log_lines: &mut UnboundedReceiver<LogLine>,
    ) -> Result<Outcome, PlayError> {
        self.start_all().await?;
        let started_at = self.net.now();
        self.measurements.borrow_mut().record_load_start(started_at);
        let seconds = self.config.scenario.seconds();
        self.start_load(started_at + seconds);
        let mut actions = VecDeque::from(actions);
        let end = started_at + seconds + self.longest_client_timeout() + FINAL_GRACE;
        while self.net.now() < end {
            let elapsed = self.net.now() - started_at;
            while let Some(next) = actions.pop_front_if(|next| next.at_s <= elapsed) {
                self.perform(&next.action)?;
            }
            self.watch(log_lines);
            self.net.sleep(WATCH_INTERVAL).await;
        }
        self.shut_down(log_lines).await;
        Ok(self.outcome(seconds))
    }

    async fn start_all(&mut self) -> Result<(), PlayError> {
        for node in 0..self.co_ordinators.len() {
            self.start_co_ordinator(node)?;
        }
        let deadline = self.net.now() + START_TIMEOUT;
        while !self.accepts_clients.iter().all(Cell::get) {
            ensure!(self.net.now() <= deadline, NotAcceptingSnafu);
            self.net.sleep(WATCH_INTERVAL).await;
        }
        Ok(())
    }

    fn longest_client_timeout(&self) -> f64 {
        let query_types = self.script.query_types.iter();
        query_types.map(|t| t.client_timeout_s).fold(0.0, f64::max)
    }

    /// Sends SIGTERM to all processes. A process that fails or does not exit in time counts as a crash.
    async fn shut_down(&mut self, log_lines: &mut UnboundedReceiver<LogLine>) {
        for co_ordinator in &self.co_ordinators {
            co_ordinator.client.close_idle();
        }
        for co_ordinator in &self.co_ordinators {
            if let Some(process) = &co_ordinator.process {
                process.signal(libc::SIGTERM);
            }
        }
        let deadline = self.net.now() + SHUTDOWN_TIMEOUT;
        while self.net.now() < deadline && self.running() > 0 {
            for node in 0..self.co_ordinators.len() {
                if let Some(exit) = self.exit_of(node) {
                    self.crashes += usize::from(exit == ProcessExit::Failure);
                    self.record_process_end(node);
                    self.co_ordinators[node].process = None;
                }
            }
            self.net.sleep(WATCH_INTERVAL).await;
        }
        self.crashes += self.running();
        self.read_logs(log_lines);
    }

    fn running(&self) -> usize {
        let co_ordinators = self.co_ordinators.iter();
        co_ordinators.filter(|c| c.process.is_some()).count()
    }

    fn outcome(&self, seconds: f64) -> Outcome {
        let record = self.record.borrow();
        let completed: Vec<_> = record
            .outcomes
            .iter()
            .filter(|search| !search.client_disconnected)
            .collect();
        let in_time = completed.iter().filter(|search| search.in_time).count();
        let breaches = record.breaches.iter().take(MAX_DESCRIBED_BREACHES);
        let mut outcome = Outcome {
            scenario: self.config.scenario.name(),
            seed: self.config.seed,
            coordinators: self.config.co_ordinators,
            zones: self.config.zones,
            regions: self.config.regions,
            seconds,
            broken_invariants: record.breaches.len(),
            breaches: breaches.map(|b| format!("{}: {}", b.rule, b.why)).collect(),
            crashes: self.crashes,
            near_share_even: 1.0 / self.config.zones as f64,
            searches: completed.len(),
            served_share: in_time as f64 / completed.len().max(1) as f64,
            // `Measurements::complete` fills in the other fields.
            ..Outcome::default()
        };
        let measurements = self.measurements.borrow();
        measurements.complete(self.co_ordinators.len(), &mut outcome);
        outcome
    }
}
