//! Failures that end a role.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;
use woadreach_chain::RecordError;
use woadreach_journal::JournalError;
use woadreach_settings::SettingsError;

use crate::storage_role::StorageRoleError;

/// Why a role could not start or continue.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RoleError {
    /// The settings file is missing, malformed, or lacks a field.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// What is wrong with the file.
        source: SettingsError,
    },
    /// A field that the role needs is not set.
    #[snafu(display("settings: `{field}` is missing; the role `{role}` needs {expected}"))]
    MissingField {
        /// Name of the field.
        field: &'static str,
        /// Role that needs it.
        role: &'static str,
        /// What the field should say.
        expected: &'static str,
    },
    /// A field has a value that the role can't use.
    #[snafu(display("settings: `{field}` is {found}; expected {expected}"))]
    UnusableField {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        found: String,
        /// What the field should say.
        expected: &'static str,
    },
    /// An address can't be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// The operating system's failure.
        source: io::Error,
    },
    /// The journal can't be opened.
    #[snafu(display("journal in {}: {source}", path.display()))]
    Journal {
        /// Folder of the journal.
        path: PathBuf,
        /// The journal's failure.
        source: JournalError,
    },
    /// The journal has a record or snapshot that this program can't decode.
    #[snafu(display("journal in {}: {source}", path.display()))]
    Unreadable {
        /// Folder of the journal.
        path: PathBuf,
        /// What can't be decoded.
        source: RecordError,
    },
    /// Signals can't be received.
    #[snafu(display("signals: {source}"))]
    Signal {
        /// The operating system's failure.
        source: io::Error,
    },
    /// The asynchronous runtime can't be started.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// The operating system's failure.
        source: io::Error,
    },
    /// The storage role failed.
    #[snafu(display("storage: {source}"))]
    Storage {
        /// The storage role's failure.
        source: StorageRoleError,
    },
}

impl RoleError {
    /// Exit code of the process: 2 for settings, 1 for everything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            RoleError::Settings { .. }
            | RoleError::MissingField { .. }
            | RoleError::UnusableField { .. } => 2,
            RoleError::Storage {
                source: StorageRoleError::NoDataDir { .. },
            } => 2,
            _ => 1,
        }
    }
}
