//! Failures that end a role.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use woadreach_chain::RecordError;
use woadreach_journal::JournalError;
use woadreach_settings::SettingsError;

use crate::storage_role::StorageRoleError;

/// Why a role could not start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RoleError {
    /// The settings file is missing, malformed, or lacks a field.
    #[snafu(display("settings: {source}"))]
    Settings { source: SettingsError },
    /// A field that the role needs is not set.
    #[snafu(display("settings: `{field}` is missing; the role `{role}` needs {expected}"))]
    MissingField {
        field: &'static str,
        role: &'static str,
        expected: &'static str,
    },
    /// A field has a value that the role can't use.
    #[snafu(display("settings: `{field}` is {found}; expected {expected}"))]
    UnusableField {
        field: &'static str,
        found: String,
        expected: &'static str,
    },
    /// An address can't be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The journal can't be opened.
    #[snafu(display("journal in {}: {source}", path.display()))]
    Journal {
        path: std::path::PathBuf,
        source: JournalError,
    },
    /// The journal holds something that this program can't read.
    #[snafu(display("journal in {}: {source}", path.display()))]
    Unreadable {
        path: std::path::PathBuf,
        source: RecordError,
    },
    /// Signals can't be received.
    #[snafu(display("signals: {source}"))]
    Signal { source: io::Error },
    /// The storage role failed.
    #[snafu(display("storage: {source}"))]
    Storage { source: StorageRoleError },
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
