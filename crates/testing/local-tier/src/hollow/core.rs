//! Core processes of a hollow run, and whole edges beside the hollow ones.

use super::size::HollowSize;
use super::usage::{self, Usage};
use crate::error::{SystemSnafu, TierError};
use crate::process::NodeProcess;
use crate::settings::{CONTROL_PORT, MachineClass, NodeSpec};
use snafu::ResultExt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use tempfile::TempDir;
use woadreach_settings::NodeSettings;

/// Network number of the core processes.
const NETWORK: u8 = 201;
/// First address of the hollow edges: 127.78.0.1.
const FIRST_EDGE: u32 = 0x7f4e_0001;
/// Seeds that every process is given.
const SEEDS: usize = 3;

/// The processes of a hollow run; they and their files go with this value.
pub struct HollowCore {
    processes: Vec<NodeProcess>,
    seeds: Vec<SocketAddr>,
    folder: TempDir,
    heartbeat_ms: u64,
}

impl HollowCore {
    /// Starts the core processes.
    pub fn start(programs: &Path, size: &HollowSize) -> Result<Self, TierError> {
        let folder = tempfile::tempdir().context(SystemSnafu {
            what: "a folder for the run",
        })?;
        let heartbeat_ms = size.heartbeat.as_millis() as u64;
        let mut core = HollowCore {
            processes: Vec::new(),
            seeds: Vec::new(),
            folder,
            heartbeat_ms,
        };
        let specs: Vec<NodeSpec> = (1..=size.core)
            .map(|index| core.spec(MachineClass::Core, index))
            .collect();
        core.seeds = specs
            .iter()
            .map(|spec| spec.at(NETWORK, CONTROL_PORT))
            .take(SEEDS)
            .collect();
        for spec in specs {
            core.start_process(programs, spec)?;
        }
        Ok(core)
    }

    /// Starts whole edges.
    pub fn start_whole_edges(&mut self, programs: &Path, count: u8) -> Result<(), TierError> {
        for index in 1..=count {
            let spec = self.spec(MachineClass::Edge, index);
            self.start_process(programs, spec)?;
        }
        Ok(())
    }

    fn spec(&self, class: MachineClass, index: u8) -> NodeSpec {
        let disk = self
            .folder
            .path()
            .join(format!("{}-{index}.disk", class.name()));
        let data_dir = (class != MachineClass::Edge).then_some(disk);
        NodeSpec {
            class,
            index,
            data_dir,
            bootstrap: true,
            heartbeat_ms: self.heartbeat_ms,
        }
    }

    fn start_process(&mut self, programs: &Path, spec: NodeSpec) -> Result<(), TierError> {
        if let Some(data_dir) = &spec.data_dir {
            std::fs::create_dir_all(data_dir).context(SystemSnafu {
                what: "a data folder",
            })?;
        }
        let process = NodeProcess::start(spec, programs, self.folder.path(), NETWORK, &self.seeds)?;
        self.processes.push(process);
        Ok(())
    }

    /// Control addresses of the core processes.
    pub fn control(&self) -> Vec<SocketAddr> {
        let core = self
            .processes
            .iter()
            .filter(|process| process.spec.class == MachineClass::Core);
        core.map(|process| process.spec.at(NETWORK, CONTROL_PORT))
            .collect()
    }

    /// Settings of the hollow edge `number`, with a name and an address of its own.
    pub fn edge_settings(&self, number: u32) -> Result<NodeSettings, TierError> {
        let text = self
            .spec(MachineClass::Edge, 1)
            .settings(NETWORK, &self.seeds);
        let settings = NodeSettings::parse(&text).map_err(std::io::Error::other);
        let mut settings = settings.context(SystemSnafu {
            what: "settings of a hollow edge",
        })?;
        settings.node = format!("edge-hollow-{number}");
        settings.ip = Ipv4Addr::from(FIRST_EDGE + number);
        Ok(settings)
    }

    /// What each process of a class has used, in the order in which they were started; an error if one has
    /// gone.
    pub fn usage(&self, class: MachineClass) -> Result<Vec<Usage>, TierError> {
        let of_class = self
            .processes
            .iter()
            .filter(|process| process.spec.class == class);
        of_class.map(usage_of).collect()
    }

    /// Ends all processes and waits until they have gone, so that their addresses are free again.
    pub async fn stop(&mut self) -> Result<(), TierError> {
        for process in &mut self.processes {
            process.kill().await?;
        }
        Ok(())
    }
}

fn usage_of(process: &NodeProcess) -> Result<Usage, TierError> {
    let used = process
        .process_id()
        .and_then(usage::of_process)
        .filter(|used| used.resident > 0);
    used.ok_or_else(|| std::io::Error::other(process.log()))
        .with_context(|_| SystemSnafu {
            what: format!("{} has ended", process.spec.name()),
        })
}
