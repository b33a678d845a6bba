//! Starts and controls all processes of a tier.

use crate::error::{SystemSnafu, TierError, TimedOutSnafu};
use crate::process::NodeProcess;
use crate::settings::{
    CLIENT_PORT, CONTROL_PORT, HEARTBEAT_MS, MachineClass, NodeSpec, READY_PORT,
};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of machines of each class.
#[derive(Clone, Copy, Debug)]
pub struct TierSize {
    /// Number of edge machines, which carry the traffic.
    pub edges: u8,
    /// Number of core machines, which serve control.
    pub core: u8,
    /// Number of storage machines, which store turns and budgets.
    pub storage: u8,
}

/// Running tier. Dropping this value kills its processes and removes its files.
pub struct Tier {
    /// Processes of all machines: edge, then storage, then core.
    pub nodes: Vec<NodeProcess>,
    network: u8,
    seeds: Vec<SocketAddr>,
    folder: TempDir,
}

impl Tier {
    /// Starts all processes in bootstrap mode. Edges start first, before the machines that they depend on.
    pub fn start(programs: &Path, network: u8, size: TierSize) -> Result<Self, TierError> {
        let folder = tempfile::tempdir().context(SystemSnafu {
            what: "creation of the tier's temporary folder",
        })?;
        let classes = [
            (MachineClass::Edge, size.edges),
            (MachineClass::Storage, size.storage),
            (MachineClass::Core, size.core),
        ];
        let specs: Vec<NodeSpec> = classes
            .iter()
            .flat_map(|(class, count)| {
                (1..=*count).map(|index| node_spec(*class, index, folder.path()))
            })
            .collect();
        let core = specs.iter().filter(|spec| spec.class == MachineClass::Core);
        let seeds: Vec<SocketAddr> = core
            .map(|spec| spec.socket_address(network, CONTROL_PORT))
            .take(3)
            .collect();
        let mut nodes = Vec::new();
        for spec in specs {
            if let Some(data_dir) = &spec.data_dir {
                std::fs::create_dir_all(data_dir).context(SystemSnafu {
                    what: "creation of a data folder",
                })?;
            }
            nodes.push(NodeProcess::start(
                spec,
                programs,
                folder.path(),
                network,
                &seeds,
            )?);
        }
        Ok(Tier {
            nodes,
            network,
            seeds,
            folder,
        })
    }

    /// Control addresses of the core machines.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.addresses(MachineClass::Core, CONTROL_PORT)
    }

    /// Addresses on which the edges accept client connections.
    pub fn edge_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(MachineClass::Edge, CLIENT_PORT)
    }

    fn addresses(&self, class: MachineClass, port: u16) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter().filter(|node| node.spec.class == class);
        nodes
            .map(|node| node.spec.socket_address(self.network, port))
            .collect()
    }

    /// Waits until every edge has answered its readiness check with a 2xx status; fails after `timeout`.
    pub async fn wait_until_ready(&self, timeout: Duration) -> Result<(), TierError> {
        let client = reqwest::Client::new();
        let end = Instant::now() + timeout;
        for ready in self.addresses(MachineClass::Edge, READY_PORT) {
            loop {
                let call = client
                    .get(format!("http://{ready}/readyz"))
                    .timeout(Duration::from_secs(1));
                if call
                    .send()
                    .await
                    .is_ok_and(|response| response.status().is_success())
                {
                    break;
                }
                if Instant::now() > end {
                    let what = format!("readiness check of the edge at {ready}");
                    return TimedOutSnafu {
                        what,
                        seconds: timeout.as_secs(),
                    }
                    .fail();
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Process of the machine with this class and index; `None` if the tier has no such machine.
    pub fn node(&mut self, class: MachineClass, index: u8) -> Option<&mut NodeProcess> {
        self.nodes
            .iter_mut()
            .find(|node| node.spec.class == class && node.spec.index == index)
    }

    /// Kills a process and starts it again; with `wipe`, its disk is emptied in between. Does nothing if the tier
    /// has no such machine.
    pub async fn restart(
        &mut self,
        class: MachineClass,
        index: u8,
        wipe: bool,
    ) -> Result<(), TierError> {
        let (network, seeds) = (self.network, self.seeds.clone());
        let Some(node) = self.node(class, index) else {
            return Ok(());
        };
        node.kill().await?;
        if wipe {
            node.wipe_disk()?;
        }
        node.restart(network, &seeds)
    }

    /// Folder of the settings files, data folders and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

fn node_spec(class: MachineClass, index: u8, folder: &Path) -> NodeSpec {
    let name = format!("{}-{index}", class.name());
    let data_dir: Option<PathBuf> =
        (class != MachineClass::Edge).then(|| folder.join(format!("{name}.disk")));
    NodeSpec {
        class,
        index,
        data_dir,
        bootstrap: true,
        heartbeat_ms: HEARTBEAT_MS,
    }
}
