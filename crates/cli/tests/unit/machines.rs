//! Machine lists: valid files, and the error for each kind of invalid file.

use super::*;
use quickcheck::quickcheck;
use rstest::rstest;

fn parse(text: &str) -> Result<MachineList, MachineListError> {
    MachineList::parse(Path::new("machines.toml"), text)
}

#[test]
fn the_timeout_is_read_from_the_file_or_the_default() {
    let text = "[[machine]]\nname = \"core-1\"\nmetrics = \"127.0.0.1:7381\"\n";
    let list = parse(text).unwrap();
    assert_eq!(list.timeout, Duration::from_millis(DEFAULT_TIMEOUT_MS));
    assert_eq!(list.machines[0].name, "core-1");
    let list = parse(&format!("timeout_ms = 50\n{text}")).unwrap();
    assert_eq!(list.timeout, Duration::from_millis(50));
}

const MACHINE: &str = "[[machine]]\nname = \"a\"\nmetrics = \"127.0.0.1:1\"\n";

#[rstest]
#[case::empty("", "machines.toml: no [[machine]]")]
#[case::invalid_toml("machine", "machines.toml: TOML parse error at line 1")]
#[case::unknown_field("colour = 1", "unknown field `colour`")]
#[case::no_address("[[machine]]\nname = \"a\"", "missing field `metrics`")]
#[case::no_port("[[machine]]\nname = \"a\"\nmetrics = \"127.0.0.1\"", "at line 3")]
#[case::empty_name(
    "[[machine]]\nname = \"\"\nmetrics = \"127.0.0.1:1\"",
    "machine 1 has an empty name"
)]
#[case::zero_timeout("timeout_ms = 0", "timeout_ms is 0; expected 1 to 60000")]
#[case::long_timeout("timeout_ms = 60001", "timeout_ms is 60001; expected 1 to 60000")]
#[case::negative_timeout("timeout_ms = -1", "at line 1")]
fn an_invalid_file_is_rejected_with_the_reason(#[case] text: &str, #[case] expected: &str) {
    let error = parse(text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn duplicate_names_are_rejected() {
    let error = parse(&format!("{MACHINE}{MACHINE}"))
        .unwrap_err()
        .to_string();
    assert_eq!(error, "machines.toml: two machines are named `a`");
}

#[test]
fn too_many_machines_are_rejected() {
    let many: String = (0..=MAX_MACHINES)
        .map(|number| format!("[[machine]]\nname = \"m{number}\"\nmetrics = \"127.0.0.1:1\"\n"))
        .collect();
    let error = parse(&many).unwrap_err().to_string();
    assert_eq!(
        error,
        "machines.toml: 20001 machines; expected at most 20000"
    );
}

#[test]
fn the_error_for_a_missing_file_has_its_path() {
    let error = MachineList::load(Path::new("/no/such/file.toml")).unwrap_err();
    assert!(
        error.to_string().starts_with("/no/such/file.toml: "),
        "{error}"
    );
}

quickcheck! {
    /// Guards against panics of the parser.
    fn any_text_is_parsed_or_rejected(text: String) -> bool {
        let _ = parse(&text);
        true
    }
}
