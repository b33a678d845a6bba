//! The recorded configuration, functions that modify it, and the values to which it is parsed.

use std::time::Duration;

use woadreach_config::{
    ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedCluster,
};

pub(super) const RECORDED: &str = include_str!("../recorded/configuration.json");

pub(super) fn parse(text: &str) -> Configuration {
    Configuration::parse(text.as_bytes()).expect("a valid configuration")
}

pub(super) fn error_of(text: &str) -> String {
    Configuration::parse(text.as_bytes())
        .expect_err("an invalid configuration")
        .to_string()
}

/// Returns the recorded configuration with the first occurrence of `from` replaced by `to`.
pub(super) fn changed(from: &str, to: &str) -> String {
    assert!(
        RECORDED.contains(from),
        "the recorded configuration contains {from}"
    );
    RECORDED.replacen(from, to, 1)
}

/// Returns the recorded configuration without the first `key`, which is renamed to an unknown key.
pub(super) fn without(key: &str) -> String {
    changed(&format!("\"{key}\":"), "\"renamed\":")
}

/// Returns the recorded configuration with the value of the first `key` replaced by `value`. The parser treats `null`
/// as a missing key.
pub(super) fn with_value(key: &str, value: &str) -> String {
    changed(
        &format!("\"{key}\":"),
        &format!("\"{key}\": {value}, \"renamed\":"),
    )
}

pub(super) fn cluster(service: &str, weight: u32) -> WeightedCluster {
    WeightedCluster {
        service: service.into(),
        weight,
    }
}

pub(super) fn chat() -> Route {
    Route {
        name: "chat".into(),
        domain: "Shop.example".into(),
        path_prefix: "/chat/".into(),
        route_type: RouteType::Streaming,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_micros(250_500),
        priority: 3,
        clusters: vec![cluster("model", 1)],
        max_replicas: 2,
        stores_turns: true,
        retention: Duration::from_millis(90_500),
        session_affinity: true,
        resumable: true,
        event_gap_target: Some(Duration::from_millis(400)),
    }
}

/// Route that has only the required keys.
pub(super) fn plain() -> Route {
    Route {
        name: "plain".into(),
        domain: "shop.example".into(),
        path_prefix: "/".into(),
        route_type: RouteType::Safe,
        timeout: Duration::from_millis(200),
        target_latency: Duration::from_millis(200),
        priority: 0,
        clusters: vec![cluster("plain", 1)],
        max_replicas: 1,
        stores_turns: false,
        retention: Duration::from_secs(60),
        session_affinity: false,
        resumable: false,
        event_gap_target: None,
    }
}

pub(super) fn split() -> Route {
    Route {
        name: "split".into(),
        path_prefix: "/chat/new/".into(),
        route_type: RouteType::Unsafe,
        timeout: Duration::from_millis(300),
        target_latency: Duration::from_millis(300),
        clusters: vec![cluster("model", 90), cluster("plain", 10)],
        ..plain()
    }
}

pub(super) fn services() -> Vec<Service> {
    let models = vec!["m".to_owned(), "n".to_owned()];
    let engine = Engine {
        capacity: 32,
        kv_tokens: 233_991,
        stride: 3,
        models,
    };
    let model = Service {
        name: "model".into(),
        health_check: "/ready".into(),
        max_conns: 230,
        engine: Some(engine),
    };
    let plain = Service {
        name: "plain".into(),
        health_check: "/healthz".into(),
        max_conns: u32::MAX,
        engine: None,
    };
    vec![model, plain]
}

pub(super) fn limits() -> ClientLimits {
    ClientLimits {
        max_header_bytes: 1000,
        max_body_bytes: 2000,
        header_timeout: Duration::from_millis(3500),
        idle_timeout: Duration::from_millis(4500),
    }
}
