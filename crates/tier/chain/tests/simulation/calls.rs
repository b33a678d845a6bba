//! Handling of the operators' calls by the machines.

use std::time::Duration;

use woadreach_chain::{Input, Reply, Request, RequestId};

use super::event::Event;
use super::operator::{CallId, handle_answer};
use super::world::World;

impl World {
    /// Handles a call at a machine, which forwards the call if it is not the head.
    pub(super) fn call(&mut self, node: usize, call: CallId, request: Request, hops: u8) {
        if !self.is_running(node) {
            return;
        }
        let now = self.now;
        let status = self.nodes[node]
            .member
            .as_ref()
            .expect("running")
            .status(now);
        if !status.is_head {
            let head = status.head.and_then(|head| {
                self.nodes
                    .iter()
                    .position(|other| other.address == head.address)
            });
            let Some(head) = head.filter(|&head| head != node && hops < 2) else {
                return;
            };
            if !self.partitioned_links.contains(&(node, head)) {
                self.schedule(
                    Duration::from_millis(1),
                    Event::Call {
                        node: head,
                        call,
                        request,
                        hops: hops + 1,
                    },
                );
            }
            return;
        }
        let id = RequestId(self.nodes[node].next_request);
        self.nodes[node].next_request += 1;
        self.nodes[node].calls.insert(id, (call, request.clone()));
        self.input(node, Input::Request(id, request));
    }

    /// Sends a machine's answer to the operator. Some answers are lost.
    pub(super) fn reply(&mut self, node: usize, id: RequestId, reply: Reply) {
        let Some((call, request)) = self.nodes[node].calls.remove(&id) else {
            return;
        };
        if reply == Reply::Unavailable || self.random_bool(0.1) {
            return;
        }
        handle_answer(self, call, &request, &reply);
    }
}
