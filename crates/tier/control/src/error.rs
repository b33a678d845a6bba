//! Errors that terminate a role.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;
use woadreach_chain::RecordError;
use woadreach_discovery::departure_record::DepartureRecordError;
use woadreach_journal::JournalError;
use woadreach_settings::SettingsError;

use crate::storage_role::StorageRoleError;

/// Reason why a role failed to start or to continue.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RoleError {
    /// The settings file is missing, malformed, or lacks a field.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// Error from loading the settings.
        source: SettingsError,
    },
    /// A settings field required by the role is missing.
    #[snafu(display("settings: `{field}` is missing; the role `{role}` needs {expected}"))]
    MissingField {
        /// Name of the settings field.
        field: &'static str,
        /// Role that requires the field.
        role: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A settings field has a value that the role does not support.
    #[snafu(display("settings: `{field}` is {found}; expected {expected}"))]
    UnusableField {
        /// Name of the settings field.
        field: &'static str,
        /// Value of the field.
        found: String,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// Binding a listening socket failed.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// Opening, discarding or initializing the journal failed.
    #[snafu(display("journal in {}: {source}", path.display()))]
    Journal {
        /// Folder of the journal.
        path: PathBuf,
        /// Error from the journal.
        source: JournalError,
    },
    /// The journal contains a record or snapshot that cannot be decoded.
    #[snafu(display("journal in {}: {source}", path.display()))]
    Unreadable {
        /// Folder of the journal.
        path: PathBuf,
        /// Error from decoding the record or snapshot.
        source: RecordError,
    },
    /// The journal of departures contains a record or snapshot that cannot be decoded.
    #[snafu(display("journal of departures in {}: {source}", path.display()))]
    UnreadableDepartures {
        /// Folder of the journal.
        path: PathBuf,
        /// Error from decoding the record or snapshot.
        source: DepartureRecordError,
    },
    /// Installing a signal handler failed.
    #[snafu(display("cannot install a signal handler: {source}"))]
    Signal {
        /// Error from the operating system.
        source: io::Error,
    },
    /// Starting the asynchronous runtime failed.
    #[snafu(display("cannot start the asynchronous runtime: {source}"))]
    Runtime {
        /// Error from the operating system.
        source: io::Error,
    },
    /// The storage role failed.
    #[snafu(display("storage: {source}"))]
    Storage {
        /// Error from the storage role.
        source: StorageRoleError,
    },
}

impl RoleError {
    /// Exit code of the process: 2 for invalid settings, 1 for all other errors.
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
