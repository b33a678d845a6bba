//! Records of bytes in blocks: a name, then indented lines of hexadecimal digits.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::{Debug, Display};

use super::hexadecimal::{hex, unhex};
use super::store::{Format, Record, RecordFile, folder, is_recording};

/// Bytes on one line of a file.
const LINE_BYTES: usize = 32;

struct Blocks;

impl Format for Blocks {
    type Content = Vec<u8>;

    fn parse(text: &str) -> Vec<Record<Vec<u8>>> {
        let mut records: Vec<Record<Vec<u8>>> = Vec::new();
        for line in text.lines() {
            if line.starts_with(' ') {
                let record = records.last_mut().expect("a name stands before its bytes");
                record.content.extend(unhex(line.trim()));
            } else {
                let is_new = records.iter().all(|record| record.name != line);
                assert!(is_new, "{line} is recorded twice");
                records.push(Record {
                    name: line.to_owned(),
                    content: Vec::new(),
                });
            }
        }
        records
    }

    fn format(name: &str, content: &Vec<u8>) -> String {
        let lines = content
            .chunks(LINE_BYTES)
            .map(|line| format!("  {}\n", hex(line)));
        format!("{name}\n{}", lines.collect::<String>())
    }
}

/// A file of blocks. One test uses a file, and checks each of its records once.
pub(crate) struct RecordedBytes {
    file: RecordFile,
    checked: RefCell<BTreeSet<String>>,
}

impl RecordedBytes {
    /// The file `tests/recorded/{name}.txt` of the crate under test.
    pub(crate) fn open(name: &str) -> RecordedBytes {
        let path = folder().join(format!("{name}.txt"));
        RecordedBytes {
            file: RecordFile::new(path, is_recording()),
            checked: RefCell::default(),
        }
    }

    /// Checks that the bytes recorded as `name` are read as `value`, and that `value` is written as those
    /// bytes.
    pub(crate) fn check<T: Debug + PartialEq, E: Display>(
        &self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> Result<T, E>,
    ) {
        let written = encode(value);
        let bytes = self.take(name, &written);
        match decode(&bytes) {
            Ok(read) => assert_eq!(&read, value, "{name} is read as another value"),
            Err(error) => panic!("{name} is not read: {error}"),
        }
        assert_eq!(
            hex(&written),
            hex(&bytes),
            "{name} is written in other bytes"
        );
    }

    /// Checks bytes that are only written, not read.
    pub(crate) fn check_bytes(&self, name: &str, written: &[u8]) {
        let bytes = self.take(name, written);
        assert_eq!(
            hex(written),
            hex(&bytes),
            "{name} is written in other bytes"
        );
    }

    /// The bytes recorded as `name`.
    pub(crate) fn bytes(&self, name: &str) -> Vec<u8> {
        let record = self
            .file
            .records::<Blocks>()
            .into_iter()
            .find(|record| record.name == name);
        record
            .unwrap_or_else(|| panic!("no bytes are recorded as {name}"))
            .content
    }

    /// Checks that every record of the file was checked: what was once recorded stays readable.
    pub(crate) fn finish(self) {
        let checked = self.checked.into_inner();
        let records = self.file.records::<Blocks>();
        let left: Vec<&String> = records
            .iter()
            .map(|record| &record.name)
            .filter(|name| !checked.contains(*name))
            .collect();
        assert!(
            left.is_empty(),
            "{}: not checked: {left:?}",
            self.file.path().display()
        );
    }

    fn take(&self, name: &str, written: &[u8]) -> Vec<u8> {
        assert!(
            self.checked.borrow_mut().insert(name.to_owned()),
            "{name} is checked twice"
        );
        self.file.find_or_add::<Blocks>(name, &written.to_vec())
    }
}
