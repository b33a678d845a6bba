//! Invalid and unusual input to the binary.

use rstest::rstest;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"tickMs":5.0,"siblings":1,"domain":{"sets":1,"span":1},"limits":{},"guarantees":{},
"requestClasses":[{"aimMs":1000.0,"giveUpMs":3000.0,"repeat":"repeatable"}]}"#;

fn batch(events: &str) -> String {
    let events = events.replace("SETTINGS", SETTINGS).replace('\n', "");
    format!(r#"{{"simTimeMs":1000.0,"groups":[{{"co-ordinatorId":0,"in":[{events}]}}]}}"#) + "\n"
}

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_woadreach-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

const START: &str = r#"["newInstance",7,SETTINGS],["sheet",0,[["U",1,0,0,"a:1",null,0]]],["sync",0,"remembered",1]"#;

#[rstest]
#[case::no_event("", "")]
#[case::unknown_event(r#"["novelty",1]"#, "")]
#[case::not_an_array(r#"7,null,{"x":1}"#, "")]
#[case::undeclared_list(r#"["sync",9,"all",2]"#, "")]
#[case::outcome_of_unknown_part(r#"["closedAttempt",5,0,"a:1","served",1.0,true,null]"#, "")]
#[case::timer_of_unknown_search(r#"["timer","5"],["timer","x"]"#, "")]
#[case::disconnection_of_unknown_search(r#"["withdrawn",5]"#, "")]
#[case::search_is_sent(
    r#"["newRequest",1,0,0,"k",900.0,null,1,-1,1.0,0],["newRequest",2,0,0,"k",900.0,null,1,0,1.0,0]"#,
    r#"["place",2,"a:1""#
)]
#[case::unknown_query_type(r#"["newRequest",1,9,0,"k",900.0,null,1,-1,1.0,0]"#, "")]
#[case::no_parts(
    r#"["newRequest",1,0,0,"k",900.0,null,1,-1,0,0]"#,
    r#"["turnAway",1,0.0]"#
)]
#[case::restart_discards_actions(
    r#"["newRequest",1,0,0,"k",900.0,null,1,-1,0,0],["destroy"],["newInstance",7,SETTINGS]"#,
    ""
)]
fn unusual_events_are_handled(#[case] events: &str, #[case] expected: &str) {
    let comma = if events.is_empty() { "" } else { "," };
    let out = run(&batch(&format!("{START}{comma}{events}")));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success());
    if expected.is_empty() {
        assert_eq!(text, "{\"groups\":[]}\n");
    } else {
        assert!(text.contains(expected), "{text}");
    }
}

#[rstest]
#[case::not_json("{\n", "line 1")]
#[case::no_time("{\"groups\":[]}\n", "simTimeMs")]
#[case::second_line("{\"simTimeMs\":1,\"groups\":[]}\nx\n", "line 2")]
fn a_malformed_line_ends_the_process(#[case] input: &str, #[case] expected: &str) {
    let out = run(input);
    assert!(!out.status.success());
    assert!(String::from_utf8(out.stderr).unwrap().contains(expected));
}

#[rstest]
#[case::tick("tickMs")]
#[case::query_types("requestClasses")]
#[case::latency_target("aimMs")]
fn errors_name_the_missing_setting(#[case] key: &str) {
    let out = run(&batch(
        &START.replace("SETTINGS", &SETTINGS.replace(key, "absent")),
    ));
    assert!(String::from_utf8(out.stderr).unwrap().contains(key));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.contains("\"die\"") && text.contains(key), "{text}");
}
