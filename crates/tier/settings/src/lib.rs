//! The settings file of a process: parsing and validation.
//!
//! Start with [`NodeSettings::load_from_environment`]. The platform writes one YAML file for each process and names
//! its path in [`SETTINGS_VARIABLE`]. Unknown fields are ignored; a missing or malformed field is an error that names
//! it.

#![warn(missing_docs)]

mod error;
mod file;
mod settings;

pub use error::SettingsError;
pub use settings::{Bounds, FaultTolerance, Listen, NodeSettings, PortRange, ProcessLimits};

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "WOADREACH_NODE_FILE";
