//! The file that names the machines of a tier.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// Time for one page, unless the file says otherwise.
const DEFAULT_TIMEOUT_MS: u64 = 1000;
/// Longest time for one page that the file may say.
const MAX_TIMEOUT_MS: u64 = 60_000;
/// Upper bound of the machines in a file.
const MAX_MACHINES: usize = 20_000;

/// Why a file cannot be used.
#[derive(Debug, Snafu)]
pub(crate) enum MachineListError {
    /// The file is missing or cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is no TOML, lacks a field, or has an unknown one; the source names the line.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        path: PathBuf,
        source: Box<toml::de::Error>,
    },
    /// The file names no machine.
    #[snafu(display("{}: no [[machine]]", path.display()))]
    Empty { path: PathBuf },
    /// The file names more machines than this program reads.
    #[snafu(display("{}: {found} machines; at most {MAX_MACHINES}", path.display()))]
    TooMany { path: PathBuf, found: usize },
    /// Two machines have the same name.
    #[snafu(display("{}: two machines are named `{name}`", path.display()))]
    DuplicateName { path: PathBuf, name: String },
    /// A machine has an empty name.
    #[snafu(display("{}: machine {number} has an empty name", path.display()))]
    NoName { path: PathBuf, number: usize },
    /// The time-out is 0 or too long.
    #[snafu(display("{}: timeout_ms is {found}; expected 1 to {MAX_TIMEOUT_MS}", path.display()))]
    InvalidTimeout { path: PathBuf, found: u64 },
}

/// A machine of the tier.
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

/// The machines to read, and how long to wait for each.
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
