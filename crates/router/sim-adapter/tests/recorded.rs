//! The simulator's protocol must not change: for each kind of event, the binary writes the recorded actions.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::Records;
use rstest::rstest;
use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"tickMs":5.0,"siblings":1,"discovery":"subscribe","domain":{"sets":1,"span":1},
"clients":{"marksRetry":true},"limits":{"cancelling":true,"mayDuplicate":true,"retryAfter":true,
"maxRetryAfterMs":2000.0,"connectTimeoutMs":250.0},"guarantees":{"repeatRatio":1.0,"budgetFree":10.0,
"countedOverMs":5000.0},"requestClasses":[{"aimMs":1000.0,"giveUpMs":3000.0,"repeat":"repeatable"},
{"aimMs":1000.0,"giveUpMs":3000.0,"repeat":"once"}]}"#;

const START: &str = r#"["newInstance",7,SETTINGS],["sheet",0,[["U",1,0,0,"a:1",null,0],["U",1,0,0,"a:2",null,0],
["D",1,0,0,"a:3",null,0],["U",1,0,0,"a:4",900.0,0]]],["sync",0,"all",1]"#;

/// A search of two parts, both for shard 0.
const REQUEST: &str = r#"["newRequest",1,0,0,"k",900.0,null,1,-1,1.0,0],
["newRequest",2,0,0,"k",900.0,null,1,0,0.5,0],["newRequest",3,0,0,"k",900.0,null,1,0,0.5,2]"#;

/// A search like [`REQUEST`], with one part that may run only once.
const REQUEST_ONCE: &str = r#"["newRequest",1,1,0,"k",900.0,null,1,-1,1.0,0],
["newRequest",2,1,0,"k",900.0,null,1,0,1.0,0]"#;

fn batch(at: f64, events: &str) -> String {
    let events = events.replace("SETTINGS", SETTINGS).replace('\n', "");
    format!(r#"{{"simTimeMs":{at:?},"groups":[{{"co-ordinatorId":3,"in":[{events}]}}]}}"#) + "\n"
}

fn run(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_woadreach-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("woadreach-simhost starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin
        .write_all(input.as_bytes())
        .expect("woadreach-simhost reads all input");
    drop(stdin);
    let out = child.wait_with_output().expect("woadreach-simhost ends");
    assert!(out.status.success());
    String::from_utf8(out.stdout).expect("the output is text")
}

fn records() -> Records {
    Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/actions.txt"
    ))
}

/// A search without parts.
const REQUEST_WITHOUT_PARTS: &str = r#"["newRequest",1,0,0,"k",900.0,null,1,-1,1.0,0]"#;

/// An endpoint list that changes one replica, and one that names other replicas.
const CHANGES: &str = r#"["sheet",1,[["D",1,0,0,"a:1",null,0]]],["sync",1,"changes",2]"#;
const OTHERS: &str = r#"["sheet",1,[["U",1,0,0,"b:1",null,0]]],["sync",1,"all",2]"#;

/// The output has three lines: for the start, for the first events at 1 s, and for the events 50 ms later.
#[rstest]
#[case::sent("sent", REQUEST, "")]
#[case::answered("whole", REQUEST, r#"["closedAttempt",2,0,"a:1","served",50.0,true,null],
    ["closedAttempt",3,0,"a:1","served",50.0,true,null],["closedAttempt",2,0,"a:2","served",50.0,true,null],
    ["closedAttempt",3,0,"a:2","served",50.0,true,null],["closedAttempt",2,0,"a:4","served",50.0,true,null],
    ["closedAttempt",3,0,"a:4","served",50.0,true,null]"#)]
#[case::client_disconnected("withdrawn", REQUEST, r#"["withdrawn",1]"#)]
#[case::search_timer("timer", REQUEST, r#"["timer","1"]"#)]
#[case::restarted("restarted", REQUEST, r#"["destroy"],["newInstance",7,SETTINGS]"#)]
#[case::remembered_list("remembered", REQUEST, r#"["sync",0,"remembered",2]"#)]
#[case::changed_list("changes", REQUEST, CHANGES)]
#[case::request_after_changes("asked-after-changes", CHANGES, REQUEST)]
#[case::request_after_another_list("asked-after-another-list", OTHERS, REQUEST)]
#[case::no_parts("no-parts", REQUEST_WITHOUT_PARTS, "")]
#[case::refused_list("refused", REQUEST, r#"["sync",0,"refused",2]"#)]
#[case::watch_timer("watch", REQUEST, r#"["timer","watch"]"#)]
#[case::invalid_settings("unsound-start", REQUEST, r#"["newInstance",7,{}]"#)]
fn actions_match_the_records(#[case] name: &str, #[case] request: &str, #[case] later: &str) {
    let input = [
        batch(900.0, START),
        batch(1000.0, request),
        batch(1050.0, later),
    ]
    .concat();
    check(name, &run(&input));
}

/// Actions after each ending of an attempt, for a part that may run again and for one that may not.
#[rstest]
fn actions_after_endings_of_attempts_match_the_records(
    #[values(
        "served",
        "server_error",
        "turned_away",
        "no_answer",
        "no_connection",
        "connection_lost",
        "called_off",
        "not_sent",
        "unheard_of"
    )]
    ending: &str,
) {
    let ended =
        |replica: &str| format!(r#"["closedAttempt",2,0,"{replica}","{ending}",50.0,true,null]"#);
    for (kind, request) in [("repeatable", REQUEST), ("once", REQUEST_ONCE)] {
        let requested = [batch(900.0, START), batch(1000.0, request)].concat();
        let sent = run(&requested);
        let mut replicas = ["a:1", "a:2", "a:4"].into_iter();
        let replica = replicas.find(|r| sent.contains(&format!(r#"["place",2,"{r}""#)));
        let later = batch(1050.0, &ended(replica.expect("the part was sent")));
        check(&format!("{ending} {kind}"), &run(&(requested + &later)));
    }
}

fn check(name: &str, output: &str) {
    let actual = output.trim_end().replace('\n', " / ");
    assert_eq!(records().text(name, &actual), actual, "{name}");
}

/// The records cover all kinds of actions.
#[test]
fn each_kind_of_action_is_recorded() {
    let text: String = records()
        .names()
        .iter()
        .map(|name| records().text(name, ""))
        .collect();
    let kinds = [
        "place",
        "conclude",
        "turnAway",
        "endFailed",
        "setTimer",
        "undoSend",
        "observe",
        "die",
    ];
    let missing: BTreeSet<_> = kinds
        .iter()
        .filter(|kind| !text.contains(&format!("[\"{kind}\",")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
