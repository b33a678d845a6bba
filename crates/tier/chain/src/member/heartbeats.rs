//! Heartbeats: the status that this member reports, and the handling of received heartbeats. Members outside the
//! chain request the newer committed state that a heartbeat announces.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::{MAX_STATE_REQUEST_INTERVAL, Member};
use crate::failure_domain::FailureDomain;
use crate::message::{Body, Heartbeat};
use crate::view::MemberId;

impl Member {
    /// Whether this member may be in a chain: its disk syncs in time, and it is not shutting down.
    pub(crate) fn can_replicate(&self) -> bool {
        self.is_disk_healthy && !self.is_leaving()
    }

    /// Zone and region of a member, this one included.
    pub(crate) fn failure_domain_of(&self, member: MemberId) -> FailureDomain {
        if member == self.id {
            self.failure_domain
        } else {
            self.peers.failure_domain(member)
        }
    }

    /// Whether a voter is heard. The voters of epoch 0 are compared by address only.
    pub(super) fn is_voter_heard(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return voter.address == self.id.address
                || self.peers.is_bootstrapping(now, voter.address);
        }
        self.peers.is_heard(now, voter)
    }

    /// A heartbeat to the member at `to`.
    pub(super) fn heartbeat(&self, now: Duration, to: SocketAddrV4) -> Body {
        Body::Heartbeat(Heartbeat {
            sent: self.peers.heartbeat_time(now),
            echo: self.peers.echo_for(to),
            can_replicate: self.can_replicate(),
            leaving: self.is_leaving(),
            bootstrap: self.durable.bootstrap,
            failure_domain: self.failure_domain,
            committed: self.published.position,
            heard_members: self.peers.heard_members(now),
        })
    }

    /// Sends a heartbeat to each of the [`heartbeat_addresses`](Self::heartbeat_addresses).
    pub(super) fn broadcast_heartbeat(&mut self, now: Duration) {
        for address in self.heartbeat_addresses(now) {
            let heartbeat = self.heartbeat(now, address);
            self.send_now(address, heartbeat);
        }
    }

    /// Receivers of this member's heartbeats: the voters; also every heard member if this member is a voter; and
    /// the seeds while this member is not a voter or not in contact with a majority. In epoch 0: all of these.
    pub(super) fn heartbeat_addresses(&self, now: Duration) -> BTreeSet<SocketAddrV4> {
        let view = &self.durable.view;
        let mut addresses: BTreeSet<SocketAddrV4> =
            view.voters.iter().map(|voter| voter.address).collect();
        let is_in_view = view.voters.contains(&self.id);
        if is_in_view || view.epoch == 0 {
            addresses.extend(
                self.peers
                    .heard_members(now)
                    .iter()
                    .map(|peer| peer.address),
            );
        }
        if view.epoch == 0 || !self.is_in_contact_with_majority(now) || !is_in_view {
            addresses.extend(&self.seeds);
        }
        addresses.remove(&self.id.address);
        addresses
    }

    /// Records a heartbeat, and requests the committed state if the sender has a newer one.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Duration,
        from: MemberId,
        heartbeat: &Heartbeat,
    ) {
        self.peers.record_heartbeat(now, from, heartbeat);
        // A member that does not receive this member's messages can't answer, and a request to it would delay
        // the next request.
        let can_answer = self.peers.is_in_contact(now, from);
        #[cfg(feature = "mutations")]
        let can_answer =
            can_answer || self.is_mutated(crate::mutations::Mutation::StateRequestWithoutContact);
        let is_behind =
            can_answer && heartbeat.committed > self.published.position && !self.is_active();
        if is_behind && now >= self.next_state_request {
            self.next_state_request = now + self.state_request_interval;
            self.state_request_interval =
                (2 * self.state_request_interval).min(MAX_STATE_REQUEST_INTERVAL);
            self.send_now(from.address, Body::RequestState);
        }
    }
}
