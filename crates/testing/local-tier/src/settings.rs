//! Settings files of the processes: ports, addresses and limits.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Port on which an edge accepts client connections.
pub(crate) const CLIENT_PORT: u16 = 18149;
/// Port on which an edge serves its readiness check.
pub(crate) const READY_PORT: u16 = 18141;
/// Port of the control interface of a core machine.
pub(crate) const CONTROL_PORT: u16 = 18144;
/// First port of the range for traffic between processes.
const FIRST_INTERNAL_PORT: u16 = 17380;
/// Interval between two heartbeats of a replica, in ms.
pub(crate) const HEARTBEAT_MS: u64 = 300;

/// Class of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineClass {
    /// Proxies client traffic to the replicas.
    Edge,
    /// Serves the control interface.
    Core,
    /// Stores turns and budgets.
    Storage,
}

impl MachineClass {
    /// Name of the class in settings files.
    pub fn name(self) -> &'static str {
        match self {
            MachineClass::Edge => "edge",
            MachineClass::Core => "core",
            MachineClass::Storage => "storage",
        }
    }

    fn address_block(self) -> u8 {
        match self {
            MachineClass::Edge => 1,
            MachineClass::Core => 2,
            MachineClass::Storage => 3,
        }
    }
}

/// Settings of one machine of a tier on loopback.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Class of the machine.
    pub class: MachineClass,
    /// Number of the machine within its class, from 1.
    pub index: u8,
    /// Folder for durable state; `None` if the machine has no disk.
    pub data_dir: Option<PathBuf>,
    /// Whether this is the first start of the whole tier.
    pub bootstrap: bool,
    /// Interval between two heartbeats of a replica, in ms.
    pub heartbeat_ms: u64,
}

impl NodeSpec {
    /// Name of the machine, for example `core-1`.
    pub fn name(&self) -> String {
        format!("{}-{}", self.class.name(), self.index)
    }

    /// Address of the machine. Each tier that runs on the same host needs a different `network`, the third byte.
    pub fn ip(&self, network: u8) -> Ipv4Addr {
        Ipv4Addr::new(
            127,
            77,
            network,
            self.class.address_block() * 32 + self.index,
        )
    }

    /// Socket address of a port of the machine.
    pub fn socket_address(&self, network: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(network), port))
    }

    /// Contents of the machine's settings file, in YAML.
    pub fn settings(&self, network: u8, seeds: &[SocketAddr]) -> String {
        let seeds: String = seeds
            .iter()
            .map(|seed| format!("  - \"{seed}\"\n"))
            .collect();
        let data_dir = match &self.data_dir {
            Some(path) => format!("\"{}\"", path.display()),
            None => "null".to_owned(),
        };
        let listen = match self.class {
            MachineClass::Edge => format!(
                "listen:\n  front: \"{}\"\n  ready: \"{}\"",
                self.socket_address(network, CLIENT_PORT),
                self.socket_address(network, READY_PORT)
            ),
            MachineClass::Core => {
                format!(
                    "listen:\n  control: \"{}\"",
                    self.socket_address(network, CONTROL_PORT)
                )
            }
            MachineClass::Storage => "listen: {}".to_owned(),
        };
        format!(
            "node: \"{name}\"\nrole: \"{class}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{class}\"\n\
             ip: \"{ip}\"\nzone: \"z{zone}\"\nregion: \"r\"\nzones:\n  z{zone}: \"r\"\n{listen}\n\
             port_range:\n  - {FIRST_INTERNAL_PORT}\n  - {last}\nseeds:\n{seeds}bootstrap: {bootstrap}\n\
             counts_for_quorum: {counts}\nlimits:\n  cpu_share: 1.0\n  cores: 1\n  memory_mb: 260\n  \
             max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 300\ndata_dir: {data_dir}\n\
             heartbeat_ms: {heartbeat_ms}\nfault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds: {{}}\n",
            name = self.name(),
            class = self.class.name(),
            ip = self.ip(network),
            zone = self.index % 3,
            last = FIRST_INTERNAL_PORT + 15,
            bootstrap = self.bootstrap,
            heartbeat_ms = self.heartbeat_ms,
            counts = self.class != MachineClass::Edge,
        )
    }
}
