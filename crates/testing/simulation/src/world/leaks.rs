//! Panics, and leaks: what co-ordinators and clients still have in memory when no search is in flight any more.

use super::World;
use woadreach_invariants::{CoordinatorId, EventKind};

impl World {
    /// Records the panics since the last call.
    pub(super) fn report_panics(&self) {
        for (process, why) in self.clock.panics() {
            let node = self
                .coordinators
                .iter()
                .position(|coordinator| coordinator.process.get() == Some(process));
            let why = if node.is_none() {
                format!("process {}: {why}", process.0)
            } else {
                why
            };
            // The record names a co-ordinator with every panic. That of another process is booked on the first one, and
            // `why` says whose it was; a run with any panic has failed.
            self.recorder.record(EventKind::Panicked {
                node: CoordinatorId(node.unwrap_or(0)),
                why,
            });
        }
    }

    /// Records what is still in memory at the end of a run.
    pub(super) fn report_leaks(&self) {
        for (index, coordinator) in self.coordinators.iter().enumerate() {
            if coordinator.process.get().is_none() {
                continue;
            }
            let usage = coordinator.usage.get();
            let counts = [
                usage.searches,
                usage.parts,
                usage.attempts,
                usage.client_sockets,
                usage.request_bytes,
            ];
            if counts.iter().any(|count| *count > 0) {
                self.report_leak(index, format!("all is quiet, and it holds {usage:?}"));
            }
        }
        let owed = self.record.borrow().owed();
        if owed > 0 {
            let why = format!("{owed} searches have neither an answer nor an end");
            // Whose they are cannot be told: their clients may have asked several. Booked on the first one.
            self.report_leak(0, why);
        }
    }

    /// Records a leak of a co-ordinator.
    pub(super) fn report_leak(&self, node: usize, why: String) {
        let node = CoordinatorId(node);
        self.recorder
            .record(EventKind::CoordinatorUnsound { node, why });
    }
}
