//! Arguments of `woadreach-control`.

use woadreach_control::command_line::{Role, parse};
use woadreach_control::logging::LogFormat;

#[test]
fn roles_and_log_options_are_read() {
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
fn a_missing_or_unknown_role_is_an_error() {
    assert!(parse(["woadreach-control"]).is_err());
    assert!(parse(["woadreach-control", "edge"]).is_err());
    assert!(parse(["woadreach-control", "core", "--log-format", "xml"]).is_err());
}
