//! Default call from which tests derive their calls. Integration and unit tests include this file.

use std::sync::Arc;

use super::{Call, CallId, CallKind};

/// An idempotent call without a program or service, which arrives at `now`.
pub(crate) fn base_call(now: f64, id: u64) -> Call {
    Call {
        id: CallId(id),
        route: Arc::from("route"),
        kind: CallKind::Idempotent,
        services: Vec::new(),
        arrived_at: now,
        deadline: now + 5.0,
        target_latency: 0.25,
        program_deadline: None,
        program: None,
        session: None,
        affinity: None,
        prefix: Vec::new(),
        prompt_tokens: 0,
        max_output_tokens: 0,
        priority: 1,
        max_replicas: 1,
    }
}
