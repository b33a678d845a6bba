//! Status of the core as known to one member, for operators and for the driver.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::Member;
use crate::view::MemberId;

/// Status of the core as known to one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Epoch of the installed view.
    pub epoch: u64,
    /// Head of the installed view's chain; `None` before the first view is decided.
    pub head: Option<MemberId>,
    /// Whether this member is that head and accepts commands.
    pub is_head: bool,
    /// Whether the chain contains this member.
    pub in_chain: bool,
    /// Whether this member is in contact with a majority of the voters and, since then, has had a published
    /// state at least as new as every committed state that they had reported.
    pub in_quorum: bool,
    /// Internal addresses of the voters.
    pub voters: Vec<SocketAddrV4>,
    /// Internal addresses of the voters that the failure detector suspects.
    pub suspected_voters: Vec<SocketAddrV4>,
    /// Internal addresses of the known core machines, this one included, in ascending order.
    pub core_machines: Vec<SocketAddrV4>,
}

impl Member {
    /// Addresses of the voters that this member suspects. Empty in epoch 0, whose voters have no identities.
    fn suspected_voters(&self, now: Duration) -> Vec<SocketAddrV4> {
        let view = &self.durable.view;
        if view.epoch == 0 {
            return Vec::new();
        }
        view.voters
            .iter()
            .filter(|&&voter| voter != self.id && !self.peers.is_alive(now, voter))
            .map(|voter| voter.address)
            .collect()
    }

    /// Status of the core at `now`, as known to this member.
    pub fn status(&self, now: Duration) -> Status {
        let view = &self.durable.view;
        let heard = self.peers.heard_members(now);
        let listed = self.peers.listed_members(now);
        let known = heard.iter().chain(&listed).chain(&view.voters);
        let core_machines: BTreeSet<SocketAddrV4> = known.map(|member| member.address).collect();
        Status {
            epoch: view.epoch,
            head: view.head(),
            is_head: self.is_serving_head(),
            in_chain: view.chain.contains(&self.id),
            in_quorum: self.is_in_quorum(now),
            voters: view.voters.iter().map(|voter| voter.address).collect(),
            suspected_voters: self.suspected_voters(now),
            core_machines: core_machines.into_iter().collect(),
        }
    }
}
