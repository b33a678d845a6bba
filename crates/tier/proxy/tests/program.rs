//! The built program: its command line, and its errors for invalid settings.

mod support;

use std::io::Write;
use std::process::{Command, Output};
use support::settings::edge_settings;
use tempfile::NamedTempFile;

/// Settings without addresses, and with a field that this version does not know.
fn settings() -> String {
    edge_settings("{}", "[7380, 7395]", r#"["127.0.0.1:8144"]"#) + "unheard_of: true\n"
}

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woadreach-proxy"));
    command.env_remove("WOADREACH_NODE_FILE");
    command
}

fn with_settings(text: &str) -> Output {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("room");
    program()
        .env("WOADREACH_NODE_FILE", file.path())
        .output()
        .expect("the program starts")
}

/// Exit code 2 and one line on standard error that names `what`.
fn assert_refused(output: &Output, what: &str) {
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.contains(what), "{errors}");
}

#[test]
fn help_and_version_are_printed() {
    let help = program()
        .arg("--help")
        .output()
        .expect("the program starts");
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("WOADREACH_NODE_FILE"));
    let version = program()
        .arg("--version")
        .output()
        .expect("the program starts");
    assert!(version.status.success());
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("woadreach-proxy "));
}

/// A release build has no switches for measurements.
#[cfg(not(feature = "ablation"))]
#[test]
fn no_mechanism_can_be_switched_off() {
    let output = program()
        .args(["--without", "hedging"])
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn unknown_arguments_are_refused() {
    let output = program()
        .arg("--no-such-thing")
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn missing_settings_are_named() {
    assert_refused(
        &program().output().expect("the program starts"),
        "WOADREACH_NODE_FILE",
    );
    let absent = program()
        .env("WOADREACH_NODE_FILE", "/nonexistent/settings.yaml")
        .output();
    assert_refused(
        &absent.expect("the program starts"),
        "/nonexistent/settings.yaml",
    );
}

#[test]
fn invalid_settings_are_rejected_by_field() {
    assert_refused(&with_settings("node: [1,"), "woadreach-proxy: ");
    assert_refused(
        &with_settings(&settings().replace("zone: \"a\"\n", "")),
        "zone",
    );
    assert_refused(
        &with_settings(&settings().replace("cpu_share: 0.25", "cpu_share: 0")),
        "limits.cpu_share",
    );
}

#[test]
fn an_edge_without_addresses_is_rejected_by_field() {
    assert_refused(&with_settings(&settings()), "listen.front");
    let front_only = settings().replace("listen: {}", "listen: {front: \"127.0.0.1:0\"}");
    assert_refused(&with_settings(&front_only), "listen.ready");
}
