//! Links between machines: their latency, the isolation of a machine, and partitions between zones.

use super::{Network, Partition, Zone};
use crate::clock::{MILLISECOND, Nanos, ProcessId};
use rand::RngExt;

/// Time from the end of a partition until what was lost in it is retransmitted.
const RETRANSMIT_TIMEOUT: Nanos = 50 * MILLISECOND;

impl Network {
    /// Isolates a machine from all others, or connects it again.
    pub(crate) fn set_isolated(&self, process: ProcessId, isolated: bool) {
        if let Some(m) = self.0.machines.borrow_mut().get_mut(&process) {
            m.isolated = isolated;
        }
        if !isolated {
            self.retransmit();
        }
    }

    /// Partitions the link from one zone to another, in this direction only.
    pub(crate) fn partition(&self, from: Zone, to: Zone) {
        self.0
            .partitions
            .borrow_mut()
            .insert(Partition { from, to });
    }

    /// Ends the partition from one zone to another, in this direction only.
    pub(crate) fn heal(&self, from: Zone, to: Zone) {
        self.0
            .partitions
            .borrow_mut()
            .remove(&Partition { from, to });
        self.retransmit();
    }

    /// Retransmits what could not be delivered.
    fn retransmit(&self) {
        let pipes = std::mem::take(&mut *self.0.blocked_pipes.borrow_mut());
        for pipe in pipes {
            let network = self.clone();
            self.0
                .clock
                .call_at(self.now() + RETRANSMIT_TIMEOUT, move || {
                    network.deliver(&pipe)
                });
        }
    }

    /// A random number below `bound`; 0 if that is 0.
    pub(super) fn draw(&self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.0.rng.borrow_mut().random_range(0..bound)
        }
    }

    /// Draws whether something happens that has this probability.
    pub(super) fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.0.rng.borrow_mut().random_bool(share.min(1.0))
    }

    /// Draws the latency of one transmission.
    pub(super) fn latency(&self, from: ProcessId, to: ProcessId) -> Nanos {
        let same_zone = {
            let machines = self.0.machines.borrow();
            machines.get(&from).map(|m| m.zone) == machines.get(&to).map(|m| m.zone)
        };
        let range = if same_zone {
            self.0.config.within_zone
        } else {
            self.0.config.between_zones
        };
        range.min + self.draw(range.jitter)
    }

    /// Whether what one machine sends reaches the other.
    pub(super) fn is_reachable(&self, from: ProcessId, to: ProcessId) -> bool {
        let machines = self.0.machines.borrow();
        let (Some(a), Some(b)) = (machines.get(&from), machines.get(&to)) else {
            return false;
        };
        let link = Partition {
            from: a.zone,
            to: b.zone,
        };
        !a.isolated && !b.isolated && !self.0.partitions.borrow().contains(&link)
    }
}
