//! A configuration with every key as it was recorded, and what is said where a key is missing, unknown or
//! ill-typed.

use std::time::Duration;

use woadreach_config::{
    ClientLimits, Configuration, Engine, Route, RouteType, Service, WeightedCluster,
};

const RECORDED: &str = include_str!("recorded/configuration.json");

fn read(text: &str) -> Configuration {
    Configuration::parse(text.as_bytes()).expect("a configuration that is taken")
}

fn error_of(text: &str) -> String {
    Configuration::parse(text.as_bytes())
        .expect_err("a configuration that is refused")
        .to_string()
}

/// The recorded configuration with the first `from` replaced by `to`.
fn changed(from: &str, to: &str) -> String {
    assert!(
        RECORDED.contains(from),
        "{from} stands in the recorded configuration"
    );
    RECORDED.replacen(from, to, 1)
}

/// The recorded configuration with another name in the place of the first `key`.
fn without(key: &str) -> String {
    changed(&format!("\"{key}\":"), "\"renamed\":")
}

/// The recorded configuration, in which the first `key` has another value; `null` is as good as absent.
fn with_value(key: &str, value: &str) -> String {
    changed(
        &format!("\"{key}\":"),
        &format!("\"{key}\": {value}, \"renamed\":"),
    )
}

fn cluster(service: &str, weight: u32) -> WeightedCluster {
    WeightedCluster {
        service: service.into(),
        weight,
    }
}

fn chat() -> Route {
    Route {
        name: "chat".into(),
        domain: "Shop.example".into(),
        path_prefix: "/chat/".into(),
        route_type: RouteType::Streaming,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_micros(250_500),
        priority: 3,
        clusters: vec![cluster("model", 1)],
        max_retries: 2,
        kept: true,
        retention: Duration::from_millis(90_500),
        session_affinity: true,
        resumable: true,
        gap_target: Some(Duration::from_millis(400)),
    }
}

/// A route with the keys that each must have alone.
fn plain() -> Route {
    Route {
        name: "plain".into(),
        domain: "shop.example".into(),
        path_prefix: "/".into(),
        route_type: RouteType::Safe,
        timeout: Duration::from_millis(200),
        target_latency: Duration::from_millis(200),
        priority: 0,
        clusters: vec![cluster("plain", 1)],
        max_retries: 1,
        kept: false,
        retention: Duration::from_secs(60),
        session_affinity: false,
        resumable: false,
        gap_target: None,
    }
}

