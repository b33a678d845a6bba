//! Heartbeats: what this member tells the others of itself, and what it hears.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{MAX_STATE_REQUEST_INTERVAL, Member};
use crate::failure_domain::FailureDomain;
use crate::message::{Body, Heartbeat};
use crate::view::MemberId;

impl Member {
    pub(crate) fn can_replicate(&self) -> bool {
        self.is_disk_healthy && !self.is_leaving
    }

    pub(crate) fn failure_domain_of(&self, member: MemberId) -> FailureDomain {
        if member == self.id {
            self.failure_domain
        } else {
            self.peers.failure_domain(member)
        }
    }

    pub(super) fn hears_voter(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return voter.address == self.id.address
                || self.peers.is_bootstrapping(now, voter.address);
        }
        self.peers.is_heard(now, voter)
    }

    pub(super) fn heartbeat(&self, now: Duration, to: SocketAddrV4) -> Body {
        Body::Heartbeat(Heartbeat {
            sent: self.peers.heartbeat_time(now),
            echo: self.peers.echo_for(to),
            can_replicate: self.can_replicate(),
            leaving: self.is_leaving,
            bootstrap: self.durable.bootstrap,
            failure_domain: self.failure_domain,
            committed: self.published.stamp,
            hears: self.peers.heard_lately(now),
        })
    }

    pub(super) fn broadcast_heartbeat(&mut self, now: Duration) {
        for address in self.heartbeat_addresses(now) {
            let heartbeat = self.heartbeat(now, address);
            self.send_now(address, heartbeat);
        }
    }

    pub(super) fn heartbeat_addresses(&self, now: Duration) -> Vec<SocketAddrV4> {
        let view = &self.durable.view;
        let mut addresses: Vec<SocketAddrV4> =
            view.voters.iter().map(|voter| voter.address).collect();
        let is_in_view = view.voters.contains(&self.id);
        if is_in_view || view.epoch == 0 {
            addresses.extend(self.peers.heard_lately(now).iter().map(|peer| peer.address));
        }
        if view.epoch == 0 || !self.reaches_majority(now) || !is_in_view {
            addresses.extend_from_slice(&self.seeds);
        }
        addresses.sort();
        addresses.dedup();
        addresses.retain(|&address| address != self.id.address);
        addresses
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        now: Duration,
        from: MemberId,
        heartbeat: &Heartbeat,
    ) {
        self.peers.record_heartbeat(now, from, heartbeat);
        // Somebody who does not hear this member cannot answer, and must not use up the pause.
        let can_answer = self.peers.is_in_contact(now, from);
        #[cfg(feature = "mutations")]
        let can_answer =
            can_answer || self.is_mutated(crate::mutations::Mutation::StateFromTheDeaf);
        let is_behind =
            can_answer && heartbeat.committed > self.published.stamp && !self.is_active();
        if is_behind && now >= self.next_state_request {
            self.next_state_request = now + self.state_request_interval;
            self.state_request_interval =
                (2 * self.state_request_interval).min(MAX_STATE_REQUEST_INTERVAL);
            self.send_now(from.address, Body::RequestState);
        }
    }
}
