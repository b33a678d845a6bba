//! Tests of private items of the module `script`; `src/script/mod.rs` includes this file as a module.

use super::{Fault, Script, ScriptError};
use rstest::rstest;

#[test]
fn drawn_scripts_are_valid_and_read_as_they_were_written() {
    for seed in 0..500 {
        let script = Script::draw(seed, &[], None);
        script
            .check()
            .unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        assert_eq!(
            Script::read("x", &script.text()),
            Ok(script.clone()),
            "seed {seed}"
        );
        assert_eq!(script, Script::draw(seed, &[], None));
    }
}

#[test]
fn only_the_wanted_kinds_are_drawn() {
    let only = ["drain".to_string(), "kill".to_string()];
    let drawn: Vec<Fault> = (0..50)
        .flat_map(|seed| Script::draw(seed, &only, None).faults)
        .collect();
    assert!(
        !drawn.is_empty()
            && drawn
                .iter()
                .all(|f| only.iter().any(|o| o == f.kind.name()))
    );
}

#[rstest]
#[case::unknown_key("seconds =", "second =", Some(2), "seconds")]
#[case::not_a_number("seconds = ", "seconds = \"x\" #", Some(2), "expected f64")]
#[case::too_many(
    "co_ordinators = ",
    "co_ordinators = 999 #",
    None,
    "fleet.co_ordinators is 999, expected 1 to 400"
)]
#[case::unknown_key_of_a_fault("kind = ", "surely = 1\nkind = ", None, "surely")]
#[case::no_such_kind("kind = \"", "kind = \"no_such_", None, "no_such_")]
fn invalid_scripts_are_rejected_with_the_place(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: Option<usize>,
    #[case] why: &str,
) {
    let text = Script::draw(3, &[], None).text().replacen(from, to, 1);
    let error = Script::read("day.toml", &text).unwrap_err();
    let (reason, found) = match &error {
        ScriptError::Syntax {
            message, position, ..
        } => (message.clone(), Some(position.line)),
        ScriptError::Content { message, .. } => (message.clone(), None),
        ScriptError::Invalid { source, .. } => (source.to_string(), None),
    };
    assert!(
        error.to_string().starts_with("day.toml:") && reason.contains(why),
        "{error}"
    );
    assert!(line.is_none() || found == line, "{error}");
}
