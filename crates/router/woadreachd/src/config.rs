//! The configuration, read and checked as a whole: at the start, and at each SIGHUP (see `config/reload.rs`).

mod error;
mod fields;
mod peers;
mod reload;

pub use error::ConfigError;
pub(crate) use reload::reload;

use crate::core::CoreConfig;
use crate::discovery::{parse_list, schedule};
use crate::events::EndpointList;
use crate::front::RequestNames;
use crate::peers::PeerConfig;
use crate::replicas::ConnectionConfig;
use error::{
    InvalidKnownListSnafu, InvalidListenAddressSnafu, InvalidSeedSnafu, LimitNotANumberSnafu,
    MissingAddressSnafu, NotJsonSnafu, SettingsSnafu,
};
use fields::{Fields, required, rows, texts, texts_of};
use serde_json::Value;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use woadreach_routing::api::Settings;
use woadreach_search_driver::comparison::{ProposedLimits, parse_proposed_limits};

/// Grace of a drain in seconds where the settings state none.
const DEFAULT_DRAIN_GRACE: f64 = 0.5;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Requests may take a part of the memory: each is in memory as it was received, and once more as it is worked
/// on.
const REQUEST_MEMORY_RATIO: f64 = 1.0 / 4.0;
/// Keys that are of use once only.
const KEYS_READ_ONCE: [&str; 3] = ["known", "seed", "discovery"];

/// What the configuration says.
pub struct Config {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: String,
    /// Seconds between calls of discovery while none is answered.
    pub discovery_interval_s: f64,
    /// Most descriptors.
    pub sockets: usize,
    /// The replicas that are known at the start.
    pub known: Option<EndpointList>,
    /// Parameters of the routing decisions.
    pub settings: Settings,
    /// The names that requests speak of.
    pub names: RequestNames,
    /// Parameters of the core task.
    pub core: CoreConfig,
    /// Parameters of connections to replicas.
    pub replicas: ConnectionConfig,
    /// Settings of another deployment to compare decisions with (`settings.watch`).
    pub watch: Option<ProposedLimits>,
    /// The other co-ordinators; `None` where they are not allowed or not configured.
    pub peers: Option<PeerConfig>,
    /// The file as it was read, without the keys that are of use once only.
    pub file: Value,
}

/// Where both the environment and the file state an address, which one counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddressPrecedence {
    /// At the start.
    Environment,
    /// At a SIGHUP: the environment of a process never changes.
    File,
}

/// The text of the file, and the addresses in the environment.
#[derive(Clone, Debug)]
pub struct ConfigSource {
    /// The file, to be named in errors.
    pub path: String,
    /// The file's text.
    pub text: String,
    /// Address for clients, if the environment states one.
    pub listen: Option<String>,
    /// Address of discovery, if the environment states one.
    pub discovery: Option<String>,
}

/// Reads a configuration.
///
/// # Errors
///
/// [`ConfigError`] where anything in it cannot be used: then none of it is.
pub fn read(precedence: AddressPrecedence, source: &ConfigSource) -> Result<Config, ConfigError> {
    let path = &source.path;
    let mut file: Value = serde_json::from_str(&source.text).context(NotJsonSnafu { path })?;
    let mut config = read_fields(precedence, source, &file)?;
    if let Some(keys) = file.as_object_mut() {
        for key in KEYS_READ_ONCE {
            keys.remove(key);
        }
    }
    config.file = file;
    Ok(config)
}

fn read_fields(
    precedence: AddressPrecedence,
    source: &ConfigSource,
    file: &Value,
) -> Result<Config, ConfigError> {
    let fields = Fields::new(file)?;
    let seed = read_seed(file)?;
    let address = |key, variable, environment: &Option<String>| {
        let stated = file.get(key).and_then(Value::as_str).map(String::from);
        let environment = environment.clone();
        match precedence {
            AddressPrecedence::File => stated.or(environment),
            AddressPrecedence::Environment => environment.or(stated),
        }
        .context(MissingAddressSnafu { key, variable })
    };
    let listen = address("listen", "PROXY_LISTEN", &source.listen)?;
    let known = read_known(file)?;
    Ok(Config {
        listen: listen
            .parse()
            .ok()
            .context(InvalidListenAddressSnafu { address: listen })?,
        discovery: address("discovery", "PROXY_DISCOVERY", &source.discovery)?,
        discovery_interval_s: schedule::call_interval(
            fields
                .seconds("/guarantees/drainGraceMs")
                .unwrap_or(DEFAULT_DRAIN_GRACE),
        ),
        sockets: limit(file, "sockets")? as usize,
        known,
        settings: woadreach_search_driver::parse_settings(seed, fields.settings)
            .context(SettingsSnafu)?,
        names: read_names(fields)?,
        core: read_core(fields)?,
        replicas: read_connections(fields)?,
        watch: parse_proposed_limits(fields.settings).context(SettingsSnafu)?,
        peers: peers::read_peers(fields, seed)?,
        file: Value::Null,
    })
}

fn read_seed(file: &Value) -> Result<u64, ConfigError> {
    let seed = required(file, "/seed")?;
    seed.as_u64()
        .or_else(|| u64::from_str_radix(seed.as_str()?, 16).ok())
        .context(InvalidSeedSnafu)
}

fn read_known(file: &Value) -> Result<Option<EndpointList>, ConfigError> {
    match file.get("known") {
        None | Some(Value::Null) => Ok(None),
        Some(known) => parse_list(known.to_string().as_bytes())
            .context(InvalidKnownListSnafu)
            .map(Some),
    }
}

fn limit(file: &Value, key: &'static str) -> Result<f64, ConfigError> {
    required(file, &format!("/limits/{key}"))?
        .as_f64()
        .context(LimitNotANumberSnafu { key })
}

fn read_names(fields: Fields<'_>) -> Result<RequestNames, ConfigError> {
    Ok(RequestNames {
        query_types: texts_of(fields.settings, "/requestClasses", "name"),
        tenants: texts_of(fields.settings, "/tenants", "name"),
        shards: fields.required_number("/domain/slices")? as u64,
        marks_retries: fields.flag("/clients/marksRetry"),
    })
}

fn read_core(fields: Fields<'_>) -> Result<CoreConfig, ConfigError> {
    let max_in_flight = fields.number("/limits/maxOpen");
    let memory = limit(fields.file, "memory_mb")? * BYTES_PER_MB;
    Ok(CoreConfig {
        max_in_flight: max_in_flight.map_or(usize::MAX, |n| n as usize),
        max_request_bytes: (memory * REQUEST_MEMORY_RATIO) as usize,
        max_client_timeout_s: fields.max_seconds("/requestClasses", "giveUpMs"),
        max_latency_target_s: fields.max_seconds("/requestClasses", "aimMs"),
        zones: texts(fields.settings, "/localities"),
        second_step_parts: rows(fields.settings, "/domain/classFetch")
            .map(|n| n.as_u64().unwrap_or(0) as usize)
            .collect(),
    })
}

fn read_connections(fields: Fields<'_>) -> Result<ConnectionConfig, ConfigError> {
    let parts_per_call = fields.number("/domain/perCall");
    Ok(ConnectionConfig {
        max_attempts_in_flight: fields.required_number("/limits/streamsPerConn")? as usize,
        max_parts_per_call: parts_per_call.map_or(1, |n| (n as usize).max(1)),
        idle_timeout_s: fields.required_seconds("/limits/idleCloseMs")?,
        connect_timeout_s: fields.required_seconds("/limits/connectTimeoutMs")?,
        cancellation_allowed: fields.flag("/limits/cancelling"),
    })
}
