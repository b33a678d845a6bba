//! Committed state of the core, as discovery sends it to the data plane.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use woadreach_discovery::{CommittedState, CommittedValue, ViewSummary};

use crate::member_driver::MemberDriver;

/// The committed state that this core machine's member knows.
pub struct PublishedState {
    driver: Arc<MemberDriver>,
}

impl PublishedState {
    /// Reads the state of the member that `driver` runs.
    pub fn new(driver: Arc<MemberDriver>) -> PublishedState {
        PublishedState { driver }
    }
}

impl CommittedState for PublishedState {
    fn view(&self) -> ViewSummary {
        let status = self.driver.status();
        let members = status.members.into_iter().map(SocketAddr::V4).collect();
        let voters = status.voters.into_iter().map(SocketAddr::V4).collect();
        ViewSummary {
            epoch: status.epoch,
            in_quorum: status.in_quorum,
            voters,
            members,
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
