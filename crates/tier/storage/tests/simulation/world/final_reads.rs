//! Checks at the end of a run, after all faults have healed: every acknowledged turn that has not expired is readable and
//! replicated with its whole chain.

use std::sync::Arc;

use woadreach_storage::TurnKey;

use super::super::machine::{Machine, Process, Source};
use super::super::violation::{EndlessJointEpochSnafu, TooFewReplicasSnafu};
use super::World;

impl World {
    /// Starts a read of each acknowledged turn and checks its replica count. A joint epoch must have ended by now.
    pub(super) fn on_final_reads(&mut self) {
        for proxy in &mut self.proxies {
            proxy.view = Arc::new(self.core.committed.clone());
        }
        if self.core.committed.next.is_some() {
            let state = format!("{:?}; {}", self.core.committed, self.describe());
            return self.record_check(EndlessJointEpochSnafu { state }.fail());
        }
        for key in self.oracle.retained(self.now) {
            let replicas = self.replica_count(&key);
            if replicas <= self.tolerated_losses {
                let key = key.clone();
                self.record_check(TooFewReplicasSnafu { key, replicas }.fail());
            }
            self.start_read(0, key, true);
        }
    }

    /// State of all machines in one line, for the message of a violation.
    fn describe(&self) -> String {
        let line = |machine: &Machine| {
            let process = machine.process.as_ref();
            let view =
                process.map(|process| (process.node.view().epoch, process.node.pulled_epoch()));
            let sources = process
                .and_then(|process| process.pulling.as_ref())
                .map(|pulling| {
                    let source =
                        |source: &Source| (source.member.disk, source.unsynced, source.done);
                    (
                        pulling.progress.epoch(),
                        pulling.sources.iter().map(source).collect::<Vec<_>>(),
                    )
                });
            let faults = (
                machine.inbound_partitioned,
                machine.outbound_partitioned,
                machine.frozen,
                machine.stalled,
                machine.removed,
            );
            format!(
                "{} {:x} {view:?} {sources:?} {faults:?}",
                machine.node, machine.identity
            )
        };
        self.machines
            .iter()
            .map(line)
            .collect::<Vec<_>>()
            .join("; ")
    }

    fn replica_count(&self, key: &TurnKey) -> usize {
        let members = &self.core.committed.current;
        let processes = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        let counted = processes.filter(|process| {
            members
                .iter()
                .any(|member| member.disk == process.node.disk())
        });
        let has = |process: &&Process| {
            process
                .node
                .store()
                .has_complete_chain(&key.program, &key.request_id)
        };
        counted.filter(has).count()
    }
}
