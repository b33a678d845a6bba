//! Command-line arguments of `woadreach-control`.

use woadreach_control::command_line::{Role, parse};
use woadreach_control::logging::LogFormat;

#[test]
fn roles_and_log_options_are_parsed() {
    let arguments = parse(["woadreach-control", "core"]).expect("arguments");
    assert_eq!(
        (arguments.role, arguments.log_format),
        (Role::Core, LogFormat::Text)
    );
    let arguments = parse([
        "woadreach-control",
        "storage",
        "--log-format",
        "json",
        "--log-filter",
        "debug",
    ]);
    let arguments = arguments.expect("arguments");
    assert_eq!(
        (arguments.role, arguments.log_format),
        (Role::Storage, LogFormat::Json)
    );
    assert_eq!(arguments.log_filter, "debug");
}

#[test]
fn missing_and_unknown_values_are_errors() {
    assert!(parse(["woadreach-control"]).is_err());
    assert!(parse(["woadreach-control", "edge"]).is_err());
    assert!(parse(["woadreach-control", "core", "--log-format", "xml"]).is_err());
}
