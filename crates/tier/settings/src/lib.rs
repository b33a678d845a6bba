//! The settings file of a process: parsing and validation.
//!
//! Start with [`NodeSettings::load_from_environment`]. The platform writes one YAML file for each process and
//! passes its path in the environment variable [`SETTINGS_VARIABLE`]. Unknown fields are ignored. For a missing or
//! malformed field the error contains the name of the field.

#![warn(missing_docs)]

mod error;
mod file;
mod settings;

pub use error::SettingsError;
pub use settings::{Bounds, FaultTolerance, Listen, NodeSettings, PortRange, ProcessLimits};

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "WOADREACH_NODE_FILE";
