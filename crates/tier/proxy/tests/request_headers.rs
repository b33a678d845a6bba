//! Reading and passing on of a request's headers.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use quickcheck::QuickCheck;
use std::time::Duration;
use woadreach_proxy::client::headers::{
    HeaderError, RequestMetadata, TokenUsage, end_to_end_headers,
};
use woadreach_scheduler::PrefixPart;

fn headers(lines: &[(&'static str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in lines {
        map.append(
            HeaderName::from_static(name),
            HeaderValue::from_str(value).expect("a value"),
        );
    }
    map
}

#[test]
fn a_turns_headers_are_all_read() {
    let metadata = RequestMetadata::read(&headers(&[
        ("request-id", "e5b2907c14da6f38"),
        ("program", "3fa81c"),
        ("session", "77d20b"),
        ("finish-ms", "5200"),
        ("timeout-ms", "5000"),
        ("budget", "1080"),
        ("token-usage", "1840,135"),
        ("previous", "9c41d07be2a35f68"),
        ("last-event-id", "12"),
        ("prefix-hash", "5c1e07a2:800,91bd3f06:410"),
    ]));
    let expected = RequestMetadata {
        request_id: "e5b2907c14da6f38".to_owned(),
        timeout: Some(Duration::from_millis(5000)),
        finish: Some(Duration::from_millis(5200)),
        budget: Some(1080),
        tokens: Some(TokenUsage {
            input: 1840,
            output: 135,
        }),
        program: Some("3fa81c".to_owned()),
        session: Some("77d20b".to_owned()),
        previous: Some("9c41d07be2a35f68".to_owned()),
        prefix: vec![
            PrefixPart {
                id: 0x5c1e07a2,
                tokens: 800,
            },
            PrefixPart {
                id: 0x91bd3f06,
                tokens: 410,
            },
        ],
        affinity: None,
        unread_hints: 0,
        last_event_id: Some(12),
    };
    assert_eq!(metadata, Ok(expected));
}

#[test]
fn invalid_headers_are_rejected_by_name() {
    let cases: [(&[(&'static str, &str)], &str); 11] = [
        (
            &[("budget", "many"), ("program", "a"), ("token-usage", "1,2")],
            "Budget",
        ),
        (
            &[("budget", "-1"), ("program", "a"), ("token-usage", "1,2")],
            "Budget",
        ),
        (
            &[("budget", "9"), ("program", "a"), ("token-usage", "12")],
            "Token-Usage",
        ),
        (&[("token-usage", "1,x")], "Token-Usage"),
        (&[("timeout-ms", "soon")], "Timeout-Ms"),
        (&[("timeout-ms", "-5")], "Timeout-Ms"),
        (&[("timeout-ms", "NaN")], "Timeout-Ms"),
        (&[("timeout-ms", "5"), ("timeout-ms", "6")], "Timeout-Ms"),
        (&[("finish-ms", "1e999")], "Finish-Ms"),
        (&[("previous", "a b")], "Previous"),
        (&[("previous", "")], "Previous"),
    ];
    for (lines, bad) in cases {
        let mut map = headers(lines);
        map.insert("request-id", HeaderValue::from_static("1"));
        let error = RequestMetadata::read(&map).expect_err(bad);
        assert!(
            matches!(error, HeaderError::Malformed { name, .. } if name == bad),
            "{bad}: {error}"
        );
    }
}

#[test]
fn missing_headers_are_rejected_by_name() {
    let missing =
        |lines: &[(&'static str, &str)]| RequestMetadata::read(&headers(lines)).unwrap_err();
    assert_eq!(missing(&[]), HeaderError::Missing { name: "Request-Id" });
    let budget = [("request-id", "1"), ("budget", "5")];
    assert_eq!(missing(&budget), HeaderError::Missing { name: "Program" });
    let program = [("request-id", "1"), ("budget", "5"), ("program", "p")];
    assert_eq!(
        missing(&program),
        HeaderError::Missing {
            name: "Token-Usage"
        }
    );
}

#[test]
fn a_malformed_prefix_is_ignored_and_forwarded() {
    for value in ["zz:1", "5c", "5c:", ":", "5c:-1", "5c:1,,", "5c:1,x"] {
        let map = headers(&[("request-id", "1"), ("prefix-hash", value)]);
        assert_eq!(
            RequestMetadata::read(&map)
                .expect("the rest is fine")
                .prefix,
            Vec::new(),
            "{value}"
        );
        assert_eq!(
            end_to_end_headers(&map)
                .get("prefix-hash")
                .expect("passed on"),
            value
        );
    }
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let map = headers(&[
        ("connection", "keep-alive, x-secret"),
        ("connection", "X-Other"),
        ("x-secret", "1"),
        ("x-other", "2"),
        ("keep-alive", "timeout=5"),
        ("proxy-authorization", "a"),
        ("te", "trailers"),
        ("trailer", "x"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("host", "example"),
        ("request-id", "1"),
        ("x-many", "1"),
        ("x-many", "2"),
    ]);
    let passed = end_to_end_headers(&map);
    let names: Vec<&str> = passed.keys().map(HeaderName::as_str).collect();
    assert_eq!(names, ["host", "request-id", "x-many"]);
    let many: Vec<_> = passed.get_all("x-many").iter().collect();
    assert_eq!(many, ["1", "2"]);
}

#[test]
fn any_header_values_are_read_or_refused() {
    const NAMES: [&str; 9] = [
        "request-id",
        "timeout-ms",
        "finish-ms",
        "budget",
        "token-usage",
        "program",
        "previous",
        "prefix-hash",
        "last-event-id",
    ];
    fn property(values: Vec<(usize, Vec<u8>)>) -> bool {
        let mut map = HeaderMap::new();
        for (name, value) in values {
            let Ok(value) = HeaderValue::from_bytes(&value) else {
                continue;
            };
            map.append(HeaderName::from_static(NAMES[name % NAMES.len()]), value);
        }
        let named =
            RequestMetadata::read(&map).map_or(true, |metadata| !metadata.request_id.is_empty());
        named && end_to_end_headers(&map) == map
    }
    QuickCheck::new()
        .tests(5000)
        .quickcheck(property as fn(Vec<(usize, Vec<u8>)>) -> bool);
}

#[test]
fn numbers_survive_their_headers() {
    fn property(input: u32, output: u32, budget: u64, timeout: u32) -> bool {
        let map = headers(&[
            ("request-id", "1"),
            ("program", "p"),
            ("budget", &budget.to_string()),
            ("token-usage", &format!("{input}, {output}")),
            ("timeout-ms", &timeout.to_string()),
        ]);
        let metadata = RequestMetadata::read(&map).expect("proper headers");
        metadata.tokens == Some(TokenUsage { input, output })
            && metadata.budget == Some(budget)
            && metadata.timeout == Some(Duration::from_millis(u64::from(timeout)))
    }
    QuickCheck::new().quickcheck(property as fn(u32, u32, u64, u32) -> bool);
}

#[test]
fn an_unreadable_hint_is_counted_and_ignored() {
    let long = "a".repeat(129);
    let many: Vec<String> = (0..1_000).map(|id| format!("{id:x}:4294967295")).collect();
    let many = many.join(",");
    type Case<'a> = (&'a [(&'static str, &'a str)], u64, bool);
    let cases: [Case<'_>; 7] = [
        (&[("affinity-key", "berth 7 / north")], 0, true),
        (&[("affinity-key", "")], 1, false),
        (&[("affinity-key", &long)], 1, false),
        (&[("affinity-key", "a"), ("affinity-key", "b")], 1, false),
        (&[("prefix-hash", "zz:1"), ("affinity-key", "")], 2, false),
        (&[("prefix-hash", "1:99999999999")], 1, false),
        (&[("prefix-hash", &many)], 0, false),
    ];
    for (lines, unread, has_affinity) in cases {
        let mut map = headers(lines);
        map.insert("request-id", HeaderValue::from_static("1"));
        let metadata = RequestMetadata::read(&map).expect("a hint is no error");
        assert_eq!(
            (metadata.unread_hints, metadata.affinity.is_some()),
            (unread, has_affinity),
            "{lines:?}"
        );
    }
}

#[test]
fn any_hint_is_read_or_ignored() {
    fn holds(prefix: Vec<u8>, affinity: Vec<u8>) -> bool {
        let mut map = headers(&[("request-id", "1")]);
        for (name, bytes) in [("prefix-hash", &prefix), ("affinity-key", &affinity)] {
            if let Ok(value) = HeaderValue::from_bytes(bytes) {
                map.insert(HeaderName::from_static(name), value);
            }
        }
        RequestMetadata::read(&map).is_ok_and(|metadata| metadata.unread_hints <= 2)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}
