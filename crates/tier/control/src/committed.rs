//! Gives discovery access to the committed state of the core, which discovery sends to the data plane. This is
//! the last step of a configuration change in this process.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use woadreach_discovery::{CommittedState, CommittedValue, ViewSummary};

use crate::member_driver::MemberDriver;

/// Source of committed state for discovery: reads what the member of this machine has published.
pub struct MemberCommittedState {
    driver: Arc<MemberDriver>,
}

impl MemberCommittedState {
    /// Creates the source that reads from the member run by `driver`.
    pub fn new(driver: Arc<MemberDriver>) -> MemberCommittedState {
        MemberCommittedState { driver }
    }
}

impl CommittedState for MemberCommittedState {
    fn view(&self) -> ViewSummary {
        let status = self.driver.status();
        let core_machines = status
            .core_machines
            .into_iter()
            .map(SocketAddr::V4)
            .collect();
        let voters = status.voters.into_iter().map(SocketAddr::V4).collect();
        ViewSummary {
            epoch: status.epoch,
            in_quorum: status.in_quorum,
            voters,
            core_machines,
        }
    }

    fn configuration(&self) -> Option<CommittedValue> {
        let state = self.driver.published();
        let stored = state.configuration.as_ref()?;
        Some(CommittedValue {
            version: stored.generation,
            bytes: stored.body.0.clone(),
        })
    }

    fn storage_view(&self) -> Option<CommittedValue> {
        let state = self.driver.published();
        let stored = state.storage_view.as_ref()?;
        Some(CommittedValue {
            version: stored.epoch,
            bytes: stored.bytes.0.clone(),
        })
    }

    fn changed(&self) -> watch::Receiver<u64> {
        self.driver.changes()
    }
}
