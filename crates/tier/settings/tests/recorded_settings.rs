//! Parses a recorded settings file that contains every key, and checks the defaults and error texts where a key is
//! missing, unknown or ill-typed.

use std::time::Duration;

use woadreach_settings::{NodeSettings, PortRange, SETTINGS_VARIABLE, SettingsError};

const RECORDED: &str = include_str!("recorded/settings.yaml");

fn parse(text: &str) -> NodeSettings {
    NodeSettings::parse(text).expect("valid settings")
}

/// Returns the recorded file without `key` and the lines nested below it. `limits.cores` is the key `cores` of the
/// block `limits`.
fn without(key: &str) -> String {
    with_line_replaced(key, |_| String::new())
}

/// Returns the recorded file with the value of `key` replaced by `value`.
fn with_value(key: &str, value: &str) -> String {
    with_line_replaced(key, |line| {
        format!("{}: {value}\n", line.split(':').next().expect("a key"))
    })
}

/// Returns the recorded file with the line of `key` passed through `replace`, without the lines nested below it.
fn with_line_replaced(key: &str, replace: impl Fn(&str) -> String) -> String {
    let (mut text, mut block, mut is_below, mut count) = (String::new(), "", false, 0);
    for line in RECORDED.lines() {
        let is_inner = line.starts_with(' ');
        if is_inner && is_below {
            continue;
        }
        let name = line.trim().split(':').next().expect("a key");
        if !is_inner {
            (block, is_below) = (name, false);
        }
        let path = if is_inner {
            format!("{block}.{name}")
        } else {
            name.to_owned()
        };
        if path == key {
            count += 1;
            is_below = !is_inner;
            text.push_str(&replace(line));
        } else {
            text.push_str(line);
            text.push('\n');
        }
    }
    assert_eq!(count, 1, "{key} occurs once in the recorded file");
    text
}

/// Returns the text of the error without the names of Rust types that some texts contain, so that renaming a type does
/// not fail the tests.
fn error_of(text: &str) -> String {
    let error = NodeSettings::parse(text)
        .expect_err("invalid settings")
        .to_string();
    let Some((before, after)) = error.split_once("expected struct ") else {
        return error;
    };
    let rest = after
        .split_once(' ')
        .map(|(_type_name, rest)| format!(" {rest}"));
    format!("{before}expected struct{}", rest.unwrap_or_default())
}

#[test]
fn the_name_of_the_environment_variable_is_unchanged() {
    assert_eq!(SETTINGS_VARIABLE, "WOADREACH_NODE_FILE");
    let error = SettingsError::PathNotSet {
        variable: SETTINGS_VARIABLE,
    }
    .to_string();
    let expected = "the environment variable WOADREACH_NODE_FILE is not set; set it to the path of the settings file";
    assert_eq!(error, expected);
}

#[test]
fn every_key_outside_bounds_is_parsed() {
    let settings = parse(RECORDED);
    assert_eq!(settings.node, "core-1");
    assert_eq!(settings.role, "control");
    assert_eq!(settings.machine_class, "core");
    assert_eq!(settings.serves, ["control", "internal"]);
    assert_eq!(settings.ip.octets(), [127, 0, 0, 9]);
    assert_eq!(
        (settings.zone.as_str(), settings.region.as_str()),
        ("a", "north")
    );
    let listen = [
        settings.listen.front,
        settings.listen.ready,
        settings.listen.control,
    ];
    let expected = ["127.0.0.9:8149", "127.0.0.9:8141", "127.0.0.9:8144"];
    assert_eq!(
        listen,
        expected.map(|address| Some(address.parse().expect("an address")))
    );
    let expected = PortRange {
        first: 7380,
        last: 7395,
    };
    assert_eq!(settings.port_range, expected);
    let seeds = ["127.0.0.1:8144", "127.0.0.2:8145"];
    assert_eq!(
        settings.seeds,
        seeds.map(|address| address.parse().expect("an address"))
    );
    assert!(settings.bootstrap && settings.counts_for_quorum);
    let limits = &settings.limits;
    assert_eq!(
        (limits.cpu_share, limits.cores, limits.link_mbps),
        (0.25, 1.5, 1000.5)
    );
    assert_eq!(
        (limits.memory_mb, limits.max_fds, limits.disk_mb),
        (260, 4100, 4000)
    );
    assert_eq!(
        settings.data_dir.as_deref(),
        Some("/var/lib/core-1".as_ref())
    );
    assert_eq!(settings.heartbeat, Duration::from_millis(1300));
    let tolerance = settings.fault_tolerance;
    assert_eq!(
        (tolerance.machines, tolerance.zones, tolerance.regions),
        (1, 2, 3)
    );
}

