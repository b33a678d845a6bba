//! Default settings for the tests of the decisions.

use woadreach_routing::api::{QueryType, Repeat, Settings};

pub(crate) fn query_type() -> QueryType {
    QueryType {
        latency_target: 1.0,
        client_timeout: 3.0,
        value: 1.0,
        late_value: 0.0,
        repeat: Repeat::Idempotent,
        complete_weight: 1.0,
        minimum_weight: 1.0,
        second_step: 0,
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        seed: 7,
        coordinator_index: None,
        coordinators: 2,
        tick: 0.005,
        query_types: vec![query_type()],
        tenants: vec![1.0],
        over_share_value: 0.1,
        cells: 1,
        span: 1,
        parts_per_call: 1,
        max_attempts: 4,
        max_send_delay: 0.0,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: Some(0.5),
        slow_start: None,
        retry_budget: None,
    }
}
