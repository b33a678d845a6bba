//! Handling of record files: records are read unchanged, missing ones are written if requested, and existing ones are
//! never overwritten.

#[path = "../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::{Records, hex, inverted, unhex};

/// Path of a file that does not exist yet, and that only this test uses.
fn new_path(name: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    // Fails if no earlier run has created the file.
    let _ = std::fs::remove_file(&path);
    path
}

fn content(path: &str) -> String {
    std::fs::read_to_string(path).expect("the record file is readable")
}

#[test]
fn a_missing_record_is_written_if_requested() {
    let path = new_path("records-missing.txt");
    let records = Records::recording(&path, true);
    assert_eq!(records.text("b", "one: two"), "one: two");
    assert_eq!(records.bytes("a", &[0, 255]), [0, 255]);
    assert_eq!(content(&path), "b: one: two\na: 00ff\n");
    assert_eq!(records.names(), ["a", "b"]);
}

#[test]
fn a_record_is_never_overwritten() {
    let path = new_path("records-kept.txt");
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
fn a_missing_record_panics_if_recording_is_off() {
    Records::recording(&new_path("records-none.txt"), false).text("a", "today");
}

#[test]
fn an_existing_file_is_never_overwritten() {
    let path = new_path("records-file.txt");
    std::fs::write(&path, "before").expect("the file is written");
    assert_eq!(recorded::file(&path, "after"), "before");
    assert_eq!(content(&path), "before");
}

#[test]
fn bytes_are_decoded_from_hexadecimal_digits() {
    let bytes: Vec<u8> = (0..=255).collect();
    assert_eq!(unhex(&hex(&bytes)), bytes);
}

#[test]
fn each_byte_is_inverted_separately() {
    assert_eq!(inverted(&[1, 2, 3], |bytes| bytes != [1, !2, 3]), "trt");
}
