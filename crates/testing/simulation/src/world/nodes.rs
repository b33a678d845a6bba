//! The co-ordinators of a world: their starts, ends and reloads.

use super::{
    DISCOVERY_PORT, Judged, KILL_AFTER, LOOK, Node, PEERS_PORT, Places, World, configuration, nanos,
};
use crate::clock::MILLISECOND;
use crate::network::{Zone, address, seed_of};
use crate::script::FaultKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use woadreach_invariants::{EventKind, NodeId};
use woadreach_runtime::Net;
use woadreachd::Environment;
use woadreachd::config::{self, AddressPrecedence, ConfigError, ConfigSource};
use woadreachd::events::Usage;

impl World {
    pub(super) fn start_node(self: &Rc<Self>, n: usize) {
        let node = &self.nodes[n];
        let zone = Zone(n % self.script.fleet.zones);
        let start = node.starts.replace(node.starts.get() + 1);
        let net = match node.process.get().filter(|_| start == 0) {
            Some(process) => self.network.process(process),
            None => self.network.add_machine(zone, 0.0),
        };
        node.process.set(Some(net.process()));
        self.recorder
            .tell(EventKind::NodeStarted { node: NodeId(n) });
        node.agent.process_started();
        let seed = seed_of(self.script.seed, &format!("node {n} {start}"));
        let (hangup, hangups) = mpsc::unbounded_channel();
        let (term, terms) = mpsc::unbounded_channel();
        *node.hangup.borrow_mut() = Some(hangup);
        *node.term.borrow_mut() = Some(term);
        let given = {
            let world = Rc::downgrade(self);
            move || {
                world
                    .upgrade()
                    .ok_or(ConfigError::VariableNotSet {
                        variable: "PROXY_CONFIG",
                    })
                    .map(|w| w.given(n, seed))
            }
        };
        for replica in &self.replicas {
            // What `known` says is told with the start.
            let (node, ready) = (NodeId(n), replica.alive.get());
            let replica = replica.name.borrow().as_str().into();
            if ready {
                self.recorder.tell(EventKind::ReplicaListed {
                    node,
                    replica,
                    ready,
                });
            }
        }
        let held = node.held.clone();
        let report = Box::new(move |now: &Usage| held.set(*now));
        let judges = Rc::downgrade(self);
        let verdict = Box::new(move |turn: &woadreach_zone_failover::VerdictChange| {
            if let Some(w) = judges.upgrade() {
                let at = w.clock.now() as f64 / 1e9;
                let (node, zone) = (NodeId(n), usize::from(turn.zone));
                w.judged.borrow_mut().push(Judged {
                    at,
                    node,
                    zone,
                    epoch: turn.verdict.epoch,
                });
            }
        });
        let world = self.clone();
        let run = net.clone();
        drop(net.spawn(async move {
            let ended = match given().and_then(|g| config::read(AddressPrecedence::Environment, &g))
            {
                Ok(config) => {
                    let given = Box::new(given);
                    let environment = Environment {
                        sighup: hangups,
                        sigterm: terms,
                        read_source: given,
                        on_usage: report,
                        on_verdict: verdict,
                    };
                    let served = woadreachd::serve(run.clone(), config, environment).await;
                    served.map_err(|error| error.to_string())
                }
                Err(error) => Err(error.to_string()),
            };
            let node = NodeId(n);
            match ended {
                Ok(()) => world.recorder.tell(EventKind::NodeEnded { node }),
                Err(why) => world.recorder.tell(EventKind::Panicked { node, why }),
            }
            let (process, again) = (run.process(), world.clone());
            // Not from within itself.
            world.clock.call_at(world.clock.now(), move || {
                again.network.kill(process);
                if again.nodes[n].process.get() == Some(process) {
                    again.nodes[n].process.set(None);
                }
            });
        }));
        // A front lets it in once it has answered that it is ready.
        let world = self.clone();
        self.clock
            .call_at(self.clock.now() + 200 * MILLISECOND, move || {
                let node = &world.nodes[n];
                node.up.set(node.process.get() == Some(net.process()));
            });
    }

