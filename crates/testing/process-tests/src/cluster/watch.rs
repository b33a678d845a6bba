//! The checks that are repeated during a run: logs, invariants, exited processes, and deadlines for reading the
//! endpoint list.

use super::{Cluster, LIST_READ_TIMEOUT};
use crate::process::{LogLine, Process, ProcessExit};
use tokio::sync::mpsc::UnboundedReceiver;
use woadreach_runtime::Net;

impl Cluster {
    pub(super) fn watch(&mut self, log_lines: &mut UnboundedReceiver<LogLine>) {
        self.publish_list_changes();
        self.read_logs(log_lines);
        for node in 0..self.co_ordinators.len() {
            self.watch_process(node);
        }
        self.check_list_reads();
    }

    /// Processes the pending log lines and checks the invariants up to the current time.
    pub(super) fn read_logs(&mut self, log_lines: &mut UnboundedReceiver<LogLine>) {
        let now = self.net.now();
        while let Ok(line) = log_lines.try_recv() {
            self.measurements.borrow_mut().record_log_line(now, &line);
        }
        self.record.borrow_mut().tick(now);
    }

    fn publish_list_changes(&mut self) {
        let now = self.net.now();
        let (due, later) = std::mem::take(&mut self.list_changes)
            .into_iter()
            .partition(|change| change.due <= now);
        self.list_changes = later;
        for change in due {
            self.list_replicas(&[change.replica], change.lifecycle);
        }
    }

    fn watch_process(&mut self, node: usize) {
        let exit_deadline = self.terminating.get(&node).copied();
        if let Some(exit) = self.exit_of(node) {
            // An exit without a preceding SIGTERM is a crash.
            self.crashes += usize::from(exit_deadline.is_none() || exit == ProcessExit::Failure);
            self.accepts_clients[node].set(false);
            self.terminating.remove(&node);
            self.record_process_end(node);
            self.drop_process(node);
        } else if exit_deadline.is_some_and(|time| self.net.now() > time) {
            let why = "it has not ended by the time that SIGKILL comes".to_string();
            self.record_overdue(node, why);
            self.terminating.remove(&node);
        }
    }

    pub(super) fn exit_of(&mut self, node: usize) -> Option<ProcessExit> {
        let process = self.co_ordinators[node].process.as_mut();
        process.and_then(Process::exit)
    }

    fn check_list_reads(&mut self) {
        let now = self.net.now();
        let (due, later) = std::mem::take(&mut self.list_reads)
            .into_iter()
            .partition(|read| read.due <= now);
        self.list_reads = later;
        for read in due {
            let co_ordinator = &self.co_ordinators[read.node];
            let was_read = co_ordinator.agent.last_written_generation() >= read.generation;
            if !was_read && co_ordinator.process.is_some() {
                let why = format!(
                    "version {} of the list has not been asked for in {LIST_READ_TIMEOUT} s",
                    read.generation
                );
                self.record_overdue(read.node, why);
            }
        }
    }
}
