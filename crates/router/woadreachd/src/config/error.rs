//! Why a configuration cannot be used.

use snafu::Snafu;
use std::io;
use woadreach_search_driver::SettingsError;

/// Why a configuration cannot be used; the texts name the key.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// An environment variable is not set.
    #[snafu(display("{variable} is not set"))]
    VariableNotSet {
        /// Its name.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[snafu(display("{path}: {source}"))]
    UnreadableFile {
        /// The file.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is not JSON.
    #[snafu(display("{path}: {source}"))]
    NotJson {
        /// The file.
        path: String,
        /// Where it is not JSON.
        source: serde_json::Error,
    },
    /// The file lacks a key.
    #[snafu(display("configuration lacks {pointer}"))]
    MissingKey {
        /// The key as a JSON pointer.
        pointer: String,
    },
    /// An address is neither in the file nor in the environment.
    #[snafu(display("configuration lacks {key}, and {variable} is not set"))]
    MissingAddress {
        /// The file's key.
        key: &'static str,
        /// The environment variable.
        variable: &'static str,
    },
    /// The settings lack a key.
    #[snafu(display("settings lack {pointer}"))]
    MissingSetting {
        /// The key as a JSON pointer.
        pointer: &'static str,
    },
    /// The seed is not one.
    #[snafu(display("configuration: seed is neither a number nor hex digits"))]
    InvalidSeed,
    /// The list of known replicas cannot be read.
    #[snafu(display("configuration: known: {source}"))]
    InvalidKnownList {
        /// What is wrong with it.
        source: crate::json::ParseError,
    },
    /// A limit is not a number.
    #[snafu(display("limit {key} is no number"))]
    LimitNotANumber {
        /// The limit.
        key: &'static str,
    },
    /// The address for clients is not one.
    #[snafu(display("listen is not an address: {address}"))]
    InvalidListenAddress {
        /// What is stated in its place.
        address: String,
    },
    /// The settings cannot be used.
    #[snafu(display("{source}"))]
    Settings {
        /// Which setting, and why.
        source: SettingsError,
    },
    /// A zone is not one of the settings'.
    #[snafu(display("configuration: {key}: no such zone: {zone}; there are {}", zones.join(", ")))]
    UnknownZone {
        /// The key that names it.
        key: &'static str,
        /// The name.
        zone: String,
        /// The zones that the settings name.
        zones: Vec<String>,
    },
    /// A region's name is not a string.
    #[snafu(display("configuration: failover.regions: a region is no text"))]
    RegionNotText,
    /// The address of a co-ordinator is not one.
    #[snafu(display("configuration: {key}: not an address: {address}"))]
    InvalidPeerAddress {
        /// The key that states it.
        key: &'static str,
        /// What is stated in its place.
        address: String,
    },
}
