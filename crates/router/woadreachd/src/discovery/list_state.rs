//! The list that is in force: its version, and what would bring it up to date.

use super::error::{
    CoreEndedSnafu, DiscoveryError, InvalidListSnafu, OlderChangeSnafu, OlderListSnafu,
};
use super::parse::parse_list;
use super::schedule::Need;
use super::version::{ListDecision, ListVersion};
use crate::events::{EndpointList, EndpointLists, Lifecycle};
use snafu::ResultExt;
use tracing::{debug, info};
use woadreach_routing::mutations::is_mutated;

/// The version of the list in force, and where new lists go.
pub(super) struct ListState {
    version: ListVersion,
    pub(super) need: Need,
    lists: EndpointLists,
}

impl ListState {
    /// `generation`: of the list that the core has from the start, if any.
    pub(super) fn new(generation: Option<u64>, lists: EndpointLists) -> Self {
        ListState {
            version: ListVersion::new(generation),
            need: Need::Resume,
            lists,
        }
    }

    pub(super) fn generation(&self) -> Option<u64> {
        self.version.generation()
    }

    /// A watch has sent something complete: nothing before it was missed.
    pub(super) fn watch_is_alive(&mut self) {
        self.need = Need::Changes;
    }

    /// Parses a list, and sends it to the core if its version is accepted. `full`: it is complete, whatever it
    /// says of itself.
    pub(super) fn apply(&mut self, text: &[u8], full: bool) -> Result<(), DiscoveryError> {
        // What is not JSON has lost something: only a complete list makes up for it.
        self.need = Need::FullList;
        let mut list = match parse_list(text).context(InvalidListSnafu) {
            Ok(list) => list,
            Err(error) => {
                self.version.doubt();
                return Err(error);
            }
        };
        list.full |= full;
        self.check_version(&list)?;
        if is_mutated("discovery-no-drains") && !list.full {
            list.entries.retain(|e| e.lifecycle != Lifecycle::Draining);
        }
        self.need = Need::Changes;
        debug!(
            generation = list.generation,
            full = list.full,
            entries = list.entries.len(),
            "endpoint list received"
        );
        let sent = self.lists.send(list);
        sent.or_else(|_| CoreEndedSnafu.fail())
    }

    fn check_version(&mut self, list: &EndpointList) -> Result<(), DiscoveryError> {
        let generation = list.generation;
        let current = self.version.generation().unwrap_or_default();
        match self.version.check(list) {
            ListDecision::Accept => Ok(()),
            ListDecision::AcceptOtherEntries => {
                info!(generation, "endpoint list of the same version differed");
                Ok(())
            }
            ListDecision::AcceptOlder => {
                info!(generation, current, "older endpoint list accepted");
                Ok(())
            }
            ListDecision::IgnoreOlder => OlderListSnafu {
                generation,
                current,
            }
            .fail(),
            ListDecision::Lost => OlderChangeSnafu { generation }.fail(),
        }
    }
}
