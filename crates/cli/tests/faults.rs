//! The command from outside: exit codes, what goes to which stream, and that runs are the same again.

use rstest::rstest;
use std::process::{Command, Output};

fn woadreach(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_woadreach"))
        .args(arguments)
        .output()
        .unwrap()
}

fn out(of: &Output) -> String {
    String::from_utf8(of.stdout.clone()).unwrap()
}

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("woadreach-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[rstest]
#[case::no_subcommand(&["faults"], "Usage")]
#[case::seeds_backwards(&["faults", "run", "--seeds", "9..3"], "expected A..B")]
#[case::no_seeds(&["faults", "run", "--seeds", "many"], "expected A..B")]
#[case::no_such_kind(&["faults", "run", "--seeds", "0..1", "--only", "hail"], "there are die, vanish")]
#[case::too_long(&["faults", "run", "--seeds", "0..1", "--until", "9999"], "1 to 600 seconds")]
#[case::no_such_file(&["faults", "replay", "/no/such.toml"], "expected a seed or a script")]
#[cfg_attr(not(feature = "mutations"), case::no_mutations(&["faults", "mutations"], "--features mutations"))]
fn invalid_usage_is_reported(#[case] arguments: &[&str], #[case] why: &str) {
    let ended = woadreach(arguments);
    let stderr = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!((ended.status.code(), ended.stdout.len()), (Some(2), 0));
    assert!(stderr.contains(why), "{stderr}");
}

/// A script that cannot be used: where, and what was expected; nothing is played.
#[rstest]
#[case::not_a_number("seconds = ", "seconds = \"x\" #", ":2:11: invalid type")]
#[case::over_the_limits("co_ordinators = ", "co_ordinators = 999 #", "expected 1 to 400")]
fn invalid_scripts_are_reported(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
    let drawn = out(&woadreach(&["faults", "draw", "3"]));
    let path = file(&format!("bad-{}", to.len()), &drawn.replacen(from, to, 1));
    let ended = woadreach(&["faults", "replay", &path]);
    let stderr = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert_eq!(ended.status.code(), Some(2));
    assert!(stderr.contains(&path) && stderr.contains(why), "{stderr}");
}

/// A seed, its script from a file, and a run of it with others beside are the same to the digest.
#[test]
fn a_run_is_the_same_again() {
    let digest = |ended: &Output| {
        assert_eq!(ended.status.code(), Some(0), "{}", out(ended));
        out(ended)
            .lines()
            .find_map(|l| l.strip_prefix("digest ").map(String::from))
            .unwrap()
    };
    let path = file("same", &out(&woadreach(&["faults", "draw", "2"])));
    let trace = file("trace", "");
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
fn results_as_json() {
    let ended = woadreach(&[
        "faults", "run", "--seeds", "0..2", "--until", "6", "--format", "json",
    ]);
    let summary: serde_json::Value = serde_json::from_slice(&ended.stdout).unwrap();
    assert_eq!(
        (
            summary["seeds"].as_u64(),
            summary["broken"].as_array().map(Vec::len)
        ),
        (Some(2), Some(0))
    );
    assert!(summary["searches"].as_u64() > Some(0) && summary["kinds"].is_object());
}

/// Nothing to cut: it is said, and no file is written.
#[test]
fn a_sound_script_is_not_shrunk() {
    let drawn = out(&woadreach(&["faults", "draw", "2"]));
    let seconds = drawn.lines().find(|l| l.starts_with("seconds")).unwrap();
    let path = file("sound", &drawn.replacen(seconds, "seconds = 40.0", 1));
    let to = std::env::temp_dir().join("woadreach-cli-not-written.toml");
    let ended = woadreach(&["faults", "shrink", &path, "--out", &to.to_string_lossy()]);
    assert_eq!(
        (ended.status.code(), out(&ended).trim(), to.exists()),
        (Some(0), "it breaks no rule", false)
    );
}
