//! Tests of what `src/script.rs` keeps to itself; that file takes them in as its own module.

use super::*;
use rstest::rstest;

#[test]
fn drawn_scripts_are_sound_and_read_as_they_were_written() {
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
fn only_the_kinds_that_are_asked_for() {
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
fn bad_scripts_are_named(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: Option<usize>,
    #[case] why: &str,
) {
    let text = Script::draw(3, &[], None).text().replacen(from, to, 1);
    let bad = Script::read("day.toml", &text).unwrap_err();
    assert!(
        bad.to_string().starts_with("day.toml:") && bad.why.contains(why),
        "{bad}"
    );
    assert!(line.is_none() || bad.at.map(|at| at.0) == line, "{bad}");
}
