//! Error texts of configurations with a missing, ill-typed or inconsistent key.

use super::samples::{RECORDED, changed, error_of, read, with_value, without};

#[test]
fn a_missing_required_key_is_named() {
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
fn an_inconsistent_configuration_is_rejected_with_the_reason() {
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

/// Only the beginning of the message is fixed; the rest comes from the parser.
#[test]
fn a_body_that_is_not_a_complete_document_is_rejected() {
    let complete = RECORDED.trim_end();
    for body in [
        "",
        "{",
        "generation: 7",
        &complete[..complete.len() - 1],
        &format!("{complete}{complete}"),
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
