//! What the cluster does to the processes, for the history that invariants are checked on.

use super::Cluster;
use woadreach_fakes::Recorder;
use woadreach_invariants::{CoordinatorId, EventKind};
use woadreach_runtime::Net;

impl Cluster {
    pub(super) fn record_process_start(&self, node: usize) {
        self.recorder.record(EventKind::CoordinatorStarted {
            node: CoordinatorId(node),
        });
    }

    pub(super) fn record_process_kill(&self, node: usize) {
        self.recorder.record(EventKind::CoordinatorKilled {
            node: CoordinatorId(node),
        });
    }

    pub(super) fn record_process_end(&self, node: usize) {
        self.recorder.record(EventKind::CoordinatorEnded {
            node: CoordinatorId(node),
        });
    }

    /// What a paused process owes is late and excused.
    pub(super) fn record_process_pause(&self, node: usize, seconds: f64) {
        let node = CoordinatorId(node);
        self.recorder.record(EventKind::Stalled { node, seconds });
    }

    /// What a partitioned link holds back arrives late and is excused.
    pub(super) fn record_link_change(&self, replica: usize, is_partitioned: bool) {
        self.recorder.record(EventKind::LinkBlocked {
            replica: self.replicas[replica].name.as_str().into(),
            blocked: is_partitioned,
        });
    }

    /// A co-ordinator that is still running, or has still not read the endpoint list, breaks an invariant.
    pub(super) fn record_overdue(&self, node: usize, why: String) {
        let node = CoordinatorId(node);
        self.recorder
            .record(EventKind::CoordinatorUnsound { node, why });
    }

    /// The recorder of a replica. Parts that it receives are measured as well. The start of a replica that is
    /// there from the beginning isn't recorded: it has warmed up long before.
    pub(super) fn recorder_of_replica(&self, replica: usize, is_warming_up: bool) -> Recorder {
        let recorder = self.recorder.clone();
        let measurements = self.measurements.clone();
        let net = self.net;
        let zone = self.replicas[replica].zone;
        let zones = self.config.zones;
        Recorder::new(move |event| {
            if let EventKind::PartReceived { node, .. } = &event {
                let is_near = node.0 % zones == zone;
                measurements
                    .borrow_mut()
                    .record_received_part(net.now(), is_near);
            }
            if is_warming_up || !matches!(event, EventKind::ReplicaStarted { .. }) {
                recorder.record(event);
            }
        })
    }
}
