//! The co-ordinators of a world: how their processes start, reload, shut down and are killed.

use super::{CHECK_INTERVAL, Coordinator, DISCOVERY_PORT, PEERS_PORT, World};
use crate::clock::MILLISECOND;
use crate::network::{SimNet, Zone, address, seed_of};
use crate::outcome::VerdictAdoption;
use crate::script::{Fault, FaultKind};
use crate::settings::{CoordinatorAddresses, configuration};
use crate::time::{nanos, seconds};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use woadreach_invariants::{CoordinatorId, EventKind};
use woadreach_runtime::Net;
use woadreach_zone_failover::VerdictChange;
use woadreachd::Environment;
use woadreachd::config::{self, AddressPrecedence, ConfigError, ConfigSource};
use woadreachd::events::Usage;

/// Seconds from the end of the shutdown timeout until SIGKILL. By the protocol the shutdown timeout is the longest
/// client timeout, but at most [`MAX_SHUTDOWN_TIMEOUT`].
const KILL_DELAY: f64 = 0.7;
/// Longest shutdown timeout, in seconds.
const MAX_SHUTDOWN_TIMEOUT: f64 = 3.0;

impl World {
    /// Starts a co-ordinator's process, which gets clients a little later.
    pub(super) fn start_coordinator(self: &Rc<Self>, index: usize) {
        let coordinator = &self.coordinators[index];
        let start = coordinator.starts.replace(coordinator.starts.get() + 1);
        let net = self.coordinator_machine(index, start);
        coordinator.process.set(Some(net.process()));
        let node = CoordinatorId(index);
        self.recorder.record(EventKind::CoordinatorStarted { node });
        coordinator.agent.process_started();
        let seed = seed_of(self.script.seed, &format!("node {index} {start}"));
        let environment = self.environment(index, seed);
        self.report_known_replicas(index);
        let task = self
            .clone()
            .run_coordinator(index, net.clone(), seed, environment);
        drop(net.spawn(task));
        let world = self.clone();
        // The load balancer sends it clients once it has answered a health check.
        let ready_at = self.clock.now() + 200 * MILLISECOND;
        self.clock.call_at(ready_at, move || {
            let coordinator = &world.coordinators[index];
            let is_running = coordinator.process.get() == Some(net.process());
            coordinator.in_rotation.set(is_running);
        });
    }

    /// The first process has the machine that the world was built with; each later one gets its own.
    fn coordinator_machine(&self, index: usize, start: u64) -> SimNet {
        match self.coordinators[index]
            .process
            .get()
            .filter(|_| start == 0)
        {
            Some(process) => self.network.process(process),
            None => self
                .network
                .add_machine(Zone(index % self.script.fleet.zones), 0.0),
        }
    }

    /// What a co-ordinator's process gets from outside: signals, its configuration, and who hears its
    /// reports.
    fn environment(self: &Rc<Self>, index: usize, seed: u64) -> Environment {
        let coordinator = &self.coordinators[index];
        let (sighup_sender, sighup) = mpsc::unbounded_channel();
        let (sigterm_sender, sigterm) = mpsc::unbounded_channel();
        *coordinator.sighup.borrow_mut() = Some(sighup_sender);
        *coordinator.sigterm.borrow_mut() = Some(sigterm_sender);
        let world = Rc::downgrade(self);
        let read_source = move || {
            let world = world.upgrade().ok_or(ConfigError::VariableNotSet {
                variable: "PROXY_CONFIG",
            })?;
            Ok(world.config_source(index, seed))
        };
        let usage = coordinator.usage.clone();
        let world = Rc::downgrade(self);
        let on_verdict = move |change: &VerdictChange| {
            if let Some(world) = world.upgrade() {
                world.adopt_verdict(index, change);
            }
        };
        Environment {
            sighup,
            sigterm,
            read_source: Box::new(read_source),
            on_usage: Box::new(move |now: &Usage| usage.set(*now)),
            on_verdict: Box::new(on_verdict),
        }
    }

    fn adopt_verdict(&self, index: usize, change: &VerdictChange) {
        self.verdicts.borrow_mut().push(VerdictAdoption {
            at_s: seconds(self.clock.now()),
            node: CoordinatorId(index),
            zone: usize::from(change.zone),
            epoch: change.verdict.epoch,
        });
    }

    /// The configuration names the replicas that are alive, so that a new process knows them at once.
    fn report_known_replicas(&self, index: usize) {
        for slot in self.replicas.iter().filter(|slot| slot.alive.get()) {
            self.recorder.record(EventKind::ReplicaListed {
                node: CoordinatorId(index),
                replica: slot.name.borrow().as_str().into(),
                ready: true,
            });
        }
    }

