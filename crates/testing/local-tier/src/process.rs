//! One process of the tier, with its settings file and its log file.

use crate::error::{NotBuiltSnafu, SystemSnafu, TierError};
use crate::settings::{MachineClass, NodeSpec};
use snafu::{ResultExt, ensure};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

/// Process of one machine of the tier. Dropping this value kills the process.
pub struct NodeProcess {
    /// Settings of the machine.
    pub spec: NodeSpec,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    /// Writes the settings file to `folder` and starts the executable, which is looked up in `programs`.
    pub fn start(
        spec: NodeSpec,
        programs: &Path,
        folder: &Path,
        network: u8,
        seeds: &[SocketAddr],
    ) -> Result<Self, TierError> {
        let program = match spec.class {
            MachineClass::Edge => programs.join("woadreach-proxy"),
            MachineClass::Core | MachineClass::Storage => programs.join("woadreach-control"),
        };
        ensure!(program.exists(), NotBuiltSnafu { path: &program });
        let settings_file = folder.join(format!("{}.yaml", spec.name()));
        let log_file = folder.join(format!("{}.log", spec.name()));
        std::fs::write(&settings_file, spec.settings(network, seeds)).context(SystemSnafu {
            what: format!("settings of {}", spec.name()),
        })?;
        let mut process = NodeProcess {
            spec,
            program,
            settings_file,
            log_file,
            child: None,
        };
        process.spawn()?;
        Ok(process)
    }

    fn spawn(&mut self) -> Result<(), TierError> {
        let name = self.spec.name();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_file);
        let log = log.context(SystemSnafu {
            what: format!("log of {name}"),
        })?;
        let mut command = Command::new(&self.program);
        match self.spec.class {
            MachineClass::Edge => {}
            MachineClass::Core => {
                command.arg("core");
            }
            MachineClass::Storage => {
                command.arg("storage");
            }
        }
        command.env("WOADREACH_NODE_FILE", &self.settings_file);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        self.child = Some(command.spawn().context(SystemSnafu {
            what: format!("start of {name}"),
        })?);
        Ok(())
    }

    /// Sends SIGKILL to the process and waits for it to exit. Does nothing if it is not running.
    pub async fn kill(&mut self) -> Result<(), TierError> {
        if let Some(mut child) = self.child.take() {
            child.kill().await.context(SystemSnafu {
                what: format!("kill of {}", self.spec.name()),
            })?;
        }
        Ok(())
    }

    /// Sends SIGTERM, as an upgrade does, and does not wait for the process to exit.
    pub fn terminate(&self) -> Result<(), TierError> {
        self.signal("-TERM")
    }

    /// Suspends the process with SIGSTOP; its sockets stay open.
    pub fn suspend(&self) -> Result<(), TierError> {
        self.signal("-STOP")
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) -> Result<(), TierError> {
        self.signal("-CONT")
    }

    /// Sends SIGHUP, after which the process reads its settings file again.
    pub fn reload(&self) -> Result<(), TierError> {
        self.signal("-HUP")
    }

    fn signal(&self, signal: &str) -> Result<(), TierError> {
        let Some(id) = self.process_id() else {
            return Ok(());
        };
        let sent = std::process::Command::new("kill")
            .args([signal, &id.to_string()])
            .status();
        sent.context(SystemSnafu {
            what: format!("kill {signal} of {}", self.spec.name()),
        })
        .map(drop)
    }

    /// Starts the process again after [`Self::kill`], with `bootstrap` off and the contents of its disk unchanged.
    pub fn restart(&mut self, network: u8, seeds: &[SocketAddr]) -> Result<(), TierError> {
        self.spec.bootstrap = false;
        std::fs::write(&self.settings_file, self.spec.settings(network, seeds)).context(
            SystemSnafu {
                what: format!("settings of {}", self.spec.name()),
            },
        )?;
        self.spawn()
    }

    /// Empties the machine's data folder. The process must not be running.
    pub fn wipe_disk(&self) -> Result<(), TierError> {
        let Some(folder) = &self.spec.data_dir else {
            return Ok(());
        };
        let wiped = std::fs::remove_dir_all(folder).and_then(|()| std::fs::create_dir_all(folder));
        wiped.context(SystemSnafu {
            what: format!("disk of {}", self.spec.name()),
        })
    }

    /// Id of the process; `None` if it is not running.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Contents of the log file, over all restarts; empty if the file cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}
