//! Loopback addresses of a cluster: 127.N.Z.H, where N is the cluster, Z the zone and H the host. Clusters that run
//! at the same time have different N.

use crate::config::PlayConfig;
use std::net::SocketAddr;
use woadreach_simulation::seed_of;

/// First port of the replicas. All ports here are below the kernel's ephemeral range, so that no other program is
/// assigned one of them while a process restarts.
const REPLICA_PORT: usize = 20_000;
/// Ports reserved for each replica: it listens on one for each co-ordinator.
const PORTS_PER_REPLICA: usize = 16;
/// Client port of the first co-ordinator. Each further co-ordinator uses the next port; the same applies to
/// [`DISCOVERY_PORT`] and [`PEER_PORT`].
const CLIENT_PORT: usize = 18_000;
/// Port of the first co-ordinator's discovery agent.
const DISCOVERY_PORT: usize = 18_100;
/// Port on which the first co-ordinator receives datagrams from its peers.
const PEER_PORT: usize = 18_200;
/// Host number of all replicas of a zone.
const REPLICA_HOST: u8 = 100;
/// Host number of the relay in each zone.
const RELAY_HOST: u8 = 250;
/// Host number of a zone's first co-ordinator.
const FIRST_CO_ORDINATOR_HOST: u8 = 10;

/// Assigns the addresses of a cluster.
#[derive(Clone, Copy)]
pub(crate) struct Addresses {
    network: u8,
    zones: usize,
}

impl Addresses {
    pub(crate) fn new(config: &PlayConfig) -> Addresses {
        let id = std::process::id();
        let name = format!("{id} {} {}", config.scenario, config.seed);
        Addresses {
            network: (seed_of(config.seed, &name) % 250) as u8 + 1,
            zones: config.zones,
        }
    }

    fn at(self, zone: usize, host: u8, port: usize) -> SocketAddr {
        SocketAddr::from(([127, self.network, zone as u8 + 1, host], port as u16))
    }

    fn of_co_ordinator(self, node: usize, first_port: usize) -> SocketAddr {
        let host = FIRST_CO_ORDINATOR_HOST + (node / self.zones) as u8;
        self.at(node % self.zones, host, first_port + node)
    }

    /// Address on which a co-ordinator listens for clients.
    pub(crate) fn client_listen(self, node: usize) -> SocketAddr {
        self.of_co_ordinator(node, CLIENT_PORT)
    }

    /// Address on which a co-ordinator's discovery agent listens.
    pub(crate) fn discovery(self, node: usize) -> SocketAddr {
        self.of_co_ordinator(node, DISCOVERY_PORT)
    }

    /// Address on which a co-ordinator receives datagrams from its peers.
    pub(crate) fn peer_listen(self, node: usize) -> SocketAddr {
        self.of_co_ordinator(node, PEER_PORT)
    }

    /// Address on which a replica listens for the co-ordinator `node`.
    pub(crate) fn replica(self, zone: usize, replica: usize, node: usize) -> SocketAddr {
        let port = REPLICA_PORT + replica * PORTS_PER_REPLICA + node;
        self.at(zone, REPLICA_HOST, port)
    }

    /// Address of the relay in a zone, with port 0: the kernel assigns a free port.
    pub(crate) fn relay(self, zone: usize) -> SocketAddr {
        self.at(zone, RELAY_HOST, 0)
    }
}
