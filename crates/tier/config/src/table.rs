//! Routes by host and path prefix.

use crate::model::{Configuration, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Finds the route of a request, in time that grows with the segments of its path, not with the number of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// A table of the configuration's routes.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in &configuration.routes {
            let host = hosts.entry(route.domain.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        RouteTable { hosts }
    }

    /// The route of this host with the longest prefix of the path. A port in `host` and a query in `path` are ignored,
    /// and so is the case of `host`.
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
