//! The settings files of the processes: their ports, addresses and limits.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Port at which an edge accepts clients.
pub(crate) const FRONT_PORT: u16 = 18149;
/// Port at which an edge reports whether it is ready.
pub(crate) const READY_PORT: u16 = 18141;
/// Port of the control interface of a core machine.
pub(crate) const CONTROL_PORT: u16 = 18144;
/// First port for traffic between processes.
const FIRST_INTERNAL_PORT: u16 = 17380;
/// Interval between two heartbeats of a replica, in ms.
pub(crate) const HEARTBEAT_MS: u64 = 300;

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineClass {
    /// Carries the traffic.
    Edge,
    /// Serves control.
    Core,
    /// Keeps turns and budgets.
    Storage,
}

impl MachineClass {
    /// The class's name in settings.
    pub fn name(self) -> &'static str {
        match self {
            MachineClass::Edge => "edge",
            MachineClass::Core => "core",
            MachineClass::Storage => "storage",
        }
    }

    fn number(self) -> u8 {
        match self {
            MachineClass::Edge => 1,
            MachineClass::Core => 2,
            MachineClass::Storage => 3,
        }
    }
}

/// One machine of a tier on loopback.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// What it is for.
    pub class: MachineClass,
    /// Its number within its class, from 1.
    pub index: u8,
    /// Folder for durable state, if it has a disk.
    pub data_dir: Option<PathBuf>,
    /// Whether this is the first start of the whole tier.
    pub bootstrap: bool,
    /// Interval between two heartbeats of a replica, in ms.
    pub heartbeat_ms: u64,
}

impl NodeSpec {
    /// The machine's name.
    pub fn name(&self) -> String {
        format!("{}-{}", self.class.name(), self.index)
    }

    /// The machine's address; `network` keeps tiers on one machine apart.
    pub fn ip(&self, network: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, network, self.class.number() * 32 + self.index)
    }

    /// Where it serves a port.
    pub fn at(&self, network: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(network), port))
    }

    /// The text of its settings file.
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
                self.at(network, FRONT_PORT),
                self.at(network, READY_PORT)
            ),
            MachineClass::Core => {
                format!("listen:\n  control: \"{}\"", self.at(network, CONTROL_PORT))
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
