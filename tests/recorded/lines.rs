//! Records of texts, one a line: a name, a colon and the text.

use super::hexadecimal::{hex, unhex};
use super::store::{Format, Record, RecordFile, is_recording};

struct Lines;

impl Format for Lines {
    type Content = String;

    fn parse(text: &str) -> Vec<Record<String>> {
        let record = |line: &str| {
            let (name, text) = line
                .split_once(": ")
                .unwrap_or_else(|| panic!("no record: {line}"));
            Record {
                name: name.to_owned(),
                content: text.to_owned(),
            }
        };
        text.lines()
            .filter(|line| !line.is_empty() && !line.starts_with('#'))
            .map(record)
            .collect()
    }

    fn format(name: &str, content: &String) -> String {
        format!("{name}: {content}\n")
    }
}

/// A file of lines.
pub(crate) struct Records {
    file: RecordFile,
}

impl Records {
    /// The file at `path`, to which missing records are added if `WOADREACH_RECORD` asks for it.
    pub(crate) fn at(path: &str) -> Records {
        Records::recording(path, is_recording())
    }

    /// The file at `path`, to which missing records are added if `adds_missing`.
    pub(crate) fn recording(path: &str, adds_missing: bool) -> Records {
        Records {
            file: RecordFile::new(path.into(), adds_missing),
        }
    }

    /// The names of all records, sorted.
    pub(crate) fn names(&self) -> Vec<String> {
        let records = self.file.records::<Lines>();
        let mut names: Vec<String> = records.into_iter().map(|record| record.name).collect();
        names.sort();
        names
    }

    /// The record of this name; `today` is what would be recorded.
    pub(crate) fn text(&self, name: &str, today: &str) -> String {
        self.file.find_or_add::<Lines>(name, &today.to_owned())
    }

    /// As `text`, of bytes that are kept as hexadecimal digits.
    pub(crate) fn bytes(&self, name: &str, today: &[u8]) -> Vec<u8> {
        unhex(&self.text(name, &hex(today)))
    }
}
