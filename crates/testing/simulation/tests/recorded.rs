//! Formats that must not change: a script with every key is read and written as recorded, and so are a run's
//! outcome, its trace and the digest of its record.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::Records;
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use woadreach_invariants::{
    Breach, CoordinatorId, Event, EventKind, PartName, QueryTerms, Rule, ShardValue, ShardWeight,
    Terms,
};
use woadreach_simulation::{
    CallsWhileUnresponsive, FaultKind, Outcome, Record, Recovery, Repeats, Script, VerdictAdoption,
    digest,
};

const EVERY_KEY: &str = include_str!("recorded/every-key.toml");

fn records(file: &str) -> Records {
    Records::at(&format!(
        "{}/tests/recorded/{file}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

fn every_key() -> Script {
    Script::read("every-key.toml", EVERY_KEY).unwrap_or_else(|bad| panic!("{bad}"))
}

#[test]
fn a_script_with_every_key_is_written_as_it_was_read() {
    assert_eq!(every_key().text(), EVERY_KEY);
}

#[test]
fn a_script_with_every_key_reads_as_it_did() {
    let script = every_key();
    let (f, s, l) = (&script.fleet, &script.settings, &script.load);
    assert_eq!((script.seed, script.seconds), (18446, 60.0));
    assert_eq!(
        (f.co_ordinators, f.zones, f.cells, f.span, f.shards),
        (3, 2, 2, 2, 6)
    );
    assert_eq!(
        (f.replicas, f.cores, f.queue_capacity, f.buffers),
        (2, 4, 16, 131_072)
    );
    assert_eq!(
        (
            f.max_clock_offset,
            f.max_latency,
            f.calls_while_unresponsive
        ),
        (0.01, 0.001, CallsWhileUnresponsive::ListsLost)
    );
    assert_eq!(
        (s.per_call, s.attempts, s.streams, s.descriptors),
        (4, 3, 2, 1024)
    );
    assert_eq!(
        (s.cancelling, s.hedging, s.retry_after, s.marks_repeats),
        (true, false, true, true)
    );
    assert_eq!(
        (s.drain_grace_s, s.connect_timeout_s, s.idle_timeout_s),
        (0.5, 2.0, 30.0)
    );
    let budget = s.budget.as_ref().map(|b| (b.free, b.share, b.window_s));
    let slow_start = s.slow_start.as_ref().map(|c| {
        (
            c.initial_share,
            c.duration_s,
            c.overload_multiple,
            c.overload_window_s,
        )
    });
    assert_eq!(
        (budget, slow_start),
        (Some((10.0, 0.2, 5.0)), Some((0.25, 12.0, 2.0, 1.0)))
    );
    assert_eq!(
        (l.rate, l.skew, l.retries, l.retry_delay_s),
        (1.1965811965811965, 3.0, 3, 0.2)
    );
    assert_eq!((l.honors_retry_after, l.disconnect_share), (true, 0.05));
    let peers = script
        .peers
        .as_ref()
        .map(|p| (p.loss, p.duplication, p.max_delay_s));
    assert_eq!(peers, Some((0.3, 0.02, 1.0)));
}

#[test]
fn query_types_read_as_they_did() {
    let script = every_key();
    let [browse, check, order] = &script.query_types[..] else {
        panic!("three query types")
    };
    assert_eq!(
        (
            browse.name.as_str(),
            check.name.as_str(),
            order.name.as_str()
        ),
        ("browse", "check-out", "order")
    );
    let repeats = [browse.repeats, check.repeats, order.repeats];
    assert_eq!(
        repeats,
        [
            Repeats::Idempotent,
            Repeats::Tokened,
            Repeats::NonIdempotent
        ]
    );
    assert_eq!(
        (
            browse.share,
            browse.latency_target_s,
            browse.client_timeout_s
        ),
        (3.0, 0.6, 1.7999999999999998)
    );
    assert_eq!(
        (browse.token_window_s, browse.any_holder, check.any_holder),
        (2.0, false, true)
    );
    assert_eq!(
        (
            browse.complete_weight,
            browse.minimum_weight,
            browse.second_step_parts
        ),
        (1.0, 0.5, 2)
    );
    assert_eq!(
        (browse.min_parts, browse.max_parts, browse.work_s),
        (2, 4, 0.1)
    );
}

#[test]
fn faults_of_every_kind_read_as_they_did() {
    let faults = every_key().faults;
    let names: Vec<&str> = faults.iter().map(|fault| fault.kind.name()).collect();
    assert_eq!(names, FaultKind::NAMES);
    assert_eq!((faults[0].at, faults[0].duration), (1.0, 0.5));
    assert_eq!(
        faults[0].kind,
        FaultKind::Crash {
            replicas: vec![0, 3],
            listed_after_s: 0.25
        }
    );
    assert_eq!(
        faults[4].kind,
        FaultKind::Slow {
            replicas: vec![1],
            factor: 8.0
        }
    );
    assert_eq!(
        faults[12].kind,
        FaultKind::SlowReads {
            replicas: vec![1],
            accept_delay_s: 0.5,
            read_delay_s: 0.25
        }
    );
    assert_eq!(
        faults[13].kind,
        FaultKind::Partition {
            from: 0,
            to: 1,
            both: true
        }
    );
    assert_eq!(
        faults[14].kind,
        FaultKind::DiscoveryUnresponsive {
            co_ordinators: vec![0, 2]
        }
    );
    assert_eq!(faults[22].kind, FaultKind::MalformedRequests { rate: 5.0 });
}

#[rstest]
#[case::kept("kept", CallsWhileUnresponsive::Delayed)]
#[case::lists_lost("lists_lost", CallsWhileUnresponsive::ListsLost)]
#[case::lost("lost", CallsWhileUnresponsive::Lost)]
fn calls_to_an_unresponsive_discovery(#[case] name: &str, #[case] calls: CallsWhileUnresponsive) {
    let text = EVERY_KEY.replace("\"lists_lost\"", &format!("{name:?}"));
    let script = Script::read("x", &text).unwrap_or_else(|bad| panic!("{bad}"));
    assert_eq!(script.fleet.calls_while_unresponsive, calls);
    assert_eq!(script.text(), text);
}

/// Every line of the script by itself, with its number.
fn keys() -> Vec<(String, String)> {
    let lines = EVERY_KEY
        .lines()
        .enumerate()
        .filter(|(_, line)| line.contains(" = "));
    lines
        .map(|(n, line)| (format!("line {}, {line}", n + 1), line.to_string()))
        .collect()
}

/// The script with one of its lines in another form; none: without it.
fn with_line(name: &str, to: Option<String>) -> String {
    let number = name
        .split([' ', ','])
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok())
        .expect("a number");
    let mut lines: Vec<String> = EVERY_KEY.lines().map(String::from).collect();
    match to {
        Some(line) => lines[number - 1] = line,
        None => drop(lines.remove(number - 1)),
    }
    lines.join("\n") + "\n"
}

/// In one line: why a text is refused, or whether it reads as another script.
fn outcome(text: &str) -> String {
    match Script::read("day.toml", text) {
        Err(bad) => format!("refused, {}", bad.to_string().replace('\n', " / ")),
        Ok(script) if script == every_key() => "taken, the same".into(),
        Ok(_) => "taken, another".into(),
    }
}

#[test]
fn a_script_without_one_of_its_keys_fares_as_it_did() {
    for (name, _) in keys() {
        let today = outcome(&with_line(&name, None));
        assert_eq!(
            records("script-missing.txt").text(&name, &today),
            today,
            "{name}"
        );
    }
}

#[test]
fn a_script_with_a_key_of_another_type_fares_as_it_did() {
    for (name, line) in keys() {
        let (key, value) = line.split_once(" = ").expect("a key and its value");
        let odd = if value.starts_with('"') {
            "7"
        } else {
            "\"odd\""
        };
        let today = outcome(&with_line(&name, Some(format!("{key} = {odd}"))));
        assert_eq!(
            records("script-ill-typed.txt").text(&name, &today),
            today,
            "{name}"
        );
    }
}

#[test]
fn a_script_with_an_unknown_key_fares_as_it_did() {
    for (name, line) in keys() {
        let today = outcome(&with_line(&name, Some(format!("novel = 1\n{line}"))));
        assert_eq!(
            records("script-unknown.txt").text(&name, &today),
            today,
            "{name}"
        );
    }
}

#[test]
fn every_key_has_its_records() {
    let mut names: Vec<String> = keys().into_iter().map(|key| key.0).collect();
    names.sort();
    for file in [
        "script-missing.txt",
        "script-ill-typed.txt",
        "script-unknown.txt",
    ] {
        assert_eq!(records(file).names(), names, "{file}");
    }
}

#[test]
fn saved_scripts_are_written_as_they_were() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scripts");
    let files = std::fs::read_dir(folder).expect("the scripts are there");
    for file in files {
        let path = file.expect("a script").path();
        let name = path
            .file_name()
            .expect("it has a name")
            .to_string_lossy()
            .into_owned();
        let text = std::fs::read_to_string(&path).expect("it is there");
        let script = Script::read(&name, &text).unwrap_or_else(|bad| panic!("{bad}"));
        assert_eq!(
            Script::read(&name, &script.text()).as_ref(),
            Ok(&script),
            "{name}"
        );
        let today = digest(&script.text());
        assert_eq!(
            records("saved-scripts.txt").text(&name, &today),
            today,
            "{name}"
        );
    }
}

/// A seed that was noted in a report still draws the same script.
#[test]
fn seeds_draw_the_scripts_that_they_drew() {
    let days = (0..20).map(|seed| (format!("day {seed}"), Script::draw(seed, &[], None)));
    let tiers = (0..5).map(|seed| (format!("tier {seed}"), Script::draw_tier(seed)));
    for (name, script) in days.chain(tiers) {
        let today = digest(&script.text());
        assert_eq!(
            records("drawn-scripts.txt").text(&name, &today),
            today,
            "{name}"
        );
    }
}

fn terms() -> Terms {
    let repeats = woadreach_invariants::Repeats::Idempotent;
    let browse = QueryTerms {
        name: "browse".into(),
        repeats,
        complete_weight: 1.0,
        minimum_weight: 1.0,
        second_step_parts: 0,
    };
    Terms {
        query_types: vec![browse],
        answer_grace: 0.05,
        drain_grace: 0.5,
        slow_start: None,
        retry_budget: None,
        slack: 0.05,
        max_link_latency: 0.001,
    }
}

/// The record of one search: asked, sent, made and answered.
fn record() -> Rc<RefCell<Record>> {
    let (node, search) = (CoordinatorId(0), std::sync::Arc::from("s"));
    let part = PartName {
        search: std::sync::Arc::clone(&search),
        shard: 0,
        second_step: false,
    };
    let (replica, value): (std::sync::Arc<str>, _) = ("r-1".into(), "v".into());
    let record = Rc::new(RefCell::new(Record::new(terms(), vec![0.5], true)));
    let recorder = Record::recorder(&record, || 10.0);
    let (first_byte_at, last_byte_at, work) = (10.0, 10.0, 0.1);
    recorder.record(EventKind::CoordinatorStarted { node });
    let parts = std::sync::Arc::from([ShardWeight {
        shard: 0,
        weight: 1.0,
    }]);
    recorder.record(EventKind::Requested {
        node,
        search: search.clone(),
        query_type: 0,
        parts,
        deadline: 11.0,
    });
    let (first_step_shards, first_step_complete) = (Vec::new(), None);
    let (to, of) = (replica.clone(), part.clone());
    recorder.record(EventKind::PartReceived {
        node,
        replica: to,
        part: of,
        first_byte_at,
        last_byte_at,
        work,
        first_step_shards,
        first_step_complete,
    });
    recorder.record(EventKind::PartCompleted {
        node,
        replica,
        part,
        value,
    });
    recorder.record(EventKind::Answered {
        search,
        complete: true,
        rows: vec![ShardValue {
            shard: 0,
            value: "v".into(),
        }],
    });
    record
}

#[test]
fn a_record_keeps_its_digest() {
    let record = record();
    let record = record.borrow();
    assert!(record.breaches.is_empty(), "{:?}", record.breaches);
    let today = record.digest();
    assert_eq!(records("digests.txt").text("one search", &today), today);
    let today = digest("");
    assert_eq!(records("digests.txt").text("nothing", &today), today);
}

#[test]
fn a_trace_is_written_as_it_was() {
    let record = record();
    let trace = record.borrow().trace.clone().expect("it is kept");
    let line = |event: &Event| serde_json::to_string(event).expect("it is JSON") + "\n";
    let today: String = trace.iter().map(line).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/trace.jsonl");
    assert_eq!(recorded::file(path, &today), today);
}

#[test]
fn an_outcome_is_written_as_it_was() {
    let kind = FaultKind::LoadBurst { factor: 2.0 }.name();
    let recovery = Recovery {
        kind,
        started_at_s: 5.0,
        duration_s: 1.5,
        share_before: 1.0,
        share_during: 0.5,
        back_after_s: Some(2.25),
        missed_searches: 3.5,
        attempts_per_search: 1.25,
    };
    let never = Recovery {
        back_after_s: None,
        ..recovery.clone()
    };
    let breach = Breach {
        rule: Rule::Budget,
        at: 9.0,
        search: None,
        why: "why".into(),
        proof: Vec::new(),
    };
    let outcome = Outcome {
        seed: 7,
        digest: "0123456789abcdef".into(),
        breaches: vec![breach],
        seconds: 30.5,
        steps: 1,
        events: 2,
        searches: 3,
        answered_in_time: 4,
        attempts: 5,
        datagrams: 6,
        datagram_bytes: 8,
        verdicts: vec![VerdictAdoption {
            at_s: 1.5,
            node: CoordinatorId(2),
            zone: 1,
            epoch: 3,
        }],
        recoveries: vec![recovery, never],
        trace: vec![Event {
            at: 0.0,
            kind: EventKind::CoordinatorStarted {
                node: CoordinatorId(0),
            },
        }],
    };
    let today = serde_json::to_string(&outcome).expect("it is JSON");
    assert_eq!(records("outcome.txt").text("outcome", &today), today);
}
