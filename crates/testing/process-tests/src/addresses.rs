//! Addresses on loopback: 127.N.Z.H, where N differs between clusters that run side by side, Z is the zone and H the
//! host.

use crate::config::PlayConfig;
use std::net::SocketAddr;
use woadreach_simulation::seed_of;

/// The first port of replicas. All ports are below the range from which the kernel assigns ports, so that no other
/// program gets one of them between two starts of a process.
const REPLICA_PORT: usize = 20_000;
/// Ports of a replica, one for each co-ordinator.
const PORTS_PER_REPLICA: usize = 16;
/// The port at which the first co-ordinator accepts clients; the next ones have the ports after it.
const CLIENT_PORT: usize = 18_000;
/// The port of the first co-ordinator's discovery agent.
const DISCOVERY_PORT: usize = 18_100;
/// The port at which the first co-ordinator receives datagrams of its peers.
const PEER_PORT: usize = 18_200;
/// The host of all replicas of a zone.
const REPLICA_HOST: u8 = 100;
/// The relay's host in each zone.
const RELAY_HOST: u8 = 250;
/// The host of a zone's first co-ordinator.
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

    /// Where a co-ordinator listens for clients.
    pub(crate) fn client_listen(self, node: usize) -> SocketAddr {
        self.of_co_ordinator(node, CLIENT_PORT)
    }

    /// Where a co-ordinator's discovery agent listens.
    pub(crate) fn discovery(self, node: usize) -> SocketAddr {
        self.of_co_ordinator(node, DISCOVERY_PORT)
    }

    /// Where a co-ordinator listens for its peers' datagrams.
    pub(crate) fn peer_listen(self, node: usize) -> SocketAddr {
        self.of_co_ordinator(node, PEER_PORT)
    }

    /// Where a replica listens for one co-ordinator.
    pub(crate) fn replica(self, zone: usize, replica: usize, node: usize) -> SocketAddr {
        let port = REPLICA_PORT + replica * PORTS_PER_REPLICA + node;
        self.at(zone, REPLICA_HOST, port)
    }

    /// The relay in a zone, at any free port.
    pub(crate) fn relay(self, zone: usize) -> SocketAddr {
        self.at(zone, RELAY_HOST, 0)
    }
}
