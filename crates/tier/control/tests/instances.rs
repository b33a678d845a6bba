//! Parsing of heartbeat bodies: valid bodies, and errors that name the invalid field.

use quickcheck::quickcheck;
use serde_json::{Value, json};
use woadreach_control::instances::parse_heartbeat;
use woadreach_discovery::ReplicaState;

fn body() -> Value {
    json!({
        "service": "svc", "address": "10.128.0.9:8080", "zone": "a", "generation": "v1", "capacity": 32,
        "state": "draining", "cold_remaining_ms": 0, "stage": "both",
        "models": [{"name": "m", "generation": 1, "adapters": ["x"]}], "sequence": 4, "later_field": [1]
    })
}

#[test]
fn a_complete_body_is_parsed_and_unknown_fields_are_ignored() {
    let heartbeat = parse_heartbeat(body().to_string().as_bytes()).unwrap();
    assert_eq!(heartbeat.address, "10.128.0.9:8080".parse().unwrap());
    assert_eq!(heartbeat.state, ReplicaState::Draining);
    assert_eq!((heartbeat.capacity, heartbeat.sequence), (32, 4));
    assert_eq!(heartbeat.models[0].adapters, ["x"]);
}

#[test]
fn stage_and_models_are_optional() {
    let mut body = body();
    let fields = body.as_object_mut().unwrap();
    fields.remove("stage");
    fields.remove("models");
    let heartbeat = parse_heartbeat(body.to_string().as_bytes()).unwrap();
    assert!(heartbeat.stage.is_none() && heartbeat.models.is_empty());
}

#[test]
fn a_missing_required_field_is_rejected_with_its_name() {
    let required = [
        "service",
        "address",
        "zone",
        "generation",
        "capacity",
        "state",
        "cold_remaining_ms",
        "sequence",
    ];
    for field in required {
        let mut body = body();
        body.as_object_mut().unwrap().remove(field);
        let error = parse_heartbeat(body.to_string().as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(field), "{field}: {error}");
    }
}

#[test]
fn unknown_states_and_values_of_the_wrong_type_are_rejected() {
    let wrong = [
        ("state", json!("asleep")),
        ("address", json!("nowhere")),
        ("capacity", json!(-1)),
        ("sequence", json!("4")),
        ("models", json!({})),
    ];
    for (field, value) in wrong {
        let mut body = body();
        body[field] = value;
        assert!(
            parse_heartbeat(body.to_string().as_bytes()).is_err(),
            "{field}"
        );
    }
}

quickcheck! {
    fn arbitrary_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        parse_heartbeat(&bytes).is_err()
    }

    fn a_truncated_body_is_rejected(length: usize) -> bool {
        let complete = body().to_string();
        parse_heartbeat(&complete.as_bytes()[..length % complete.len()]).is_err()
    }
}