    pub(super) fn given(&self, n: usize, seed: u64) -> ConfigSource {
        let node = &self.nodes[n];
        let discovery = address(node.agent_process.get(), DISCOVERY_PORT);
        let at = |node: &Node| SocketAddr::new(node.address.ip(), PEERS_PORT);
        let places = Places {
            listen: node.address,
            discovery,
            peer_listen: self.script.peers.as_ref().map(|_| at(node)),
            peers: self.nodes.iter().map(at).collect(),
        };
        let text = configuration(&self.script, n, &places, seed, &node.agent.known());
        ConfigSource {
            path: format!("n{n}"),
            text,
            listen: None,
            discovery: None,
        }
    }

    pub(super) fn kill_node(self: &Rc<Self>, n: usize) {
        let node = &self.nodes[n];
        let Some(process) = node.process.take() else {
            return;
        };
        self.recorder
            .tell(EventKind::NodeKilled { node: NodeId(n) });
        self.network.kill(process);
        let world = self.clone();
        // A front notices after a while.
        self.clock
            .call_at(self.clock.now() + 1000 * MILLISECOND, move || {
                let node = &world.nodes[n];
                if node.process.get().is_none() {
                    node.up.set(false);
                }
            });
    }

    pub(super) fn restart_node(self: &Rc<Self>, n: usize) {
        let node = &self.nodes[n];
        if node.process.get().is_none() {
            return;
        }
        if let Some(term) = &*node.term.borrow() {
            let _ = term.send(());
        }
        let world = self.clone();
        self.clock
            .call_at(self.clock.now() + 300 * MILLISECOND, move || {
                world.nodes[n].up.set(false)
            });
        let longest = self.script.max_client_timeout();
        let (world, process) = (self.clone(), node.process.get());
        let killed = nanos(longest.min(3.0) + KILL_AFTER) + 50 * MILLISECOND;
        self.clock.call_at(self.clock.now() + killed, move || {
            // One that has stood still meanwhile counts from when it was told, and is killed all the same.
            let stalled = |f: &crate::script::Fault| match &f.kind {
                FaultKind::StallCoordinators { co_ordinators } => co_ordinators.contains(&n),
                _ => false,
            };
            if world.nodes[n].process.get() == process && world.script.faults.iter().any(stalled) {
                world.kill_node(n);
            } else if world.nodes[n].process.get() == process {
                let why = "it has not ended by the time that SIGKILL comes".to_string();
                world.recorder.tell(EventKind::Leaked {
                    node: NodeId(n),
                    why,
                });
                world.kill_node(n);
            }
        });
    }

    pub(super) fn start_again(self: &Rc<Self>, n: usize) {
        if self.nodes[n].process.get().is_none() {
            return self.start_node(n);
        }
        // It has been told to end, and has not yet.
        if self.nodes[n].up.get() {
            return;
        }
        let world = self.clone();
        self.clock
            .call_at(self.clock.now() + LOOK, move || world.start_again(n));
    }

    pub(super) fn reload(self: &Rc<Self>, n: usize) {
        let node = &self.nodes[n];
        let net = self
            .network
            .add_machine(Zone(n % self.script.fleet.zones), 0.0);
        node.moves.set(node.moves.get() + 1);
        let place = address(net.process(), DISCOVERY_PORT);
        let moved =
            woadreach_fakes::discovery(&net, NodeId(n), place, Some(&node.agent), &self.recorder);
        moved.unwrap_or_else(|e| panic!("a new machine's address is taken: {e}"));
        let old = node.agent_process.replace(net.process());
        let network = self.network.clone();
        self.clock
            .call_at(self.clock.now() + 1500 * MILLISECOND, move || {
                network.kill(old)
            });
        if let Some(hangup) = &*node.hangup.borrow() {
            let _ = hangup.send(());
        }
    }
}