/// Returns all bounds in milliseconds, in the order of the file.
fn bounds(settings: &NodeSettings) -> [u128; 16] {
    let bounds = &settings.bounds;
    let all = [
        bounds.seed_lag,
        bounds.reuse_after,
        bounds.fault_free_period,
        bounds.order_acknowledgement,
        bounds.catch_up,
        bounds.drain_timeout,
        bounds.grace_period,
        bounds.unanswered_read,
        bounds.config_activation,
        bounds.version_regression,
        bounds.unstable_core_delay,
        bounds.disaster_recovery,
        bounds.event_forwarding,
        bounds.request_repetition,
        bounds.post_traffic_runtime,
        bounds.budget_settlement,
    ];
    all.map(|bound| bound.as_millis())
}

#[test]
fn every_bound_is_parsed() {
    let expected = [
        1500, 2500, 3500, 4500, 5500, 6500, 7500, 850, 950, 1050, 1150, 12500, 135, 14500, 15500,
        1650,
    ];
    assert_eq!(bounds(&parse(RECORDED)), expected);
}

#[test]
fn missing_bounds_have_their_defaults() {
    let expected = [
        3000, 2000, 3000, 4000, 4000, 2000, 8000, 200, 2000, 250, 5000, 12000, 120, 0, 10000, 1000,
    ];
    assert_eq!(bounds(&parse(&without("bounds"))), expected);
    let without_one = parse(&without("bounds.settle_ms"));
    assert_eq!(
        (bounds(&without_one)[15], bounds(&without_one)[0]),
        (1000, 1500)
    );
}

#[test]
fn the_error_names_a_missing_required_key() {
    let cases = [
        ("node", "settings: missing field `node`"),
        ("ip", "settings: missing field `ip`"),
        ("zone", "settings: missing field `zone`"),
        ("port_range", "settings: missing field `port_range`"),
        ("seeds", "settings: missing field `seeds`"),
        ("limits", "settings: missing field `limits`"),
        (
            "fault_tolerance",
            "settings: missing field `fault_tolerance`",
        ),
        (
            "limits.cpu_share",
            "settings: limits: missing field `cpu_share` at line 23 column 3",
        ),
        (
            "limits.memory_mb",
            "settings: limits: missing field `memory_mb` at line 23 column 3",
        ),
        (
            "limits.max_fds",
            "settings: limits: missing field `max_fds` at line 23 column 3",
        ),
        (
            "fault_tolerance.machines",
            "settings: fault_tolerance: missing field `machines` at line 32 column 3",
        ),
    ];
    for (key, expected) in cases {
        assert_eq!(error_of(&without(key)), expected);
    }
}

#[test]
fn missing_optional_keys_have_their_defaults() {
    assert_eq!(parse(&without("role")).role, "");
    assert_eq!(parse(&without("machine_class")).machine_class, "");
    assert!(parse(&without("serves")).serves.is_empty());
    assert_eq!(parse(&without("region")).region, "");
    let listen = parse(&without("listen")).listen;
    assert_eq!([listen.front, listen.ready, listen.control], [None; 3]);
    assert_eq!(parse(&without("listen.front")).listen.front, None);
    assert_eq!(parse(&without("listen.ready")).listen.ready, None);
    assert_eq!(parse(&without("listen.control")).listen.control, None);
    assert!(!parse(&without("bootstrap")).bootstrap);
    assert!(!parse(&without("counts_for_quorum")).counts_for_quorum);
    assert_eq!(parse(&without("limits.cores")).limits.cores, 1.0);
    assert_eq!(parse(&without("limits.link_mbps")).limits.link_mbps, 0.0);
    assert_eq!(parse(&without("limits.disk_mb")).limits.disk_mb, 0);
    assert_eq!(parse(&without("data_dir")).data_dir, None);
    assert_eq!(parse(&with_value("data_dir", "null")).data_dir, None);
    assert_eq!(
        parse(&without("heartbeat_ms")).heartbeat,
        Duration::from_millis(1200)
    );
    assert_eq!(
        parse(&without("fault_tolerance.zones"))
            .fault_tolerance
            .zones,
        0
    );
    assert_eq!(
        parse(&without("fault_tolerance.regions"))
            .fault_tolerance
            .regions,
        0
    );
}

#[test]
fn unknown_keys_are_ignored_at_every_level() {
    let mut text = format!("later_key: [1, 2]\nzones: {{a: north}}\n{RECORDED}");
    for block in ["listen", "limits", "fault_tolerance", "bounds"] {
        text = text.replace(
            &format!("\n{block}:\n"),
            &format!("\n{block}:\n  later_key: 1\n"),
        );
    }
    assert_eq!(text.matches("later_key").count(), 5);
    let settings = parse(&text);
    assert_eq!(
        (settings.node, settings.limits.disk_mb),
        ("core-1".to_owned(), 4000)
    );
}

