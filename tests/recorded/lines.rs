//! Records of what crosses a socket or stands in a file, kept beside the tests that read them: a change of
//! the code that alters one byte of them fails. With `WOADREACH_RECORD=1` a test writes a record that is
//! missing; one that is there is never written over: one that is meant
//! to change is taken out by hand first. Tests that compare the names of all records pass from
//! the next run on.

// Each test takes what it needs.
#![allow(dead_code)]

use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// Held while a record is looked for and written: tests run beside each other.
static LOOKING: Mutex<()> = Mutex::new(());

/// A file of records, one a line: a name, a colon and its text.
pub(crate) struct Records {
    path: PathBuf,
    /// Records that are missing are written.
    records: bool,
}

impl Records {
    pub(crate) fn at(path: &str) -> Records {
        Records::recording(path, may_record())
    }

    pub(crate) fn recording(path: &str, records: bool) -> Records {
        Records {
            path: path.into(),
            records,
        }
    }

    fn lines(&self) -> Vec<(String, String)> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        let record = |line: &str| {
            let (name, text) = line
                .split_once(": ")
                .unwrap_or_else(|| panic!("no record: {line}"));
            (name.to_string(), text.to_string())
        };
        text.lines()
            .filter(|line| !line.is_empty() && !line.starts_with('#'))
            .map(record)
            .collect()
    }

    /// The names of all records, in the order of the alphabet.
    pub(crate) fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.lines().into_iter().map(|line| line.0).collect();
        names.sort();
        names
    }

    /// The record of this name; `today` is what would be recorded.
    pub(crate) fn text(&self, name: &str, today: &str) -> String {
        let _looking = LOOKING.lock().unwrap_or_else(PoisonError::into_inner);
        let found = self.lines().into_iter().find(|line| line.0 == name);
        if let Some((_, text)) = found {
            return text;
        }
        assert!(
            self.records,
            "{}: no record named {name}",
            self.path.display()
        );
        append(&self.path, &format!("{name}: {today}\n"));
        today.to_string()
    }

    /// As `text`, of bytes that are kept as hex digits.
    pub(crate) fn bytes(&self, name: &str, today: &[u8]) -> Vec<u8> {
        unhex(&self.text(name, &hex(today)))
    }
}

/// A file that is one record as a whole; `today` is what would be recorded.
pub(crate) fn file(path: &str, today: &str) -> String {
    let path = Path::new(path);
    let _looking = LOOKING.lock().unwrap_or_else(PoisonError::into_inner);
    if !path.exists() {
        assert!(may_record(), "{}: no such record", path.display());
        append(path, today);
    }
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn may_record() -> bool {
    std::env::var("WOADREACH_RECORD").as_deref() == Ok("1")
}

fn append(path: &Path, text: &str) {
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes()))
        .unwrap_or_else(|e| panic!("{}: {e}", path.display()));
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn unhex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16);
    (0..text.len())
        .step_by(2)
        .map(|at| byte(at).unwrap_or_else(|e| panic!("{text}: {e}")))
        .collect()
}

/// What becomes of these bytes with one of them inverted, a letter for each of them: `t` where they are
/// taken, `r` where they are refused.
pub(crate) fn inverted(bytes: &[u8], taken: impl Fn(&[u8]) -> bool) -> String {
    let outcome = |at: usize| {
        let mut bytes = bytes.to_vec();
        bytes[at] = !bytes[at];
        if taken(&bytes) { 't' } else { 'r' }
    };
    (0..bytes.len()).map(outcome).collect()
}
