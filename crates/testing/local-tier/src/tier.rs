//! A tier of processes, started together as on a first start.

use crate::error::{SystemSnafu, TierError, TimedOutSnafu};
use crate::process::NodeProcess;
use crate::settings::{CONTROL_PORT, FRONT_PORT, HEARTBEAT_MS, MachineClass, NodeSpec, READY_PORT};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How many machines of each class.
#[derive(Clone, Copy, Debug)]
pub struct TierSize {
    /// Machines that carry the traffic.
    pub edges: u8,
    /// Machines that serve control.
    pub core: u8,
    /// Machines that keep turns and budgets.
    pub storage: u8,
}

/// A running tier. Its processes are killed and its files removed when this is dropped.
pub struct Tier {
    /// The machines, edges first.
    pub nodes: Vec<NodeProcess>,
    network: u8,
    seeds: Vec<SocketAddr>,
    folder: TempDir,
}

impl Tier {
    /// Starts all processes, the edges first: before the machines that they depend on.
    pub fn start(programs: &Path, network: u8, size: TierSize) -> Result<Self, TierError> {
        let folder = tempfile::tempdir().context(SystemSnafu {
            what: "a folder for the tier",
        })?;
        let classes = [
            (MachineClass::Edge, size.edges),
            (MachineClass::Storage, size.storage),
            (MachineClass::Core, size.core),
        ];
        let specs: Vec<NodeSpec> = classes
            .iter()
            .flat_map(|(class, count)| (1..=*count).map(|index| spec(*class, index, folder.path())))
            .collect();
        let core = specs.iter().filter(|spec| spec.class == MachineClass::Core);
        let seeds: Vec<SocketAddr> = core
            .map(|spec| spec.at(network, CONTROL_PORT))
            .take(3)
            .collect();
        let mut nodes = Vec::new();
        for spec in specs {
            if let Some(data_dir) = &spec.data_dir {
                std::fs::create_dir_all(data_dir).context(SystemSnafu {
                    what: "a data folder",
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

    /// Addresses on which the edges take clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.addresses(MachineClass::Edge, FRONT_PORT)
    }

    fn addresses(&self, class: MachineClass, port: u16) -> Vec<SocketAddr> {
        let of_class = self.nodes.iter().filter(|node| node.spec.class == class);
        of_class
            .map(|node| node.spec.at(self.network, port))
            .collect()
    }

    /// Waits until every edge reports that it is ready.
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
                    let what = format!("readiness of {ready}");
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

    /// The process of a class and number.
    pub fn node(&mut self, class: MachineClass, index: u8) -> Option<&mut NodeProcess> {
        self.nodes
            .iter_mut()
            .find(|node| node.spec.class == class && node.spec.index == index)
    }

    /// Kills a process and starts it again; with `wipe` its disk comes back empty.
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

    /// The folder that holds settings, disks and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

fn spec(class: MachineClass, index: u8, folder: &Path) -> NodeSpec {
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
