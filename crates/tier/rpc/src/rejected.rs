//! Requests that cannot be taken: counted, and logged with their sender and the reason.

use crate::frame::ServiceId;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Most senders that are counted one by one; what others send counts for the service as a whole.
const MOST_SENDERS: usize = 4096;

#[derive(Default)]
struct Counts {
    by_service: BTreeMap<ServiceId, u64>,
    by_sender: BTreeMap<(ServiceId, IpAddr), u64>,
}

/// Counts what was rejected. Clones share the counts.
#[derive(Clone, Default)]
pub struct RejectedRequests {
    counts: Arc<Mutex<Counts>>,
}

impl RejectedRequests {
    /// How many requests to a service were rejected since the start.
    pub fn count(&self, service: ServiceId) -> u64 {
        self.counts
            .lock()
            .by_service
            .get(&service)
            .copied()
            .unwrap_or(0)
    }

    /// Counts a request of `peer`. It is logged if it is the sender's first, second, fourth and so on, so
    /// that a machine of another version does not fill the disk.
    pub(crate) fn note(&self, service: ServiceId, peer: SocketAddr, reason: &dyn Error) {
        let count = self.add(service, peer.ip());
        if count.is_power_of_two() {
            tracing::warn!(service = service.0, %peer, %reason, count, "request rejected");
        }
    }

    fn add(&self, service: ServiceId, sender: IpAddr) -> u64 {
        let mut counts = self.counts.lock();
        let all = counts.by_service.entry(service).or_default();
        *all += 1;
        let all = *all;
        let key = (service, sender);
        if counts.by_sender.len() >= MOST_SENDERS && !counts.by_sender.contains_key(&key) {
            return all;
        }
        let own = counts.by_sender.entry(key).or_default();
        *own += 1;
        *own
    }
}
