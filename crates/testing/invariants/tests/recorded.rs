//! Events and breaches as lines of a record, held still: each is written as it was.

#[path = "../../../../tests/recorded/lines.rs"]
mod recorded;

use recorded::Records;
use serde_json::Value;
use std::sync::Arc;
use woadreach_invariants::{Breach, Event, NodeId, PartName, ReplicaName, Rule, What};

fn records(file: &str) -> Records {
    Records::at(&format!(
        "{}/tests/recorded/{file}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

const NODE: NodeId = NodeId(3);

fn search() -> Arc<str> {
    "5be2a07c19f04d63".into()
}

fn replica() -> ReplicaName {
    "r-1 \"é\"".into()
}

fn part(fetch: bool) -> PartName {
    PartName {
        search: search(),
        shard: 7,
        fetch,
    }
}

fn sent(from: Vec<u64>, first_whole: Option<bool>) -> What {
    let (replica, part) = (replica(), part(!from.is_empty()));
    What::Sent {
        node: NODE,
        replica,
        part,
        begun: 1.25,
        came: 1.5,
        work: 0.05,
        from,
        first_whole,
    }
}

/// An event of each kind.
fn events() -> Vec<What> {
    let (search, replica, part) = (search(), replica(), part(false));
    let rows = vec![(0, "value".to_string()), (7, String::new())];
    let made = What::Made {
        node: NODE,
        replica: replica.clone(),
        part: part.clone(),
        value: "v".into(),
    };
    let parts = Arc::from([(0, 0.5), (7, 0.5)]);
    vec![
        What::NodeStarted { node: NODE },
        What::NodeKilled { node: NODE },
        What::NodeEnded { node: NODE },
        What::Asked {
            node: NODE,
            search: search.clone(),
            query_type: 1,
            parts,
            ends: 2.5,
        },
        What::Answered {
            search: search.clone(),
            whole: true,
            rows,
        },
        What::Shed {
            search: search.clone(),
        },
        What::Errored {
            search: search.clone(),
        },
        What::Left {
            search: search.clone(),
        },
        What::Dropped { search },
        sent(Vec::new(), None),
        What::TurnedAway {
            node: NODE,
            replica: replica.clone(),
            part: part.clone(),
        },
        made,
        What::GivenUp {
            node: NODE,
            replica: replica.clone(),
            part,
        },
        What::Told {
            node: NODE,
            replica: replica.clone(),
            ready: false,
        },
        What::Born {
            replica: replica.clone(),
            cores: 2.0,
        },
        What::Way {
            replica,
            held: true,
        },
        What::Stalled {
            node: NODE,
            seconds: 0.3,
        },
        What::Panicked {
            node: NODE,
            why: "why".into(),
        },
        What::Kept {
            node: NODE,
            why: "why".into(),
        },
    ]
}

/// The kind as the record names it; a further kind needs a record.
fn name(what: &What) -> &'static str {
    match what {
        What::NodeStarted { .. } => "node_started",
        What::NodeKilled { .. } => "node_killed",
        What::NodeEnded { .. } => "node_ended",
        What::Asked { .. } => "asked",
        What::Answered { .. } => "answered",
        What::Shed { .. } => "shed",
        What::Errored { .. } => "errored",
        What::Left { .. } => "left",
        What::Dropped { .. } => "dropped",
        What::Sent { .. } => "sent",
        What::TurnedAway { .. } => "turned_away",
        What::Made { .. } => "made",
        What::GivenUp { .. } => "given_up",
        What::Told { .. } => "told",
        What::Born { .. } => "born",
        What::Way { .. } => "way",
        What::Stalled { .. } => "stalled",
        What::Panicked { .. } => "panicked",
        What::Kept { .. } => "kept",
    }
}

fn line(what: What) -> String {
    serde_json::to_string(&Event { at: 1000.125, what }).expect("it is JSON")
}

#[test]
fn events_are_written_as_they_were() {
    for what in events() {
        let name = name(&what);
        let today = line(what);
        assert_eq!(records("events.txt").text(name, &today), today, "{name}");
        let read: Value = serde_json::from_str(&today).expect("it is JSON");
        assert_eq!(
            (&read["what"], &read["at"]),
            (&Value::from(name), &Value::from(1000.125))
        );
    }
}

#[test]
fn a_part_of_a_second_step_says_what_it_had_of_the_first() {
    let today = line(sent(vec![0, 7], Some(false)));
    assert_eq!(
        records("events.txt").text("sent-second-step", &today),
        today
    );
}

#[test]
fn nothing_is_recorded_that_is_not_written() {
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
    Rule::DrainsKept,
    Rule::ColdNotPushedOver,
    Rule::HonestAnswers,
    Rule::Budget,
    Rule::Sound,
];

fn breach(rule: Rule, search: Option<Arc<str>>) -> String {
    let proof = vec![Event {
        at: 1.0,
        what: What::NodeStarted { node: NODE },
    }];
    let breach = Breach {
        rule,
        at: 2.5,
        search,
        why: "why".into(),
        proof,
    };
    serde_json::to_string(&breach).expect("it is JSON")
}

#[test]
fn breaches_are_written_as_they_were() {
    for rule in RULES {
        let (name, today) = (rule.to_string(), breach(rule, Some(search())));
        assert_eq!(records("breaches.txt").text(&name, &today), today, "{name}");
    }
    let today = breach(Rule::Sound, None);
    assert_eq!(records("breaches.txt").text("of no search", &today), today);
    assert_eq!(records("breaches.txt").names().len(), RULES.len() + 1);
}
