//! Runs the program `woadreach faults`: exit codes, output streams, and determinism of runs.

use rstest::rstest;
use std::process::{Command, Output};

fn woadreach(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_woadreach"))
        .args(arguments)
        .output()
        .unwrap()
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("woadreach-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[rstest]
#[case::no_subcommand(&["faults"], "Usage")]
#[case::reversed_seed_range(&["faults", "run", "--seeds", "9..3"], "expected A..B")]
#[case::invalid_seed_range(&["faults", "run", "--seeds", "many"], "expected A..B")]
#[case::unknown_fault_kind(&["faults", "run", "--seeds", "0..1", "--only", "hail"], "expected one of die, vanish")]
#[case::duration_out_of_range(&["faults", "run", "--seeds", "0..1", "--until", "9999"], "1 to 600 seconds")]
#[case::missing_file(&["faults", "replay", "/no/such.toml"], "expected a seed or a script")]
#[cfg_attr(not(feature = "mutations"), case::no_mutations(&["faults", "mutations"], "--features mutations"))]
fn invalid_usage_is_reported(#[case] arguments: &[&str], #[case] why: &str) {
    let output = woadreach(arguments);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
    assert!(stderr.contains(why), "{stderr}");
}

/// The error for an invalid script has the path of the file and what is wrong.
#[rstest]
#[case::not_a_number("seconds = ", "seconds = \"x\" #", ":2:11: invalid type")]
#[case::over_the_limits("co_ordinators = ", "co_ordinators = 999 #", "expected 1 to 400")]
fn invalid_scripts_are_reported(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
    let drawn = stdout_text(&woadreach(&["faults", "draw", "3"]));
    let path = write_temp_file(&format!("bad-{}", to.len()), &drawn.replacen(from, to, 1));
    let output = woadreach(&["faults", "replay", &path]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr.contains(&path) && stderr.contains(why), "{stderr}");
}

/// Guards against nondeterministic runs. A seed and its script from a file have the same digest, and so have runs of
/// the same seeds on 1 and on 3 threads.
#[test]
fn runs_are_deterministic() {
    let digest = |output: &Output| {
        assert_eq!(output.status.code(), Some(0), "{}", stdout_text(output));
        stdout_text(output)
            .lines()
            .find_map(|l| l.strip_prefix("digest ").map(String::from))
            .unwrap()
    };
    let path = write_temp_file("same", &stdout_text(&woadreach(&["faults", "draw", "2"])));
    let trace = write_temp_file("trace", "");
    let (seed, script) = (
        woadreach(&["faults", "replay", "2", "--trace", &trace]),
        woadreach(&["faults", "replay", &path]),
    );
    assert_eq!(digest(&seed), digest(&script));
    let first = std::fs::read_to_string(&trace)
        .unwrap()
        .lines()
        .next()
        .map(String::from)
        .unwrap();
    assert!(
        first.starts_with(r#"{"at":1700000000.0,"what":"#),
        "{first}"
    );
    let run = |jobs| {
        woadreach(&[
            "faults", "run", "--seeds", "2..5", "--until", "6", "--jobs", jobs,
        ])
    };
    assert_eq!(digest(&run("1")), digest(&run("3")));
}

#[test]
fn the_summary_is_printed_as_json() {
    let output = woadreach(&[
        "faults", "run", "--seeds", "0..2", "--until", "6", "--format", "json",
    ]);
    let summary: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (
            summary["seeds"].as_u64(),
            summary["broken"].as_array().map(Vec::len)
        ),
        (Some(2), Some(0))
    );
    assert!(summary["searches"].as_u64() > Some(0) && summary["kinds"].is_object());
}

/// `shrink` reports a script that breaks no rule, and writes no file.
#[test]
fn a_script_that_breaks_no_rule_is_not_shrunk() {
    let drawn = stdout_text(&woadreach(&["faults", "draw", "2"]));
    let seconds = drawn.lines().find(|l| l.starts_with("seconds")).unwrap();
    let path = write_temp_file("sound", &drawn.replacen(seconds, "seconds = 40.0", 1));
    let to = std::env::temp_dir().join("woadreach-cli-not-written.toml");
    let output = woadreach(&["faults", "shrink", &path, "--out", &to.to_string_lossy()]);
    assert_eq!(
        (
            output.status.code(),
            stdout_text(&output).trim(),
            to.exists()
        ),
        (Some(0), "the script breaks no rule", false)
    );
}
