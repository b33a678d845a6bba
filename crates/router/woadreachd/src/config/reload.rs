//! Reading the configuration again at SIGHUP.

use super::{AddressPrecedence, ConfigError, ConfigSource, read};
use serde_json::Value;
use std::collections::BTreeSet;
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// Runs for as long as the process: at each SIGHUP the file is read again. The address of discovery takes
/// effect at once; what else differs from `current` is named in the log.
///
/// A file that cannot be used is reported in the log and changes nothing, so that one which is missing or half
/// written does not take a sound process out of service.
pub(crate) async fn reload(
    mut sighup: mpsc::UnboundedReceiver<()>,
    read_source: impl Fn() -> Result<ConfigSource, ConfigError>,
    mut current: Value,
    discovery: watch::Sender<String>,
) {
    while sighup.recv().await.is_some() {
        let next = read_source().and_then(|source| read(AddressPrecedence::File, &source));
        let next = match next {
            Ok(next) => next,
            Err(error) => {
                warn!(%error, "configuration not reloaded, nothing changed");
                continue;
            }
        };
        let differing = differing_keys(&current, &next.file);
        if !differing.is_empty() {
            let keys = differing.join(", ");
            warn!(%keys, "configuration changes deferred to the next start");
        }
        info!(discovery = next.discovery, "configuration reloaded");
        current = next.file;
        discovery.send_if_modified(|address| {
            std::mem::replace(address, next.discovery.clone()) != next.discovery
        });
    }
}

/// The keys whose values differ, in order.
fn differing_keys(current: &Value, next: &Value) -> Vec<String> {
    let keys = |value: &Value| -> Vec<String> {
        let object = value.as_object().into_iter();
        object.flat_map(|o| o.keys().cloned()).collect()
    };
    let all: BTreeSet<String> = keys(current).into_iter().chain(keys(next)).collect();
    all.into_iter()
        .filter(|key| current.get(key) != next.get(key))
        .collect()
}
