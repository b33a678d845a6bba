//! Parses a recorded configuration that contains every key, and checks each key's value and default.

mod errors;
mod samples;

use std::time::Duration;

use woadreach_config::{ClientLimits, Configuration, Engine, Route, Service};

use self::samples::{RECORDED, chat, limits, parse, plain, services, split, with_value, without};

#[test]
fn every_key_of_the_recorded_configuration_is_parsed() {
    let routes = vec![chat(), split(), plain()];
    let expected = Configuration {
        generation: 7,
        routes,
        services: services(),
        limits: limits(),
    };
    assert_eq!(parse(RECORDED), expected);
}

#[test]
fn missing_optional_keys_of_a_route_have_their_defaults() {
    let route = |key: &str| parse(&without(key)).routes.swap_remove(0);
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
            max_replicas: 1,
            ..chat()
        }
    );
    assert_eq!(
        route("kept"),
        Route {
            stores_turns: false,
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
            event_gap_target: None,
            ..chat()
        }
    );
}

#[test]
fn missing_optional_keys_of_a_service_have_their_defaults() {
    let service = |key: &str| parse(&without(key)).services.swap_remove(0);
    let complete = || services().swap_remove(0);
    let engine = || complete().engine.expect("an engine");
    assert_eq!(
        service("health_check"),
        Service {
            health_check: "/healthz".into(),
            ..complete()
        }
    );
    assert_eq!(
        service("max_conns"),
        Service {
            max_conns: u32::MAX,
            ..complete()
        }
    );
    assert_eq!(
        service("engine"),
        Service {
            engine: None,
            ..complete()
        }
    );
    let with = |engine| Service {
        engine: Some(engine),
        ..complete()
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
fn missing_limits_have_their_defaults() {
    let found = |key: &str| parse(&without(key)).limits;
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
fn unknown_keys_are_ignored_at_every_level() {
    let text = RECORDED.replace('{', "{\"later_key\": [1, {}],");
    assert!(text.matches("later_key").count() >= 12);
    assert_eq!(parse(&text), parse(RECORDED));
}

#[test]
fn out_of_range_numbers_are_clamped() {
    assert_eq!(parse(&with_value("generation", "8.0")).generation, 8);
    assert_eq!(
        parse(&with_value("priority", "999")).routes[0].priority,
        255
    );
    assert_eq!(
        parse(&with_value("max_retries", "4294967296")).routes[0].max_replicas,
        u32::MAX
    );
    assert_eq!(
        parse(&with_value("max_conns", "4294967296")).services[0].max_conns,
        u32::MAX
    );
    let engine = |text: &str| {
        parse(text)
            .services
            .swap_remove(0)
            .engine
            .expect("an engine")
    };
    assert_eq!(engine(&with_value("stride", "0")).stride, 1);
    assert_eq!(
        parse(&with_value("max_body_bytes", "1e15"))
            .limits
            .max_body_bytes,
        1 << 40
    );
}
