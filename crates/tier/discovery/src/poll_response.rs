//! Answers to long-polls: what a core machine knows that is newer than what a poll names. The counterpart of
//! [`Watcher`](crate::watcher::Watcher), which merges them.

use crate::committed::CommittedState;
use crate::messages::{
    CoreStatus, CoreView, PollRequest, PollResponse, RegistryResponse, VersionedBytes,
};
use crate::registry::Registry;

/// Most statuses of replicas in one answer.
pub const MAX_STATUSES: usize = 2000;

/// The answer to `request`, whether or not it contains updates. `warming` says that this machine may not know
/// all replicas.
pub fn respond(
    request: &PollRequest,
    registry: &Registry,
    committed: &dyn CommittedState,
    warming: bool,
) -> PollResponse {
    let view = committed.view();
    let storage_view = committed
        .storage_view()
        .filter(|stored| stored.version > request.storage_epoch);
    PollResponse {
        core_status: CoreStatus {
            in_quorum: view.in_quorum,
            warming,
        },
        configuration_generation: committed
            .configuration()
            .map_or(0, |configuration| configuration.version),
        // Machines that are heard of after a view was installed are sent with the next view only: until then its
        // members answer every poll, and a process that reaches none of them has the seeds and those that peer
        // sampling has found.
        view: (view.epoch > request.view_epoch).then(|| CoreView {
            epoch: view.epoch,
            core_machines: view
                .core_machines
                .iter()
                .map(|machine| (*machine).into())
                .collect(),
        }),
        storage_view: storage_view.map(VersionedBytes::from),
        registry: RegistryResponse::new(
            registry.changes_since(request.registry, MAX_STATUSES),
            warming,
        ),
    }
}

/// Whether `response` contains anything that `request` did not name.
pub fn has_updates(request: &PollRequest, response: &PollResponse) -> bool {
    response.view.is_some()
        || response.storage_view.is_some()
        || response.configuration_generation > request.configuration_generation
        || response.core_status != request.core_status
        || response.registry.reset
        || !response.registry.statuses.is_empty()
}
