//! Creates the answers to long-polls: the state of a core machine that is newer than the versions in the poll. A
//! [`Watcher`](crate::watcher::Watcher) merges the answers.

use crate::committed::CommittedState;
use crate::messages::{
    CoreStatus, CoreView, PollRequest, PollResponse, RegistryResponse, VersionedBytes,
};
use crate::registry::Registry;

/// Maximum number of replica statuses in one answer.
pub const MAX_STATUSES: usize = 2000;

/// Creates the answer to `request`, which may contain no updates. `warming` is set if this machine may not know all
/// replicas.
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
        // A core machine that becomes known after the view was installed is sent only with the next view. Until then,
        // the members of the view answer all polls. A process that reaches no member still has the addresses of the
        // seeds and those found by peer sampling.
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

/// Whether `response` contains any state that is newer than the versions in `request`.
pub fn has_updates(request: &PollRequest, response: &PollResponse) -> bool {
    response.view.is_some()
        || response.storage_view.is_some()
        || response.configuration_generation > request.configuration_generation
        || response.core_status != request.core_status
        || response.registry.reset
        || !response.registry.statuses.is_empty()
}