fn split() -> Route {
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

fn services() -> Vec<Service> {
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

fn limits() -> ClientLimits {
    ClientLimits {
        max_header_bytes: 1000,
        max_body_bytes: 2000,
        header_timeout: Duration::from_millis(3500),
        idle_timeout: Duration::from_millis(4500),
    }
}

#[test]
fn every_key_is_read_as_recorded() {
    let routes = vec![chat(), split(), plain()];
    let expected = Configuration {
        generation: 7,
        routes,
        services: services(),
        limits: limits(),
    };
    assert_eq!(read(RECORDED), expected);
}

#[test]
fn a_missing_key_that_is_needed_is_named() {
    let cases = [
        (
            "generation",
            "the configuration: field `generation` is not a whole number",
        ),
        (
            "routes",
            "the configuration: field `routes` is not an array",
        ),
        (
            "services",
            "the configuration: field `services` is not an array",
        ),
        ("name", "routes[0]: field `name` is not a text"),
        ("domain", "routes[0]: field `domain` is not a text"),
        (
            "path_prefix",
            "routes[0]: field `path_prefix` is not a text",
        ),
        ("route_type", "routes[0]: field `route_type` is not a text"),
        (
            "timeout_ms",
            "routes[0]: field `timeout_ms` is not a time in ms",
        ),
        ("service", "routes[0]: field `service` is not a text"),
        (
            "weighted_clusters",
            "routes[1]: field `service` is not a text",
        ),
        (
            "weight",
            "routes[1].weighted_clusters[0]: field `weight` is not a whole number below 2^32",
        ),
        (
            "capacity",
            "engine: field `capacity` is not a whole number below 2^32",
        ),
    ];
    for (key, expected) in cases {
        assert_eq!(error_of(&without(key)), expected, "without {key}");
        assert_eq!(
            error_of(&with_value(key, "null")),
            expected,
            "{key} of null"
        );
    }
    let unnamed = changed("{\"name\": \"plain\"}", "{}");
    assert_eq!(
        error_of(&unnamed),
        "services[1]: field `name` is not a text"
    );
    let unnamed = changed("[{\"name\": \"m\"}", "[{}");
    assert_eq!(
        error_of(&unnamed),
        "engine.models[0]: field `name` is not a text"
    );
}

#[test]
fn other_missing_keys_of_a_route_have_their_defaults() {
    let route = |key: &str| read(&without(key)).routes.swap_remove(0);
    assert_eq!(
        route("target_latency_ms"),
        Route {
            target_latency: chat().timeout,
            ..chat()
        }
    );
    assert_eq!(
        route("priority"),
        Route {
            priority: 0,
            ..chat()
        }
    );
    assert_eq!(
        route("max_retries"),
        Route {
            max_retries: 1,
            ..chat()
        }
    );
    assert_eq!(
        route("kept"),
        Route {
            kept: false,
            ..chat()
        }
    );
    assert_eq!(
        route("retention_s"),
        Route {
            retention: Duration::from_secs(60),
            ..chat()
        }
    );
    assert_eq!(
        route("session_affinity"),
        Route {
            session_affinity: false,
            ..chat()
        }
    );
    assert_eq!(
        route("resumable"),
        Route {
            resumable: false,
            ..chat()
        }
    );
    assert_eq!(
        route("gap_aim_ms"),
        Route {
            gap_target: None,
            ..chat()
        }
    );
}

#[test]
fn other_missing_keys_of_a_service_have_their_defaults() {
    let service = |key: &str| read(&without(key)).services.swap_remove(0);
    let whole = || services().swap_remove(0);
    let engine = || whole().engine.expect("an engine");
    assert_eq!(
        service("health_check"),
        Service {
            health_check: "/healthz".into(),
            ..whole()
        }
    );
    assert_eq!(
        service("max_conns"),
        Service {
            max_conns: u32::MAX,
            ..whole()
        }
    );
    assert_eq!(
        service("engine"),
        Service {
            engine: None,
            ..whole()
        }
    );
    let with = |engine| Service {
        engine: Some(engine),
        ..whole()
    };
    assert_eq!(
        service("kv_tokens"),
        with(Engine {
            kv_tokens: 0,
            ..engine()
        })
    );
    assert_eq!(
        service("stride"),
        with(Engine {
            stride: 1,
            ..engine()
        })
    );
    assert_eq!(
        service("models"),
        with(Engine {
            models: Vec::new(),
            ..engine()
        })
    );
}

#[test]
fn other_missing_limits_have_their_defaults() {
    let found = |key: &str| read(&without(key)).limits;
    let defaults = ClientLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    assert_eq!(found("limits"), defaults);
    let max_header_bytes = defaults.max_header_bytes;
    assert_eq!(
        found("max_header_bytes"),
        ClientLimits {
            max_header_bytes,
            ..limits()
        }
    );
    assert_eq!(
        found("max_body_bytes"),
        ClientLimits {
            max_body_bytes: defaults.max_body_bytes,
            ..limits()
        }
    );
    let header_timeout = defaults.header_timeout;
    assert_eq!(
        found("header_timeout_ms"),
        ClientLimits {
            header_timeout,
            ..limits()
        }
    );
    assert_eq!(
        found("idle_timeout_ms"),
        ClientLimits {
            idle_timeout: defaults.idle_timeout,
            ..limits()
        }
    );
}

#[test]
fn unknown_keys_are_passed_over_at_every_level() {
    let text = RECORDED.replace('{', "{\"later_key\": [1, {}],");
    assert!(text.matches("later_key").count() >= 12);
    assert_eq!(read(&text), read(RECORDED));
}

#[test]
fn a_key_of_another_type_is_named() {
    let number = "is not a whole number";
    let flag = "is not true or false";
    let cases = [
        (
            "generation",
            "\"7\"",
            format!("the configuration: field `generation` {number}"),
        ),
        (
            "generation",
            "-1",
            format!("the configuration: field `generation` {number}"),
        ),
        (
            "generation",
            "7.5",
            format!("the configuration: field `generation` {number}"),
        ),
        (
            "routes",
            "{}",
            "the configuration: field `routes` is not an array".into(),
        ),
        (
            "services",
            "\"model\"",
            "the configuration: field `services` is not an array".into(),
        ),
        ("name", "1", "routes[0]: field `name` is not a text".into()),
        (
            "domain",
            "[]",
            "routes[0]: field `domain` is not a text".into(),
        ),
        (
            "path_prefix",
            "true",
            "routes[0]: field `path_prefix` is not a text".into(),
        ),
        (
            "route_type",
            "1",
            "routes[0]: field `route_type` is not a text".into(),
        ),
        (
            "route_type",
            "\"sometimes\"",
            "a route: field `route_type` is not one of `safe`, `unsafe`, `streaming`".into(),
        ),
        (
            "timeout_ms",
            "\"5000\"",
            "routes[0]: field `timeout_ms` is not a time in ms".into(),
        ),
        (
            "timeout_ms",
            "-1",
            "routes[0]: field `timeout_ms` is not a time in ms".into(),
        ),
        (
            "target_latency_ms",
            "[]",
            "routes[0]: field `target_latency_ms` is not a time in ms".into(),
        ),
        (
            "priority",
            "\"high\"",
            format!("routes[0]: field `priority` {number}"),
        ),
        (
            "service",
            "1",
            "routes[0]: field `service` is not a text".into(),
        ),
        (
            "max_retries",
            "1.5",
            format!("routes[0]: field `max_retries` {number}"),
        ),
        ("kept", "1", format!("routes[0]: field `kept` {flag}")),
        (
            "retention_s",
            "\"60\"",
            "routes[0]: field `retention_s` is not a time in seconds".into(),
        ),
        (
            "session_affinity",
            "\"yes\"",
            format!("routes[0]: field `session_affinity` {flag}"),
        ),
        (
            "resumable",
            "0",
            format!("routes[0]: field `resumable` {flag}"),
        ),
        (
            "gap_aim_ms",
            "true",
            "routes[0]: field `gap_aim_ms` is not a time in ms".into(),
        ),
        (
            "weighted_clusters",
            "{}",
            "routes[1]: field `weighted_clusters` is not an array".into(),
        ),
        (
            "weight",
            "4294967296",
            "routes[1].weighted_clusters[0]: field `weight` is not a whole number below 2^32"
                .into(),
        ),
        (
            "health_check",
            "1",
            "services[0]: field `health_check` is not a text".into(),
        ),
        (
            "max_conns",
            "\"230\"",
            format!("services[0]: field `max_conns` {number}"),
        ),
        (
            "engine",
            "[]",
            "engine: field `capacity` is not a whole number below 2^32".into(),
        ),
        (
            "capacity",
            "-1",
            "engine: field `capacity` is not a whole number below 2^32".into(),
        ),
        (
            "kv_tokens",
            "\"many\"",
            format!("engine: field `kv_tokens` {number}"),
        ),
        (
            "stride",
            "\"3\"",
            format!("engine: field `stride` {number}"),
        ),
        (
            "models",
            "\"m\"",
            "engine: field `models` is not an array".into(),
        ),
        (
            "max_header_bytes",
            "[]",
            format!("limits: field `max_header_bytes` {number}"),
        ),
        (
            "max_body_bytes",
            "\"1\"",
            format!("limits: field `max_body_bytes` {number}"),
        ),
        (
            "header_timeout_ms",
            "-1",
            "limits: field `header_timeout_ms` is not a time in ms".into(),
        ),
        (
            "idle_timeout_ms",
            "\"\"",
            "limits: field `idle_timeout_ms` is not a time in ms".into(),
        ),
    ];
    for (key, value, expected) in cases {
        assert_eq!(
            error_of(&with_value(key, value)),
            expected,
            "{key} of {value}"
        );
    }
}

#[test]
fn numbers_beyond_a_bound_are_brought_to_it() {
    assert_eq!(read(&with_value("generation", "8.0")).generation, 8);
    assert_eq!(read(&with_value("priority", "999")).routes[0].priority, 255);
    assert_eq!(
        read(&with_value("max_retries", "4294967296")).routes[0].max_retries,
        u32::MAX
    );
    assert_eq!(
        read(&with_value("max_conns", "4294967296")).services[0].max_conns,
        u32::MAX
    );
    let engine = |text: &str| {
        read(text)
            .services
            .swap_remove(0)
            .engine
            .expect("an engine")
    };
    assert_eq!(engine(&with_value("stride", "0")).stride, 1);
    assert_eq!(
        read(&with_value("max_body_bytes", "1e15"))
            .limits
            .max_body_bytes,
        1 << 40
    );
}

#[test]
fn a_configuration_that_does_not_hold_together_is_refused_with_the_reason() {
    let cases = [
        (
            changed("\"service\": \"model\"", "\"service\": \"gone\""),
            "route `chat` names the unknown service `gone`",
        ),
        (
            changed("\"name\": \"plain\"}", "\"name\": \"model\"}"),
            "two services have the name `model`",
        ),
        (
            changed("/chat/new/", "/chat/"),
            "routes `chat` and `split` have the same host and path prefix",
        ),
        (
            changed("\"timeout_ms\": 300", "\"timeout_ms\": 0"),
            "the `timeout_ms` of route `split` is 0",
        ),
        (
            changed("\"weight\": 90", "\"weight\": 0").replace("\"weight\": 10", "\"weight\": 0"),
            "the weights of route `split` sum to 0",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(error_of(&text), expected);
    }
    let current = read(RECORDED)
        .check_follows(7)
        .expect_err("no later one")
        .to_string();
    assert_eq!(current, "generation 7 is not above the current one, 7");
}

/// What the parser says of such a body is its own.
#[test]
fn a_body_that_is_no_whole_document_is_refused() {
    let whole = RECORDED.trim_end();
    for body in [
        "",
        "{",
        "generation: 7",
        &whole[..whole.len() - 1],
        &format!("{whole}{whole}"),
    ] {
        let error = error_of(body);
        assert!(
            error.starts_with("the body is no whole JSON document: "),
            "{error}"
        );
    }
    for body in ["[]", "7", "null"] {
        assert_eq!(
            error_of(body),
            "the configuration: field `generation` is not a whole number"
        );
    }
}
