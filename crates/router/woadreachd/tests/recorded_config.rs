//! The configuration is read as recorded: an example with every key gives the recorded values, and each key that
//! is missing, of another type or unknown has the recorded effect.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::Records;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use woadreach_routing::api::{QueryType, Repeat, Settings};
use woadreachd::PeerConfig;
use woadreachd::config::{AddressPrecedence, Config, ConfigSource, read};
use woadreachd::events::{EndpointList, Lifecycle};

const EXAMPLE: &str = include_str!("recorded/config.json");

fn example() -> Value {
    serde_json::from_str(EXAMPLE).expect("the example is JSON")
}

fn source(text: &str) -> ConfigSource {
    ConfigSource {
        path: "proxy.json".into(),
        text: text.into(),
        listen: None,
        discovery: None,
    }
}

fn parsed(text: &str) -> Config {
    read(AddressPrecedence::Environment, &source(text)).unwrap_or_else(|why| panic!("{why}"))
}

fn error_of(text: &str) -> String {
    read(AddressPrecedence::Environment, &source(text))
        .err()
        .expect("it is not sound")
        .to_string()
}

/// Values by the names that stand in the records.
type Values = BTreeMap<String, String>;

fn repeat(repeat: Repeat) -> String {
    match repeat {
        Repeat::Idempotent => "idempotent".into(),
        Repeat::Tokened { window, any_holder } => format!("tokened {window} {any_holder}"),
        Repeat::NonIdempotent => "non-idempotent".into(),
    }
}

fn query_type(t: &QueryType) -> String {
    format!(
        "target {} timeout {} value {} late {} repeat {} need {} floor {} second {}",
        t.latency_target,
        t.client_timeout,
        t.value,
        t.late_value,
        repeat(t.repeat),
        t.complete_weight,
        t.minimum_weight,
        t.second_step
    )
}

fn list(list: &EndpointList) -> String {
    let lifecycle = |of| match of {
        Lifecycle::Ready => "ready",
        Lifecycle::Draining => "draining",
        Lifecycle::Departed => "gone",
    };
    let entries = list.entries.iter().map(|e| {
        let lifecycle = lifecycle(e.lifecycle);
        format!(
            "; {} {} {:?} {} {lifecycle} {}",
            e.id, e.address, e.zone, e.cell, e.started_at
        )
    });
    format!(
        "{} {}{}",
        list.generation,
        list.full,
        entries.collect::<String>()
    )
}

fn module(s: &Settings) -> Vec<(&'static str, String)> {
    let slow_start = s.slow_start.as_ref().map(|c| {
        [
            c.initial_capacity,
            c.duration,
            c.overload_multiple,
            c.overload_window,
        ]
    });
    let budget = s
        .retry_budget
        .as_ref()
        .map(|b| [b.min_retries, b.ratio, b.window]);
    vec![
        ("seed", s.seed.to_string()),
        ("me", format!("{:?}", s.coordinator_index)),
        ("siblings", s.coordinators.to_string()),
        ("tick", s.tick.to_string()),
        (
            "query types",
            s.query_types
                .iter()
                .map(query_type)
                .collect::<Vec<_>>()
                .join("; "),
        ),
        ("tenants", format!("{:?}", s.tenants)),
        ("over share value", s.over_share_value.to_string()),
        ("cells", s.cells.to_string()),
        ("span", s.span.to_string()),
        ("per call", s.parts_per_call.to_string()),
        ("sub-requests cap", s.max_attempts.to_string()),
        ("late send", s.max_send_delay.to_string()),
        ("may cancel", s.cancellation_allowed.to_string()),
        ("may copy", s.hedging_allowed.to_string()),
        ("longest retry advice", format!("{:?}", s.max_retry_after)),
        ("cold", format!("{slow_start:?}")),
        ("budget", format!("{budget:?}")),
    ]
}

fn host(c: &Config) -> Vec<(&'static str, String)> {
    let watch = c
        .watch
        .as_ref()
        .map(|w| (w.retry_after, w.hedging_allowed, &w.once));
    vec![
        ("listen", c.listen.to_string()),
        ("discovery", c.discovery.clone()),
        ("discovery interval", c.discovery_interval_s.to_string()),
        ("sockets", c.sockets.to_string()),
        ("known", format!("{:?}", c.known.as_ref().map(list))),
        ("names of query types", format!("{:?}", c.names.query_types)),
        ("names of tenants", format!("{:?}", c.names.tenants)),
        ("shards", c.names.shards.to_string()),
        ("marks repeats", c.names.marks_retries.to_string()),
        ("core open", c.core.max_in_flight.to_string()),
        ("core bytes", c.core.max_request_bytes.to_string()),
        ("core zones", format!("{:?}", c.core.zones)),
        ("core fetch", format!("{:?}", c.core.second_step_parts)),
        ("core longest", c.core.max_client_timeout_s.to_string()),
        (
            "core longest target",
            c.core.max_latency_target_s.to_string(),
        ),
        ("streams", c.replicas.max_attempts_in_flight.to_string()),
        (
            "replicas per call",
            c.replicas.max_parts_per_call.to_string(),
        ),
        ("idle close", c.replicas.idle_timeout_s.to_string()),
        ("connect timeout", c.replicas.connect_timeout_s.to_string()),
        ("cancelling", c.replicas.cancellation_allowed.to_string()),
        ("watch", format!("{watch:?}")),
    ]
}

