//! Signs of life: what this member tells the others of itself, and what it hears.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{LONGEST_STATE_REQUEST_PAUSE, Member};
use crate::message::{Body, Ping};
use crate::plan::Place;
use crate::view::MemberId;

impl Member {
    pub(crate) fn is_fit(&self) -> bool {
        self.is_disk_healthy && !self.is_leaving
    }

    pub(crate) fn place_of(&self, member: MemberId) -> Place {
        if member == self.id {
            self.place
        } else {
            self.peers.place(member)
        }
    }

    pub(super) fn hears_voter(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return voter.address == self.id.address
                || self.peers.is_bootstrapping(now, voter.address);
        }
        self.peers.is_heard(now, voter)
    }

    pub(super) fn ping(&self, now: Duration, to: SocketAddrV4) -> Body {
        Body::Ping(Ping {
            sent: self.peers.ping_time(now),
            echo: self.peers.echo_for(to),
            fit: self.is_fit(),
            leaving: self.is_leaving,
            bootstrap: self.durable.bootstrap,
            place: self.place,
            committed: self.published.stamp,
            hears: self.peers.heard_lately(now),
        })
    }

    pub(super) fn ping_all(&mut self, now: Duration) {
        for address in self.ping_addresses(now) {
            let ping = self.ping(now, address);
            self.send_now(address, ping);
        }
    }

    pub(super) fn ping_addresses(&self, now: Duration) -> Vec<SocketAddrV4> {
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

    pub(super) fn take_ping(&mut self, now: Duration, from: MemberId, ping: &Ping) {
        self.peers.pinged(now, from, ping);
        // Somebody who does not hear this member cannot answer, and must not use up the pause.
        let can_answer = self.peers.is_in_contact(now, from);
        #[cfg(feature = "mutations")]
        let can_answer =
            can_answer || self.has_mutation(crate::mutations::Mutation::StateFromTheDeaf);
        let wants_state = can_answer && ping.committed > self.published.stamp && !self.is_active();
        if wants_state && now >= self.next_state_request {
            self.next_state_request = now + self.state_request_pause;
            self.state_request_pause =
                (2 * self.state_request_pause).min(LONGEST_STATE_REQUEST_PAUSE);
            self.send_now(from.address, Body::RequestState);
        }
    }
}
