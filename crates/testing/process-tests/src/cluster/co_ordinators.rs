//! Sets up the processes under test: assigns addresses, writes configuration files and starts the processes.

use super::{Cluster, CoOrdinator};
use crate::error::{
    InvalidConfigurationSnafu, PlayError, StartProcessSnafu, WriteConfigurationSnafu,
};
use crate::process::{ClockSkew, Process};
use crate::relay::ZonePair;
use serde_json::{Map, Value, json};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::net::UdpSocket;
use woadreach_fakes::Caller;
use woadreach_invariants::CoordinatorId;
use woadreach_runtime::Net;
use woadreach_simulation::{CoordinatorAddresses, configuration, seed_of};

/// Seconds between attempts to connect to a process that is starting.
const CONNECT_INTERVAL: f64 = 0.05;
/// Seconds from the first accepted connection of a process until clients may send searches to it.
const ADMISSION_DELAY: f64 = 0.2;

/// The sender and the receiver of the datagrams that one of the relay's sockets forwards.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PeerLink {
    sender: usize,
    receiver: usize,
}

impl PeerLink {
    fn reversed(self) -> PeerLink {
        PeerLink {
            sender: self.receiver,
            receiver: self.sender,
        }
    }
}

/// The relay's sockets for pairs of co-ordinators in different zones. Each is bound to an address in the sender's zone.
type RelaySockets = BTreeMap<PeerLink, Rc<UdpSocket>>;

impl Cluster {
    pub(super) async fn set_up_co_ordinators(&mut self) -> io::Result<()> {
        let sockets = self.bind_relay_sockets().await?;
        self.relay_peer_datagrams(&sockets);
        for node in 0..self.config.co_ordinators {
            let co_ordinator = self.co_ordinator(node, &sockets)?;
            self.co_ordinators.push(co_ordinator);
        }
        Ok(())
    }

    async fn bind_relay_sockets(&self) -> io::Result<RelaySockets> {
        let mut sockets = RelaySockets::new();
        for sender in 0..self.config.co_ordinators {
            for receiver in 0..self.config.co_ordinators {
                let zone = self.zone_of_co_ordinator(sender);
                if zone != self.zone_of_co_ordinator(receiver) {
                    let socket = UdpSocket::bind(self.addresses.relay(zone)).await?;
                    sockets.insert(PeerLink { sender, receiver }, Rc::new(socket));
                }
            }
        }
        Ok(sockets)
    }

    fn relay_peer_datagrams(&self, sockets: &RelaySockets) {
        for (link, socket) in sockets {
            // The source address of a forwarded datagram is the one through which the receiver reaches the sender.
            let Some(reverse) = sockets.get(&link.reversed()) else {
                continue;
            };
            let zones = ZonePair {
                from: self.zone_of_co_ordinator(link.sender),
                to: self.zone_of_co_ordinator(link.receiver),
            };
            let to = self.addresses.peer_listen(link.receiver);
            self.relay
                .relay_datagrams(socket.clone(), reverse.clone(), to, zones);
        }
    }

    fn co_ordinator(&self, node: usize, sockets: &RelaySockets) -> io::Result<CoOrdinator> {
        let client_listen = self.addresses.client_listen(node);
        let discovery = self.addresses.discovery(node);
        let id = CoordinatorId(node);
        let agent =
            woadreach_fakes::start_discovery_agent(&self.net, id, discovery, None, &self.recorder)?;
        let mut peers = Vec::new();
        for peer in 0..self.config.co_ordinators {
            let link = PeerLink {
                sender: node,
                receiver: peer,
            };
            peers.push(match sockets.get(&link) {
                Some(socket) => socket.local_addr()?,
                None => self.addresses.peer_listen(peer),
            });
        }
        Ok(CoOrdinator {
            client_listen,
            discovery,
            peer_listen: self.addresses.peer_listen(node),
            peers,
            agent,
            client: Caller::new(&self.net, id, client_listen, &self.recorder),
            process: None,
            start_count: 0,
        })
    }

    /// Starts the process of a co-ordinator. Clients send searches to it once it accepts connections.
    pub(super) fn start_co_ordinator(&mut self, node: usize) -> Result<(), PlayError> {
        let configuration = self.configuration(node)?;
        self.co_ordinators[node].start_count += 1;
        let path = self.folder.path().join(format!("n{node}.json"));
        std::fs::write(&path, configuration.to_string())
            .context(WriteConfigurationSnafu { path: &path })?;
        self.record_process_start(node);
        self.co_ordinators[node].agent.process_started();
        self.measurements.borrow_mut().record_process_start(node);
        let clock = self.clock_skew(node);
        let binary = &self.config.binary;
        let process = Process::start(binary, &path, node, clock, self.log.clone())
            .context(StartProcessSnafu { binary })?;
        self.co_ordinators[node].process = Some(process);
        self.admit_clients_once_accepting(node);
        Ok(())
    }

    fn configuration(&self, node: usize) -> Result<Value, PlayError> {
        let co_ordinator = &self.co_ordinators[node];
        let start = format!("node {node} {}", co_ordinator.start_count);
        let seed = seed_of(self.config.seed, &start);
        let addresses = CoordinatorAddresses {
            listen: co_ordinator.client_listen,
            discovery: co_ordinator.discovery,
            peer_listen: self.config.has_peers.then_some(co_ordinator.peer_listen),
            peers: co_ordinator.peers.clone(),
        };
        let known = co_ordinator.agent.full_list_json();
        let text = configuration(&self.script, node, &addresses, seed, &known);
        let mut configuration: Value =
            serde_json::from_str(&text).context(InvalidConfigurationSnafu)?;
        configuration["failover"] = json!({ "near": self.config.prefers_near });
        configuration["duties"] =
            json!({ "on": self.config.has_roles, "warden": true, "records": true });
        if self.config.regions > 1 {
            configuration["failover"]["regions"] = self.regions_by_zone().into();
        }
        Ok(configuration)
    }

    fn regions_by_zone(&self) -> Map<String, Value> {
        let regions = self.config.region_of_zones();
        let entries = regions.iter().enumerate();
        entries
            .map(|(zone, region)| (format!("z{zone}"), format!("r{region}").into()))
            .collect()
    }

    /// Clock of a process; `None` for the system clock. Of three successive processes one has a clock that is one per
    /// cent fast and one a clock that is one per cent slow. The clocks differ by seconds.
    fn clock_skew(&self, node: usize) -> Option<ClockSkew> {
        const RATES: [f64; 3] = [1.0 + 0.01, 1.0 - 0.01, 1.0];
        self.config.scenario.has_clock_skew().then(|| ClockSkew {
            rate: RATES[node % RATES.len()],
            ahead_s: 3.0 * node as f64,
        })
    }

    fn admit_clients_once_accepting(&self, node: usize) {
        let net = self.net;
        let accepts_clients = self.accepts_clients.clone();
        let listen = self.co_ordinators[node].client_listen;
        drop(net.spawn(async move {
            while net.connect(listen).await.is_err() {
                net.sleep(CONNECT_INTERVAL).await;
            }
            net.sleep(ADMISSION_DELAY).await;
            accepts_clients[node].set(true);
        }));
    }

    /// Drops a process that has exited or is to be killed; dropping a running process kills it.
    pub(super) fn drop_process(&mut self, node: usize) {
        self.co_ordinators[node].process = None;
        self.co_ordinators[node].client.close_idle();
    }
}
