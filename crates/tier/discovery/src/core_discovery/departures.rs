//! Departures at a core machine: brought to the other core machines and to disk before they are acknowledged.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};
use woadreach_rpc::{Client, ServiceId};

use super::{CoreDiscovery, NotOnDiskSnafu, RequestError};
use crate::departure::{DepartureDecision, DepartureNotification, MAJORITY_TIMEOUT};
use crate::messages::{Batch, Request, encode};

/// Delay before a failed notification of a departure is retried at the same peer.
const DEPARTURE_RETRY_INTERVAL: Duration = Duration::from_millis(60);

impl CoreDiscovery {
    /// Brings the departure of the replica `id` to the core machines. Returns whether it may be acknowledged.
    pub(super) async fn notify_peers(&self, id: &str) -> bool {
        let now = self.now();
        let view = self.committed.view();
        let (batch, peers, notification) = {
            let state = self.state.lock();
            (
                state.urgent_batch(now, id),
                state.peers(now, &view),
                state.start_departure(now, &view),
            )
        };
        let body = encode(&Request::Urgent(batch));
        match notification {
            Some(notification) => {
                self.await_confirmations(id, notification, peers, body)
                    .await
            }
            None => {
                peers
                    .into_iter()
                    .for_each(|peer| self.rpc.notify(peer, ServiceId::DISCOVERY, body.clone()));
                false
            }
        }
    }

    /// Notifies `peers`, waits for this machine's own disk, and returns once the departure of the replica `id` is
    /// decided: whether it may be acknowledged.
    async fn await_confirmations(
        &self,
        id: &str,
        mut notification: DepartureNotification,
        peers: Vec<SocketAddr>,
        body: Vec<u8>,
    ) -> bool {
        let deadline = Instant::now() + MAJORITY_TIMEOUT;
        let mut calls = JoinSet::new();
        for peer in peers {
            calls.spawn(notify_peer(self.rpc.clone(), peer, body.clone(), deadline));
        }
        let own_address = self.state.lock().address();
        let is_on_disk = self.wait_until_on_disk(&[id.to_owned()], deadline);
        calls.spawn(async move { is_on_disk.await.then_some(own_address) });
        let is_acknowledged = loop {
            let until = match notification.decision(self.now()) {
                DepartureDecision::Acknowledged => break true,
                DepartureDecision::Unconfirmed => break false,
                DepartureDecision::Wait { until } => self.started + until,
            };
            match timeout_at(until, calls.join_next()).await {
                Ok(Some(Ok(Some(machine)))) => notification.record_confirmation(machine),
                Ok(Some(_)) | Err(_) => {}
                Ok(None) => sleep_until(until).await,
            }
        };
        // The calls to the remaining peers continue in the background until the deadline.
        calls.detach_all();
        is_acknowledged
    }

    /// Waits until the departures of `ids` are on this machine's disk, until `deadline` at most. Returns whether they
    /// are.
    fn wait_until_on_disk(
        &self,
        ids: &[String],
        deadline: Instant,
    ) -> impl Future<Output = bool> + Send + use<> {
        let number = self.state.lock().unsynced_departure(ids);
        self.departures.wake();
        self.departures
            .wait_until_synced(number.unwrap_or(0), deadline)
    }

    /// Applies a batch of departures. Answers once they are on disk.
    pub(super) async fn receive_urgent_batch(&self, batch: Batch) -> Result<Vec<u8>, RequestError> {
        let deadline = Instant::now() + MAJORITY_TIMEOUT;
        let ids: Vec<String> = batch
            .statuses
            .iter()
            .map(|entry| entry.id.clone())
            .collect();
        let response = self.receive_batch(batch);
        if self.wait_until_on_disk(&ids, deadline).await {
            Ok(response)
        } else {
            NotOnDiskSnafu.fail()
        }
    }
}

/// Notifies `peer` of a departure, with retries until `deadline`. Returns the peer if it has answered.
async fn notify_peer(
    rpc: Client,
    peer: SocketAddr,
    body: Vec<u8>,
    deadline: Instant,
) -> Option<SocketAddr> {
    while Instant::now() < deadline {
        let remaining = deadline - Instant::now();
        if rpc
            .call(peer, ServiceId::DISCOVERY, body.clone(), remaining)
            .await
            .is_ok()
        {
            return Some(peer);
        }
        tokio::time::sleep(DEPARTURE_RETRY_INTERVAL).await;
    }
    None
}
