//! Records starts, ends and faults in the event history on which invariants are checked.

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

    /// Records a pause, so that invariants allow its late answers.
    pub(super) fn record_process_pause(&self, node: usize, seconds: f64) {
        let node = CoordinatorId(node);
        self.recorder.record(EventKind::Stalled { node, seconds });
    }

    /// Records that a link of a replica was partitioned or repaired, so that invariants allow for delayed bytes.
    pub(super) fn record_link_change(&self, replica: usize, is_partitioned: bool) {
        self.recorder.record(EventKind::LinkBlocked {
            replica: self.replicas[replica].name.as_str().into(),
            blocked: is_partitioned,
        });
    }

    /// Records that a co-ordinator missed a deadline to exit or to read the endpoint list, which breaks an invariant.
    pub(super) fn record_overdue(&self, node: usize, why: String) {
        let node = CoordinatorId(node);
        self.recorder
            .record(EventKind::CoordinatorUnsound { node, why });
    }

    /// Creates the recorder of a replica, which also measures received parts. The start of a replica that does not warm
    /// up isn't recorded, since the replica counts as warmed up long before the run.
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
