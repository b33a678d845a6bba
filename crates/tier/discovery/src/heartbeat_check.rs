//! Validation of heartbeats before the [`Registry`](crate::Registry) applies them.

use snafu::Snafu;

use crate::replica::Heartbeat;

/// Maximum length of a replica's id in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// Maximum length in bytes of the name of a service, zone, software version, stage, model or adapter.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum number of models per replica, and of adapters per model.
pub const MAX_MODELS: usize = 64;

/// Why a heartbeat is rejected. A rejected heartbeat leaves the registry's entries unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeartbeatError {
    /// The id is empty or longer than [`MAX_ID_BYTES`].
    #[snafu(display("replica id has {length} bytes, expected 1 to {MAX_ID_BYTES}"))]
    InvalidId {
        /// Length of the id in bytes.
        length: usize,
    },
    /// A field is empty, too long or out of range.
    #[snafu(display("replica {id}: field {field} is empty, too long or out of range"))]
    InvalidField {
        /// Identifier of the replica's incarnation.
        id: String,
        /// Name of the field.
        field: &'static str,
    },
    /// A heartbeat with the same or a newer sequence number was accepted before.
    #[snafu(display(
        "replica {id}: stale sequence {sequence}, expected more than the last accepted {newest}"
    ))]
    Stale {
        /// Identifier of the replica's incarnation.
        id: String,
        /// Sequence number of this heartbeat.
        sequence: u64,
        /// Newest accepted sequence number of the replica.
        newest: u64,
    },
    /// The replica has deregistered. A restarted replica needs a new id.
    #[snafu(display("replica {id} has deregistered; a restarted replica needs a new id"))]
    Departed {
        /// Identifier of the replica's incarnation.
        id: String,
    },
}

/// Checks the length of a replica's id.
pub(crate) fn check_id(id: &str) -> Result<(), HeartbeatError> {
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return InvalidIdSnafu { length: id.len() }.fail();
    }
    Ok(())
}

/// Checks that the id and every field of the heartbeat are within their bounds.
///
/// # Errors
/// Names the first field that is out of bounds.
pub(crate) fn check_heartbeat(id: &str, heartbeat: &Heartbeat) -> Result<(), HeartbeatError> {
    check_id(id)?;
    check_name(id, "service", &heartbeat.service)?;
    check_name(id, "zone", &heartbeat.zone)?;
    if heartbeat.software_version.len() > MAX_NAME_BYTES {
        return InvalidFieldSnafu {
            id,
            // Name of `software_version` in the JSON of a heartbeat.
            field: "generation",
        }
        .fail();
    }
    if heartbeat
        .stage
        .as_ref()
        .is_some_and(|stage| stage.len() > MAX_NAME_BYTES)
    {
        return InvalidFieldSnafu { id, field: "stage" }.fail();
    }
    if heartbeat.sequence == u64::MAX {
        return InvalidFieldSnafu {
            id,
            field: "sequence",
        }
        .fail();
    }
    let models_fit = heartbeat.models.len() <= MAX_MODELS
        && heartbeat.models.iter().all(|model| {
            model.name.len() <= MAX_NAME_BYTES
                && model.adapters.len() <= MAX_MODELS
                && model
                    .adapters
                    .iter()
                    .all(|adapter| adapter.len() <= MAX_NAME_BYTES)
        });
    if !models_fit {
        return InvalidFieldSnafu {
            id,
            field: "models",
        }
        .fail();
    }
    Ok(())
}

fn check_name(id: &str, field: &'static str, name: &str) -> Result<(), HeartbeatError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return InvalidFieldSnafu { id, field }.fail();
    }
    Ok(())
}
