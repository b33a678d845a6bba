//! Lookup of routes by host and path prefix.

use crate::model::{Configuration, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Finds the route of a request. A lookup takes one map access for each slash in the request's path, so that its time
/// depends on the path rather than on the number of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes by host name in lower case, then by path prefix.
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Creates the table of the configuration's routes.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in &configuration.routes {
            let host = hosts.entry(route.domain.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        RouteTable { hosts }
    }

    /// Returns the route of `host` with the longest prefix of `path`. The port and the case of `host` are ignored, as
    /// are the query and the fragment of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = match self.hosts.get(name) {
            Some(found) => found,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let slashes = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|(_, byte)| *byte == b'/');
        let mut candidates = slashes.map(|(index, _)| &path[..=index]);
        candidates.find_map(|prefix| prefixes.get(prefix))
    }
}
