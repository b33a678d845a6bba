//! Counts the requests that handlers reject, and logs them with their sender and the reason.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;

use crate::frame::ServiceId;

/// Maximum number of pairs of service and sender that have their own count, which bounds the memory. Rejected requests
/// of further senders are counted by service only.
const MAX_COUNTED_SENDERS: usize = 4096;

#[derive(Default)]
struct Counts {
    by_service: BTreeMap<ServiceId, u64>,
    by_sender: BTreeMap<(ServiceId, IpAddr), u64>,
}

/// Number of rejected requests per service. Clones share the counts.
///
/// A rejected request is logged if it is the sender's first, second, fourth, eighth and so on. A sender without its own
/// count is logged by the count of the service.
#[derive(Clone, Default)]
pub struct RejectedRequests {
    counts: Arc<Mutex<Counts>>,
}

impl RejectedRequests {
    /// Returns the number of requests to a service that were rejected since the router was created.
    pub fn count(&self, service: ServiceId) -> u64 {
        self.counts
            .lock()
            .by_service
            .get(&service)
            .copied()
            .unwrap_or(0)
    }

    /// Counts a rejected request of `peer`. It is logged only if the new count is a power of two, so that a peer of
    /// another version does not flood the log.
    pub(crate) fn record(&self, service: ServiceId, peer: SocketAddr, reason: &dyn Error) {
        let count = self.increment(service, peer.ip());
        if count.is_power_of_two() {
            tracing::warn!(service = service.0, %peer, %reason, count, "request rejected");
        }
    }

    /// Counts a request. Returns the new count of the sender, or that of the service if the sender has no count of
    /// its own.
    fn increment(&self, service: ServiceId, sender: IpAddr) -> u64 {
        let mut counts = self.counts.lock();
        let service_count = counts.by_service.entry(service).or_default();
        *service_count += 1;
        let service_count = *service_count;
        let key = (service, sender);
        if counts.by_sender.len() >= MAX_COUNTED_SENDERS && !counts.by_sender.contains_key(&key) {
            return service_count;
        }
        let sender_count = counts.by_sender.entry(key).or_default();
        *sender_count += 1;
        *sender_count
    }
}
