//! Answers to long-polls: what a core machine knows that is newer than a poll names.

use crate::committed::CommittedState;
use crate::messages::{
    CoreView, PollRequest, PollResponse, RegistryResponse, Standing, VersionedBytes,
};
use crate::registry::Registry;

/// Most accounts of replicas in one answer.
pub const MAX_STATUSES: usize = 2000;

/// The answer to `request`, whether or not it has news.
pub fn respond(
    request: &PollRequest,
    registry: &Registry,
    committed: &dyn CommittedState,
    warming: bool,
) -> PollResponse {
    let view = committed.view();
    let storage_view = committed
        .storage_view()
        .filter(|(epoch, _)| *epoch > request.storage_epoch);
    PollResponse {
        standing: Standing {
            in_quorum: view.in_quorum,
            warming,
        },
        configuration_generation: committed
            .configuration()
            .map_or(0, |(generation, _)| generation),
        view: (view.epoch > request.view_epoch).then(|| CoreView {
            epoch: view.epoch,
            members: view.members.iter().map(|member| (*member).into()).collect(),
        }),
        storage_view: storage_view.map(|(epoch, bytes)| VersionedBytes {
            version: epoch,
            bytes: bytes.to_vec(),
        }),
        registry: RegistryResponse::new(
            registry.changes_since(request.registry, MAX_STATUSES),
            warming,
        ),
    }
}

/// Whether `response` tells something that `request` did not name.
pub fn has_updates(request: &PollRequest, response: &PollResponse) -> bool {
    response.view.is_some()
        || response.storage_view.is_some()
        || response.configuration_generation > request.configuration_generation
        || response.standing != request.standing
        || response.registry.restart
        || !response.registry.statuses.is_empty()
}
