//! Requests for the registries of other core machines, after a start or after missed batches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use woadreach_rpc::ServiceId;

use super::CoreDiscovery;
use crate::messages::{RegistryResponse, Request, decode_answer, encode};

/// Time-out of a request for another core machine's registry.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which a machine that is warming up requests its peers' registries.
const REGISTRY_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Result of pulling a peer's registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegistryPull {
    /// The complete registry of a peer that is not warming up has been received.
    FromWarmPeer,
    /// The complete registry of a peer that is itself warming up has been received.
    FromWarmingPeer,
    /// A request failed or its response could not be decoded.
    Failed,
}

impl CoreDiscovery {
    /// Requests the registries of the peers whose updates are incomplete, whenever there are any.
    pub(super) async fn pull_registries(self: Arc<Self>) {
        loop {
            let peers = self.state.lock().take_incomplete_peers();
            let mut pulls = JoinSet::new();
            for peer in peers {
                pulls.spawn(Arc::clone(&self).pull_registry(peer));
            }
            let mut has_warm_peer = false;
            while let Some(pulled) = pulls.join_next().await {
                has_warm_peer |= matches!(pulled, Ok(RegistryPull::FromWarmPeer));
            }
            let warming = {
                let view = self.committed.view();
                self.state
                    .lock()
                    .complete_registry_pull(self.now(), &view, has_warm_peer)
            };
            self.publish();
            if warming {
                tokio::time::sleep(REGISTRY_RETRY_INTERVAL).await;
            } else {
                self.pull.notified().await;
            }
        }
    }

    /// Requests the registry of `peer`, in several responses if necessary, and merges it.
    async fn pull_registry(self: Arc<Self>, peer: SocketAddr) -> RegistryPull {
        loop {
            let known = self.state.lock().version_of_peer(peer);
            let body = encode(&Request::Registry(known));
            let answer = self
                .rpc
                .call(peer, ServiceId::DISCOVERY, body, REGISTRY_TIMEOUT)
                .await;
            let response: Option<RegistryResponse> =
                answer.ok().and_then(|answer| decode_answer(peer, &answer));
            let Some(response) = response else {
                return RegistryPull::Failed;
            };
            let (is_warming, has_more) = (response.warming, response.has_more);
            self.state.lock().merge_registry(self.now(), peer, response);
            if !has_more {
                return if is_warming {
                    RegistryPull::FromWarmingPeer
                } else {
                    RegistryPull::FromWarmPeer
                };
            }
        }
    }
}