fn tier(p: &PeerConfig) -> Vec<(&'static str, String)> {
    let slow_start = p
        .slow_start
        .map(|split| (split.member_count, split.window_s));
    vec![
        ("peers listen", p.listen.to_string()),
        ("peers roster", format!("{:?}", p.roster)),
        ("peers me", p.index.to_string()),
        ("peers zone", p.zone.to_string()),
        ("peers zones", format!("{:?}", p.zones)),
        ("peers regions", format!("{:?}", p.regions)),
        ("peers out", format!("{:?}", p.ejected_by_operator)),
        ("peers near", p.prefer_near.to_string()),
        ("peers warm", p.warm_up_s.to_string()),
        ("peers duties", p.roles.to_string()),
        ("peers warden", p.quota_allocator.to_string()),
        ("peers records", p.log_role_actions.to_string()),
        ("peers cold", format!("{slow_start:?}")),
        ("peers seed", p.seed.to_string()),
    ]
}

fn values(config: &Config) -> Values {
    let tier = config
        .peers
        .as_ref()
        .map_or(vec![("peers", "none".into())], tier);
    let all = [host(config), module(&config.settings), tier].concat();
    all.into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

fn records(file: &str) -> Records {
    Records::at(&format!(
        "{}/tests/recorded/{file}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

#[test]
fn a_file_with_every_key_gives_the_recorded_values() {
    for (name, value) in values(&parsed(EXAMPLE)) {
        assert_eq!(
            records("config-values.txt").text(&name, &value),
            value,
            "{name}"
        );
    }
}

#[test]
fn nothing_is_recorded_of_the_values_that_is_not_read() {
    let names: Vec<String> = values(&parsed(EXAMPLE)).into_keys().collect();
    assert_eq!(records("config-values.txt").names(), names);
}

/// Every place in a value, its own left out, by JSON pointers.
fn places(of: &Value, at: &str, all: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match of {
        Value::Object(object) => object
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .map(|(n, value)| (n.to_string(), value))
            .collect(),
        _ => Vec::new(),
    };
    for (key, value) in children {
        let at = format!("{at}/{key}");
        all.push(at.clone());
        places(value, &at, all);
    }
}

fn all_places() -> Vec<String> {
    let mut all = Vec::new();
    places(&example(), "", &mut all);
    all
}

/// What comes of a file: why it is refused, or each value that differs from the example's.
fn outcome(file: &Value) -> String {
    let before = values(&parsed(EXAMPLE));
    let now = match read(AddressPrecedence::Environment, &source(&file.to_string())) {
        Ok(config) => values(&config),
        Err(why) => return format!("refused, {why}"),
    };
    let removed = before
        .keys()
        .filter(|name| !now.contains_key(*name))
        .map(|name| format!("{name} gone"));
    let differs = now
        .iter()
        .filter(|(name, value)| before.get(*name) != Some(value));
    let differs: Vec<String> = differs
        .map(|(name, value)| format!("{name} = {value}"))
        .chain(removed)
        .collect();
    if differs.is_empty() {
        "taken, the same".into()
    } else {
        format!("taken, {}", differs.join(" | "))
    }
}

fn without(place: &str) -> Value {
    let mut file = example();
    let (parent, key) = place.rsplit_once('/').expect("a place has a slash");
    match file.pointer_mut(parent) {
        Some(Value::Object(object)) => drop(object.remove(key)),
        Some(Value::Array(list)) => drop(list.remove(key.parse().expect("a number"))),
        _ => panic!("no such place: {place}"),
    }
    file
}

fn with(place: &str, value: Value) -> Value {
    let mut file = example();
    *file
        .pointer_mut(place)
        .unwrap_or_else(|| panic!("no such place: {place}")) = value;
    file
}

/// A value of another type than this one's.
fn mistyped(value: &Value) -> Value {
    if value.is_string() {
        json!(7)
    } else {
        json!("odd")
    }
}

fn with_unknown_key(place: &str) -> Option<Value> {
    let mut file = example();
    file.pointer_mut(place)?
        .as_object_mut()?
        .insert("novel".into(), json!(true));
    Some(file)
}

#[test]
fn a_file_without_one_of_its_keys_fares_as_it_did() {
    for place in all_places() {
        let today = outcome(&without(&place));
        assert_eq!(
            records("config-missing.txt").text(&place, &today),
            today,
            "{place}"
        );
    }
}

#[test]
fn a_file_with_a_key_of_another_type_fares_as_it_did() {
    let example = example();
    for place in all_places() {
        let today = outcome(&with(
            &place,
            mistyped(example.pointer(&place).expect("it is there")),
        ));
        assert_eq!(
            records("config-ill-typed.txt").text(&place, &today),
            today,
            "{place}"
        );
    }
}

#[test]
fn a_file_with_a_null_fares_as_it_did() {
    for place in all_places() {
        let today = outcome(&with(&place, Value::Null));
        assert_eq!(
            records("config-null.txt").text(&place, &today),
            today,
            "{place}"
        );
    }
}

#[test]
fn an_unknown_key_fares_as_it_did() {
    let objects = std::iter::once(String::new()).chain(all_places());
    for place in objects {
        let Some(file) = with_unknown_key(&place) else {
            continue;
        };
        let today = outcome(&file);
        let name = format!("{place}/novel");
        assert_eq!(
            records("config-unknown.txt").text(&name, &today),
            today,
            "{name}"
        );
    }
}

#[test]
fn every_key_has_its_records() {
    let mut places = all_places();
    places.sort();
    for file in [
        "config-missing.txt",
        "config-ill-typed.txt",
        "config-null.txt",
    ] {
        assert_eq!(records(file).names(), places, "{file}");
    }
}

#[rstest]
#[case::no_json("{", "proxy.json: EOF while parsing an object at line 1 column 1")]
#[case::nothing("", "proxy.json: EOF while parsing a value at line 1 column 0")]
#[case::a_list("[]", "configuration lacks /settings")]
#[case::twice("{} {}", "proxy.json: trailing characters at line 1 column 4")]
fn a_text_that_is_no_configuration(#[case] text: &str, #[case] why: &str) {
    assert_eq!(error_of(text), why);
}

#[rstest]
#[case::a_number("/seed", json!(32), "seed = 32")]
#[case::the_same_number("/seed", json!(31), "taken, the same")]
#[case::no_hex("/seed", json!("xyz"), "configuration: seed is neither a number nor hex digits")]
#[case::negative("/seed", json!(-1), "configuration: seed is neither a number nor hex digits")]
#[case::no_address("/listen", json!("here"), "listen is not an address: here")]
#[case::no_peer_address("/peers/1", json!("here"), "configuration: peers: not an address: here")]
#[case::no_own_address("/peer_listen", json!("here"), "configuration: peer_listen: not an address: here")]
#[case::no_such_zone(
    "/failover/out/0",
    json!("north"),
    "configuration: failover.out: no such zone: north; there are west, mid, east"
)]
#[case::off("/failover/on", json!(false), "peers = none")]
#[case::peers_barred("/settings/limits/peers", json!(false), "peers = none")]
#[case::beyond_the_roster("/settings/me", json!(3), "peers = none")]
#[case::beyond_the_zones("/settings/zone", json!(3), "peers = none")]
#[case::no_duties("/duties/on", json!(false), "peers duties = false")]
#[case::a_number_for_a_name("/settings/watch/once/0", json!(1), "setting /watch/once/0 is not a name")]
#[case::none_for_many("/settings/domain/perCall", json!(0), "replicas per call = 1")]
fn a_value_that_is_another(#[case] place: &str, #[case] value: Value, #[case] expected: &str) {
    let outcome = outcome(&with(place, value));
    assert!(outcome.contains(expected), "{outcome}");
}

#[rstest]
#[case::environment_first(AddressPrecedence::Environment, "127.0.0.1:1", "127.0.0.1:2")]
#[case::file_first(AddressPrecedence::File, "127.0.0.1:8080", "127.0.0.1:8081")]
fn addresses_beside_the_file(
    #[case] precedence: AddressPrecedence,
    #[case] listen: &str,
    #[case] discovery: &str,
) {
    let (beside_listen, beside_discovery) =
        (Some("127.0.0.1:1".into()), Some("127.0.0.1:2".into()));
    let source = ConfigSource {
        listen: beside_listen,
        discovery: beside_discovery,
        ..source(EXAMPLE)
    };
    let config = read(precedence, &source).unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(
        (
            config.listen.to_string().as_str(),
            config.discovery.as_str()
        ),
        (listen, discovery)
    );
}

#[rstest]
#[case::listen("/listen", "configuration lacks listen, and PROXY_LISTEN is not set")]
#[case::discovery(
    "/discovery",
    "configuration lacks discovery, and PROXY_DISCOVERY is not set"
)]
fn an_address_that_stands_nowhere_is_named(#[case] place: &str, #[case] why: &str) {
    assert_eq!(error_of(&without(place).to_string()), why);
}

/// What a reload compares: the file without the keys that only a start reads.
#[test]
fn the_file_is_stored_without_the_keys_that_are_read_once() {
    let mut expected = example();
    for once in ["known", "seed", "discovery"] {
        expected.as_object_mut().expect("an object").remove(once);
    }
    assert_eq!(parsed(EXAMPLE).file, expected);
}
