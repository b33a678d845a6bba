//! Guards the JSON format of events and breaches: each must be serialized as in the recorded file.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::Records;
use serde_json::Value;
use std::sync::Arc;
use woadreach_invariants::{
    Breach, CoordinatorId, Event, EventKind, PartName, ReplicaName, Rule, ShardValue, ShardWeight,
};

fn records(file: &str) -> Records {
    Records::at(&format!(
        "{}/tests/recorded/{file}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

const NODE: CoordinatorId = CoordinatorId(3);

fn search() -> Arc<str> {
    "5be2a07c19f04d63".into()
}

fn replica() -> ReplicaName {
    "r-1 \"é\"".into()
}

fn part(second_step: bool) -> PartName {
    PartName {
        search: search(),
        shard: 7,
        second_step,
    }
}

fn part_received(first_step_shards: Vec<u64>, first_step_complete: Option<bool>) -> EventKind {
    let (replica, part) = (replica(), part(!first_step_shards.is_empty()));
    EventKind::PartReceived {
        node: NODE,
        replica,
        part,
        first_byte_at: 1.25,
        last_byte_at: 1.5,
        work: 0.05,
        first_step_shards,
        first_step_complete,
    }
}

/// One event of each kind.
fn events() -> Vec<EventKind> {
    let (search, replica, part) = (search(), replica(), part(false));
    let rows = [(0, "value"), (7, "")].map(|(shard, value)| ShardValue {
        shard,
        value: value.into(),
    });
    let completed = EventKind::PartCompleted {
        node: NODE,
        replica: replica.clone(),
        part: part.clone(),
        value: "v".into(),
    };
    let parts = [(0, 0.5), (7, 0.5)].map(|(shard, weight)| ShardWeight { shard, weight });
    vec![
        EventKind::CoordinatorStarted { node: NODE },
        EventKind::CoordinatorKilled { node: NODE },
        EventKind::CoordinatorEnded { node: NODE },
        EventKind::Requested {
            node: NODE,
            search: search.clone(),
            query_type: 1,
            parts: Arc::from(parts),
            deadline: 2.5,
        },
        EventKind::Answered {
            search: search.clone(),
            complete: true,
            rows: rows.into(),
        },
        EventKind::Shed {
            search: search.clone(),
        },
        EventKind::Failed {
            search: search.clone(),
        },
        EventKind::ClientDisconnected {
            search: search.clone(),
        },
        EventKind::ConnectionClosed { search },
        part_received(Vec::new(), None),
        EventKind::PartRejected {
            node: NODE,
            replica: replica.clone(),
            part: part.clone(),
        },
        completed,
        EventKind::PartCancelled {
            node: NODE,
            replica: replica.clone(),
            part,
        },
        EventKind::ReplicaListed {
            node: NODE,
            replica: replica.clone(),
            ready: false,
        },
        EventKind::ReplicaStarted {
            replica: replica.clone(),
            cores: 2.0,
        },
        EventKind::LinkBlocked {
            replica,
            blocked: true,
        },
        EventKind::Stalled {
            node: NODE,
            seconds: 0.3,
        },
        EventKind::Panicked {
            node: NODE,
            why: "why".into(),
        },
        EventKind::CoordinatorUnsound {
            node: NODE,
            why: "why".into(),
        },
    ]
}

/// Name of the kind in the record. A new kind also needs a recorded line.
fn name(kind: &EventKind) -> &'static str {
    match kind {
        EventKind::CoordinatorStarted { .. } => "node_started",
        EventKind::CoordinatorKilled { .. } => "node_killed",
        EventKind::CoordinatorEnded { .. } => "node_ended",
        EventKind::Requested { .. } => "asked",
        EventKind::Answered { .. } => "answered",
        EventKind::Shed { .. } => "shed",
        EventKind::Failed { .. } => "errored",
        EventKind::ClientDisconnected { .. } => "left",
        EventKind::ConnectionClosed { .. } => "dropped",
        EventKind::PartReceived { .. } => "sent",
        EventKind::PartRejected { .. } => "turned_away",
        EventKind::PartCompleted { .. } => "made",
        EventKind::PartCancelled { .. } => "given_up",
        EventKind::ReplicaListed { .. } => "told",
        EventKind::ReplicaStarted { .. } => "born",
        EventKind::LinkBlocked { .. } => "way",
        EventKind::Stalled { .. } => "stalled",
        EventKind::Panicked { .. } => "panicked",
        EventKind::CoordinatorUnsound { .. } => "kept",
    }
}

fn line(kind: EventKind) -> String {
    serde_json::to_string(&Event { at: 1000.125, kind }).expect("JSON")
}

#[test]
fn events_match_the_recorded_json() {
    for kind in events() {
        let name = name(&kind);
        let today = line(kind);
        assert_eq!(records("events.txt").text(name, &today), today, "{name}");
        let read: Value = serde_json::from_str(&today).expect("JSON");
        assert_eq!(
            (&read["what"], &read["at"]),
            (&Value::from(name), &Value::from(1000.125))
        );
    }
}

#[test]
fn second_step_part_states_the_first_steps_result() {
    let today = line(part_received(vec![0, 7], Some(false)));
    assert_eq!(
        records("events.txt").text("sent-second-step", &today),
        today
    );
}

#[test]
fn recorded_events_are_exactly_the_serialized_kinds() {
    let mut names: Vec<&str> = events()
        .iter()
        .map(name)
        .chain(["sent-second-step"])
        .collect();
    names.sort_unstable();
    assert_eq!(records("events.txt").names(), names);
}

const RULES: [Rule; 7] = [
    Rule::NoSearchLost,
    Rule::NoEffectTwice,
    Rule::DrainRespected,
    Rule::NoSlowStartOverload,
    Rule::HonestAnswers,
    Rule::Budget,
    Rule::Sound,
];

fn breach(rule: Rule, search: Option<Arc<str>>) -> String {
    let proof = vec![Event {
        at: 1.0,
        kind: EventKind::CoordinatorStarted { node: NODE },
    }];
    let breach = Breach {
        rule,
        at: 2.5,
        search,
        why: "why".into(),
        proof,
    };
    serde_json::to_string(&breach).expect("JSON")
}

#[test]
fn breaches_match_the_recorded_json() {
    for rule in RULES {
        let (name, today) = (rule.to_string(), breach(rule, Some(search())));
        assert_eq!(records("breaches.txt").text(&name, &today), today, "{name}");
    }
    let today = breach(Rule::Sound, None);
    assert_eq!(records("breaches.txt").text("of no search", &today), today);
    assert_eq!(records("breaches.txt").names().len(), RULES.len() + 1);
}
