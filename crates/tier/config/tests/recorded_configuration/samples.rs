//! The recorded configuration, changes of it, and the values that it is parsed to.

use std::time::Duration;

use woadreach_config::{
    ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedCluster,
};

pub(super) const RECORDED: &str = include_str!("../recorded/configuration.json");

pub(super) fn read(text: &str) -> Configuration {
    Configuration::parse(text.as_bytes()).expect("a valid configuration")
}

pub(super) fn error_of(text: &str) -> String {
    Configuration::parse(text.as_bytes())
        .expect_err("an invalid configuration")
        .to_string()
}

/// The recorded configuration with the first `from` replaced by `to`.
pub(super) fn changed(from: &str, to: &str) -> String {
    assert!(
        RECORDED.contains(from),
        "the recorded configuration contains {from}"
    );
    RECORDED.replacen(from, to, 1)
}

/// The recorded configuration with the first `key` renamed, so that it is missing.
pub(super) fn without(key: &str) -> String {
    changed(&format!("\"{key}\":"), "\"renamed\":")
}

/// The recorded configuration, in which the first `key` has another value. `null` is the same as a missing key.
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
        kept: true,
        retention: Duration::from_millis(90_500),
        session_affinity: true,
        resumable: true,
        gap_target: Some(Duration::from_millis(400)),
    }
}

/// A route with the required keys alone.
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
        kept: false,
        retention: Duration::from_secs(60),
        session_affinity: false,
        resumable: false,
        gap_target: None,
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
