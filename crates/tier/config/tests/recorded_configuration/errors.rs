//! Error texts of configurations with missing, ill-typed or inconsistent keys.

use super::samples::{RECORDED, changed, error_of, parse, with_value, without};

#[test]
fn the_error_names_a_missing_required_key() {
    let cases = [
        (
            "generation",
            "the configuration: field `generation` is not a non-negative integer",
        ),
        (
            "routes",
            "the configuration: field `routes` is not an array",
        ),
        (
            "services",
            "the configuration: field `services` is not an array",
        ),
        ("name", "routes[0]: field `name` is not a string"),
        ("domain", "routes[0]: field `domain` is not a string"),
        (
            "path_prefix",
            "routes[0]: field `path_prefix` is not a string",
        ),
        (
            "route_type",
            "routes[0]: field `route_type` is not a string",
        ),
        (
            "timeout_ms",
            "routes[0]: field `timeout_ms` is not a non-negative duration in milliseconds, at most one year",
        ),
        ("service", "routes[0]: field `service` is not a string"),
        (
            "weighted_clusters",
            "routes[1]: field `service` is not a string",
        ),
        (
            "weight",
            "routes[1].weighted_clusters[0]: field `weight` is not a non-negative integer below 2^32",
        ),
        (
            "capacity",
            "engine: field `capacity` is not a non-negative integer below 2^32",
        ),
    ];
    for (key, expected) in cases {
        assert_eq!(error_of(&without(key)), expected, "without {key}");
        assert_eq!(error_of(&with_value(key, "null")), expected, "{key}: null");
    }
    let without_name = changed("{\"name\": \"plain\"}", "{}");
    assert_eq!(
        error_of(&without_name),
        "services[1]: field `name` is not a string"
    );
    let without_name = changed("[{\"name\": \"m\"}", "[{}");
    assert_eq!(
        error_of(&without_name),
        "engine.models[0]: field `name` is not a string"
    );
}

#[test]
fn the_error_names_a_key_of_the_wrong_type() {
    let number = "is not a non-negative integer";
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
        ("name", "1", "routes[0]: field `name` is not a string".into()),
        (
            "domain",
            "[]",
            "routes[0]: field `domain` is not a string".into(),
        ),
        (
            "path_prefix",
            "true",
            "routes[0]: field `path_prefix` is not a string".into(),
        ),
        (
            "route_type",
            "1",
            "routes[0]: field `route_type` is not a string".into(),
        ),
        (
            "route_type",
            "\"sometimes\"",
            "a route: field `route_type` is not one of `safe`, `unsafe`, `streaming`".into(),
        ),
        (
            "timeout_ms",
            "\"5000\"",
            "routes[0]: field `timeout_ms` is not a non-negative duration in milliseconds, at most one year".into(),
        ),
        (
            "timeout_ms",
            "-1",
            "routes[0]: field `timeout_ms` is not a non-negative duration in milliseconds, at most one year".into(),
        ),
        (
            "target_latency_ms",
            "[]",
            "routes[0]: field `target_latency_ms` is not a non-negative duration in milliseconds, at most one year".into(),
        ),
        (
            "priority",
            "\"high\"",
            format!("routes[0]: field `priority` {number}"),
        ),
        (
            "service",
            "1",
            "routes[0]: field `service` is not a string".into(),
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
            "routes[0]: field `retention_s` is not a non-negative duration in seconds, at most one year".into(),
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
            "routes[0]: field `gap_aim_ms` is not a non-negative duration in milliseconds, at most one year".into(),
        ),
        (
            "weighted_clusters",
            "{}",
            "routes[1]: field `weighted_clusters` is not an array".into(),
        ),
        (
            "weight",
            "4294967296",
            "routes[1].weighted_clusters[0]: field `weight` is not a non-negative integer below 2^32"
                .into(),
        ),
        (
            "health_check",
            "1",
            "services[0]: field `health_check` is not a string".into(),
        ),
        (
            "max_conns",
            "\"230\"",
            format!("services[0]: field `max_conns` {number}"),
        ),
        (
            "engine",
            "[]",
            "engine: field `capacity` is not a non-negative integer below 2^32".into(),
        ),
        (
            "capacity",
            "-1",
            "engine: field `capacity` is not a non-negative integer below 2^32".into(),
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
            "limits: field `header_timeout_ms` is not a non-negative duration in milliseconds, at most one year".into(),
        ),
        (
            "idle_timeout_ms",
            "\"\"",
            "limits: field `idle_timeout_ms` is not a non-negative duration in milliseconds, at most one year".into(),
        ),
    ];
    for (key, value, expected) in cases {
        assert_eq!(
            error_of(&with_value(key, value)),
            expected,
            "{key}: {value}"
        );
    }
}

#[test]
fn an_inconsistent_configuration_is_rejected() {
    let cases = [
        (
            changed("\"service\": \"model\"", "\"service\": \"gone\""),
            "route `chat` refers to the undefined service `gone`",
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
    let current = parse(RECORDED)
        .check_newer_than(7)
        .expect_err("a stale generation")
        .to_string();
    assert_eq!(current, "generation 7 is not above the current one, 7");
}

/// Compares only the beginning of the message; the rest is the text of the JSON parser.
#[test]
fn a_body_that_is_not_one_json_object_is_rejected() {
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
            error.starts_with("the body is not a complete JSON document: "),
            "{error}"
        );
    }
    for body in ["[]", "7", "null"] {
        assert_eq!(
            error_of(body),
            "the configuration: field `generation` is not a non-negative integer"
        );
    }
}
