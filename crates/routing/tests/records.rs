//! How records are kept: read as they stand, written where they are missing and that is asked for, and never
//! written over.

#[path = "../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::{Records, hex, inverted, unhex};

/// The path of a file of this test alone, which is not there yet.
fn fresh(name: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    // It is not there at the first run.
    let _ = std::fs::remove_file(&path);
    path
}

fn content(path: &str) -> String {
    std::fs::read_to_string(path).expect("it is there")
}

#[test]
fn a_missing_record_is_written_if_asked_for() {
    let path = fresh("records-missing.txt");
    let records = Records::recording(&path, true);
    assert_eq!(records.text("b", "one: two"), "one: two");
    assert_eq!(records.bytes("a", &[0, 255]), [0, 255]);
    assert_eq!(content(&path), "b: one: two\na: 00ff\n");
    assert_eq!(records.names(), ["a", "b"]);
}

#[test]
fn a_record_is_never_written_over() {
    let path = fresh("records-kept.txt");
    Records::recording(&path, true).text("a", "before");
    for records in [true, false] {
        assert_eq!(
            Records::recording(&path, records).text("a", "after"),
            "before"
        );
    }
    assert_eq!(content(&path), "a: before\n");
}

#[test]
#[should_panic(expected = "no record named a")]
fn a_missing_record_fails_otherwise() {
    Records::recording(&fresh("records-none.txt"), false).text("a", "today");
}

#[test]
fn a_file_that_is_there_is_never_written_over() {
    let path = fresh("records-file.txt");
    std::fs::write(&path, "before").expect("it is written");
    assert_eq!(recorded::file(&path, "after"), "before");
    assert_eq!(content(&path), "before");
}

#[test]
fn bytes_read_back_from_their_digits() {
    let bytes: Vec<u8> = (0..=255).collect();
    assert_eq!(unhex(&hex(&bytes)), bytes);
}

#[test]
fn each_byte_is_inverted_by_itself() {
    assert_eq!(inverted(&[1, 2, 3], |bytes| bytes != [1, !2, 3]), "trt");
}
