//! Core machines that request the registries of other core machines, in parts.

use woadreach_discovery::CommittedState;
use woadreach_discovery::messages::RegistryResponse;

use super::core_node::{core_address, core_index};
use super::event::{Event, Message, Node};
use super::{REGISTRY_RETRY_INTERVAL, REGISTRY_TIMEOUT, World};

impl World {
    pub(super) fn pull_if_incomplete(&mut self, core: usize) {
        let node = &self.cores[core];
        if node.state.has_incomplete_peers() && node.pending_pulls.is_empty() {
            let (at, incarnation) = (node.pull_not_before.max(self.now), node.incarnation);
            self.schedule(at, Event::Pull { core, incarnation });
        }
    }

    pub(super) fn pull(&mut self, core: usize) {
        if !self.cores[core].pending_pulls.is_empty() || self.now < self.cores[core].pull_not_before
        {
            return;
        }
        let peers = self.cores[core].state.take_incomplete_peers();
        let incarnation = self.cores[core].incarnation;
        self.cores[core].warm_peer = false;
        for address in peers {
            let peer = core_index(address);
            self.cores[core].pending_pulls.insert(peer);
            let known = self.cores[core].state.version_of_peer(address);
            self.send(
                Node::Core(core),
                Node::Core(peer),
                Message::RegistryRequest { incarnation, known },
            );
            self.schedule(
                self.now + REGISTRY_TIMEOUT,
                Event::PullFailed {
                    core,
                    incarnation,
                    peer,
                },
            );
        }
    }

    /// Merges a part of a peer's registry, and requests the next one.
    pub(super) fn pull_next_part(&mut self, core: usize, peer: usize, part: RegistryResponse) {
        let node = &mut self.cores[core];
        if !node.pending_pulls.contains(&peer) {
            return;
        }
        let address = core_address(peer);
        node.state.merge_registry(self.now, address, part);
        let request = Message::RegistryRequest {
            incarnation: node.incarnation,
            known: node.state.version_of_peer(address),
        };
        self.send(Node::Core(core), Node::Core(peer), request);
    }

    pub(super) fn pull_done(
        &mut self,
        core: usize,
        peer: usize,
        response: Option<RegistryResponse>,
    ) {
        if !self.cores[core].pending_pulls.remove(&peer) {
            return;
        }
        if let Some(response) = response {
            self.cores[core].warm_peer |= !response.warming;
            self.cores[core]
                .state
                .merge_registry(self.now, core_address(peer), response);
        }
        if self.cores[core].pending_pulls.is_empty() {
            let view = self.cores[core].committed.view();
            let warm_peer = self.cores[core].warm_peer;
            if self.cores[core]
                .state
                .complete_registry_pull(self.now, &view, warm_peer)
            {
                self.cores[core].pull_not_before = self.now + REGISTRY_RETRY_INTERVAL;
            }
        }
        self.after_change(core);
    }
}