    async fn run_coordinator(
        self: Rc<Self>,
        index: usize,
        net: SimNet,
        seed: u64,
        environment: Environment,
    ) {
        let config = config::read(
            AddressPrecedence::Environment,
            &self.config_source(index, seed),
        );
        let ended = match config {
            Ok(config) => woadreachd::serve(net.clone(), config, environment)
                .await
                .map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let node = CoordinatorId(index);
        match ended {
            Ok(()) => self.recorder.record(EventKind::CoordinatorEnded { node }),
            Err(why) => self.recorder.record(EventKind::Panicked { node, why }),
        }
        let process = net.process();
        let world = self.clone();
        // Later, since a process cannot be killed from one of its own tasks.
        self.clock.call_at(self.clock.now(), move || {
            world.network.kill(process);
            let coordinator = &world.coordinators[index];
            if coordinator.process.get() == Some(process) {
                coordinator.process.set(None);
            }
        });
    }

    fn config_source(&self, index: usize, seed: u64) -> ConfigSource {
        let coordinator = &self.coordinators[index];
        let peer_address = |c: &Coordinator| SocketAddr::new(c.address.ip(), PEERS_PORT);
        let addresses = CoordinatorAddresses {
            listen: coordinator.address,
            discovery: address(coordinator.agent_process.get(), DISCOVERY_PORT),
            peer_listen: self
                .script
                .peers
                .as_ref()
                .map(|_| peer_address(coordinator)),
            peers: self.coordinators.iter().map(peer_address).collect(),
        };
        let known = coordinator.agent.full_list_json();
        ConfigSource {
            path: format!("n{index}"),
            text: configuration(&self.script, index, &addresses, seed, &known),
            listen: None,
            discovery: None,
        }
    }

    /// Kills a co-ordinator. The load balancer notices a second later.
    pub(super) fn kill_coordinator(self: &Rc<Self>, index: usize) {
        let Some(process) = self.coordinators[index].process.take() else {
            return;
        };
        let node = CoordinatorId(index);
        self.recorder.record(EventKind::CoordinatorKilled { node });
        self.network.kill(process);
        let world = self.clone();
        let noticed_at = self.clock.now() + 1000 * MILLISECOND;
        self.clock.call_at(noticed_at, move || {
            let coordinator = &world.coordinators[index];
            if coordinator.process.get().is_none() {
                coordinator.in_rotation.set(false);
            }
        });
    }

    /// Sends SIGTERM to a co-ordinator, and SIGKILL when its time for a graceful shutdown is over.
    pub(super) fn shut_down(self: &Rc<Self>, index: usize) {
        let coordinator = &self.coordinators[index];
        let Some(process) = coordinator.process.get() else {
            return;
        };
        if let Some(sigterm) = &*coordinator.sigterm.borrow() {
            let _ = sigterm.send(());
        }
        let world = self.clone();
        let noticed_at = self.clock.now() + 300 * MILLISECOND;
        self.clock.call_at(noticed_at, move || {
            world.coordinators[index].in_rotation.set(false);
        });
        let timeout = self.script.max_client_timeout().min(MAX_SHUTDOWN_TIMEOUT);
        let killed_at = self.clock.now() + nanos(timeout + KILL_DELAY) + 50 * MILLISECOND;
        let world = self.clone();
        self.clock.call_at(killed_at, move || {
            if world.coordinators[index].process.get() == Some(process) {
                world.kill_after_shutdown(index);
            }
        });
    }

    fn kill_after_shutdown(self: &Rc<Self>, index: usize) {
        // A process that was suspended got SIGTERM late, and is killed without blame.
        let stalls = |fault: &Fault| match &fault.kind {
            FaultKind::StallCoordinators { co_ordinators } => co_ordinators.contains(&index),
            _ => false,
        };
        if !self.script.faults.iter().any(stalls) {
            let why = "it has not ended by the time that SIGKILL comes".to_string();
            self.report_leak(index, why);
        }
        self.kill_coordinator(index);
    }

    /// Starts a co-ordinator after its last process has ended.
    pub(super) fn start_again(self: &Rc<Self>, index: usize) {
        if self.coordinators[index].process.get().is_none() {
            return self.start_coordinator(index);
        }
        // It was not shut down, or is in rotation again.
        if self.coordinators[index].in_rotation.get() {
            return;
        }
        let world = self.clone();
        let again_at = self.clock.now() + CHECK_INTERVAL;
        self.clock
            .call_at(again_at, move || world.start_again(index));
    }

    /// Moves a co-ordinator's discovery agent to another address, and sends it SIGHUP.
    pub(super) fn reload(self: &Rc<Self>, index: usize) {
        let coordinator = &self.coordinators[index];
        let zone = Zone(index % self.script.fleet.zones);
        let net = self.network.add_machine(zone, 0.0);
        let place = address(net.process(), DISCOVERY_PORT);
        let agent = Some(&coordinator.agent);
        let moved = woadreach_fakes::start_discovery_agent(
            &net,
            CoordinatorId(index),
            place,
            agent,
            &self.recorder,
        );
        moved.unwrap_or_else(|e| panic!("a new machine's address is taken: {e}"));
        let old = coordinator.agent_process.replace(net.process());
        let network = self.network.clone();
        let killed_at = self.clock.now() + 1500 * MILLISECOND;
        self.clock.call_at(killed_at, move || network.kill(old));
        if let Some(sighup) = &*coordinator.sighup.borrow() {
            let _ = sighup.send(());
        }
    }
}

impl Coordinator {
    /// The network of its clients' machine.
    pub(super) fn clients_net(&self) -> &SimNet {
        self.clients.net()
    }
}