#[test]
fn the_error_names_a_key_of_the_wrong_type() {
    let cases = [
        (
            "node",
            "[1]",
            "settings: node: invalid type: sequence, expected a string at line 1 column 7",
        ),
        (
            "serves",
            "control",
            "settings: serves: invalid type: string \"control\", expected a sequence at line 4 column 9",
        ),
        (
            "ip",
            "north",
            "settings: ip: invalid IPv4 address syntax at line 7 column 5",
        ),
        (
            "zone",
            "{}",
            "settings: zone: invalid type: map, expected a string at line 8 column 7",
        ),
        (
            "listen",
            "[1, 2]",
            "settings: listen: invalid type: sequence, expected struct at line 10 column 9",
        ),
        (
            "listen.control",
            "8144",
            "settings: listen.control: invalid socket address syntax at line 13 column 12",
        ),
        (
            "port_range",
            "7380",
            "settings: port_range: invalid type: integer `7380`, expected a sequence at line 14 column 13",
        ),
        (
            "port_range",
            "[7380, 70000]",
            "settings: port_range[1]: invalid value: integer `70000`, expected u16 at line 14 column 20",
        ),
        (
            "seeds",
            "[\"core-1\"]",
            "settings: seeds[0]: invalid socket address syntax at line 17 column 9",
        ),
        (
            "bootstrap",
            "1",
            "settings: bootstrap: invalid type: integer `1`, expected a boolean at line 20 column 12",
        ),
        (
            "counts_for_quorum",
            "maybe",
            "settings: counts_for_quorum: invalid type: string \"maybe\", expected a boolean at line 21 column 20",
        ),
        (
            "limits",
            "3",
            "settings: limits: invalid type: integer `3`, expected struct at line 22 column 9",
        ),
        (
            "limits.cpu_share",
            "much",
            "settings: limits.cpu_share: invalid type: string \"much\", expected f64 at line 23 column 14",
        ),
        (
            "limits.memory_mb",
            "1.5",
            "settings: limits.memory_mb: invalid type: floating point `1.5`, expected u64 at line 25 column 14",
        ),
        (
            "limits.max_fds",
            "-1",
            "settings: limits.max_fds: invalid type: integer `-1`, expected u64 at line 26 column 12",
        ),
        (
            "limits.disk_mb",
            "lots",
            "settings: limits.disk_mb: invalid type: string \"lots\", expected u64 at line 28 column 12",
        ),
        (
            "data_dir",
            "[1]",
            "settings: data_dir: invalid type: sequence, expected path string at line 29 column 11",
        ),
        (
            "heartbeat_ms",
            "soon",
            "settings: heartbeat_ms: invalid type: string \"soon\", expected u64 at line 30 column 15",
        ),
        (
            "fault_tolerance.machines",
            "-1",
            "settings: fault_tolerance.machines: invalid type: integer `-1`, expected usize at line 32 column 13",
        ),
        (
            "bounds.touch_ms",
            "long",
            "settings: bounds.touch_ms: invalid type: string \"long\", expected f64 at line 38 column 13",
        ),
    ];
    for (key, value, expected) in cases {
        assert_eq!(error_of(&with_value(key, value)), expected);
    }
}

#[test]
fn the_error_names_a_key_whose_value_is_out_of_range() {
    let cases = [
        (
            "node",
            "\"\"",
            "settings: field `node` is empty; expected the name of the machine",
        ),
        (
            "port_range",
            "[7380]",
            "settings: field `port_range` is [7380]; expected two ports, the first not above the second",
        ),
        (
            "limits.cpu_share",
            "0",
            "settings: field `limits.cpu_share` is 0; expected a share above 0",
        ),
        (
            "limits.memory_mb",
            "0",
            "settings: field `limits.memory_mb` is 0; expected a size above 0",
        ),
        (
            "heartbeat_ms",
            "0",
            "settings: field `heartbeat_ms` is 0; expected an interval above 0",
        ),
        (
            "bounds.again_s",
            "-1",
            "settings: field `bounds.again_s` is -1; expected a non-negative duration",
        ),
        (
            "bounds.touch_ms",
            "-5",
            "settings: field `bounds.touch_ms` is -0.005; expected a non-negative duration",
        ),
    ];
    for (key, value, expected) in cases {
        assert_eq!(error_of(&with_value(key, value)), expected);
    }
}

#[test]
fn a_document_that_is_not_a_settings_file_is_rejected() {
    let cases = [
        ("", "settings: missing field `node`"),
        (
            "a text",
            "settings: invalid type: string \"a text\", expected struct",
        ),
        (
            "[1, 2]",
            "settings: invalid type: sequence, expected struct",
        ),
        (
            "{\"node\":",
            "settings: did not find expected node content at line 2 column 1, while parsing a flow node",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(error_of(text), expected);
    }
}
