//! The machine list: a TOML file with the names and metrics addresses of a tier's machines.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// Time-out for reading one page, if the file sets none.
const DEFAULT_TIMEOUT_MS: u64 = 1000;
/// Maximum time-out that the file may set.
const MAX_TIMEOUT_MS: u64 = 60_000;
/// Maximum number of machines in a file.
const MAX_MACHINES: usize = 20_000;

/// Why a machine list cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum MachineListError {
    /// The file is missing or cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is not valid TOML, lacks a field, or has an unknown one; the source names the line.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        path: PathBuf,
        source: Box<toml::de::Error>,
    },
    /// The file has no `[[machine]]` entry.
    #[snafu(display("{}: no [[machine]] entry", path.display()))]
    Empty { path: PathBuf },
    /// The file has more than `MAX_MACHINES` entries.
    #[snafu(display("{}: {found} machines; expected at most {MAX_MACHINES}", path.display()))]
    TooMany { path: PathBuf, found: usize },
    /// Two machines have the same name.
    #[snafu(display("{}: two machines are named `{name}`", path.display()))]
    DuplicateName { path: PathBuf, name: String },
    /// A machine has an empty name.
    #[snafu(display("{}: machine {number} has an empty name", path.display()))]
    NoName { path: PathBuf, number: usize },
    /// The time-out is 0 or above `MAX_TIMEOUT_MS`.
    #[snafu(display("{}: timeout_ms is {found}; expected 1 to {MAX_TIMEOUT_MS}", path.display()))]
    InvalidTimeout { path: PathBuf, found: u64 },
}

/// An entry of the machine list. Names are unique in a list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Machine {
    pub(crate) name: String,
    /// Address of its metrics page.
    pub(crate) metrics: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MachineFile {
    timeout_ms: Option<u64>,
    #[serde(default)]
    machine: Vec<Machine>,
}

/// A checked machine list. `timeout` applies to each page.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct MachineList {
    pub(crate) timeout: Duration,
    pub(crate) machines: Vec<Machine>,
}

impl MachineList {
    /// Reads and checks the file at `path`.
    pub(crate) fn load(path: &Path) -> Result<MachineList, MachineListError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        MachineList::parse(path, &text)
    }

    fn parse(path: &Path, text: &str) -> Result<MachineList, MachineListError> {
        let file: MachineFile = toml::from_str(text)
            .map_err(Box::new)
            .context(MalformedSnafu { path })?;
        let timeout_ms = file.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        ensure!(
            (1..=MAX_TIMEOUT_MS).contains(&timeout_ms),
            InvalidTimeoutSnafu {
                path,
                found: timeout_ms
            }
        );
        ensure!(!file.machine.is_empty(), EmptySnafu { path });
        let found = file.machine.len();
        ensure!(found <= MAX_MACHINES, TooManySnafu { path, found });
        let mut names = BTreeSet::new();
        for (index, machine) in file.machine.iter().enumerate() {
            let number = index + 1;
            ensure!(!machine.name.is_empty(), NoNameSnafu { path, number });
            let name = &machine.name;
            ensure!(names.insert(name), DuplicateNameSnafu { path, name });
        }
        Ok(MachineList {
            timeout: Duration::from_millis(timeout_ms),
            machines: file.machine,
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/machines.rs"]
mod tests;
