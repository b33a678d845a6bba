//! Bytes that were recorded once: today's code must read them as it did then, and write the same again.
//!
//! A crate's tests take this in with `#[path = "../../../../tests/recorded/blocks.rs"] mod recorded;`. The bytes
//! stand in `tests/recorded/` of that crate: a text file holds entries of a name and indented lines of
//! hexadecimal digits, and a folder holds the files of one disk. With `WOADREACH_RECORD=1` a test adds what
//! is missing there; what is there is never replaced.

#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Display, Write};
use std::fs;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// Bytes on one line of a file.
const LINE_BYTES: usize = 32;

/// Entries of one text file. One test uses a file, so that no two write it at a time.
pub(crate) struct RecordedBytes {
    path: PathBuf,
    entries: BTreeMap<String, Vec<u8>>,
    checked: RefCell<BTreeSet<String>>,
}

impl RecordedBytes {
    /// The file `tests/recorded/{name}.txt` of the crate under test.
    pub(crate) fn open(name: &str) -> RecordedBytes {
        let path = folder().join(format!("{name}.txt"));
        let text = fs::read_to_string(&path).unwrap_or_default();
        RecordedBytes {
            path,
            entries: parse(&text),
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
        let bytes = self.entry(name, &written);
        match decode(&bytes) {
            Ok(read) => assert_eq!(&read, value, "{name} is read as another value"),
            Err(error) => panic!("{name} is not read: {error}"),
        }
        assert_eq!(
            hexadecimal(&written),
            hexadecimal(&bytes),
            "{name} is written in other bytes"
        );
    }

    /// Checks bytes that are only written, not read.
    pub(crate) fn check_bytes(&self, name: &str, written: &[u8]) {
        let bytes = self.entry(name, written);
        assert_eq!(
            hexadecimal(written),
            hexadecimal(&bytes),
            "{name} is written in other bytes"
        );
    }

    /// The bytes recorded as `name`.
    pub(crate) fn bytes(&self, name: &str) -> Vec<u8> {
        self.entries
            .get(name)
            .unwrap_or_else(|| panic!("no bytes are recorded as {name}"))
            .clone()
    }

    /// Checks that every entry of the file was checked: what was once recorded stays readable.
    pub(crate) fn finish(self) {
        let checked = self.checked.into_inner();
        let left: Vec<&String> = self
            .entries
            .keys()
            .filter(|name| !checked.contains(*name))
            .collect();
        assert!(
            left.is_empty(),
            "{}: not checked: {left:?}",
            self.path.display()
        );
    }

    fn entry(&self, name: &str, written: &[u8]) -> Vec<u8> {
        assert!(
            self.checked.borrow_mut().insert(name.to_owned()),
            "{name} is checked twice"
        );
        if let Some(bytes) = self.entries.get(name) {
            return bytes.clone();
        }
        assert!(
            is_recording(),
            "nothing is recorded as {name}; WOADREACH_RECORD=1 adds it"
        );
        fs::create_dir_all(folder()).expect("a folder for recorded bytes");
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.path);
        file.and_then(|mut file| file.write_all(format_entry(name, written).as_bytes()))
            .expect("an entry is added");
        written.to_vec()
    }
}

/// What a decoder says to `bytes` cut to each length below their own, as the first length of each run of the
/// same outcome: an error's text, or `read`.
pub(crate) fn outcomes_when_cut<T, E: Display>(
    bytes: &[u8],
    decode: impl Fn(&[u8]) -> Result<T, E>,
) -> Vec<(usize, String)> {
    let mut runs: Vec<(usize, String)> = Vec::new();
    for length in 0..bytes.len() {
        let outcome = outcome(decode(&bytes[..length]));
        if runs.last().is_none_or(|(_, last)| *last != outcome) {
            runs.push((length, outcome));
        }
    }
    runs
}

/// The text of an error, or `read`.
pub(crate) fn outcome<T, E: Display>(result: Result<T, E>) -> String {
    result.map_or_else(|error| error.to_string(), |_| "read".to_owned())
}

/// Folder of a recorded disk, `tests/recorded/{name}` of the crate under test. If it is missing, and
/// recording is asked for, `make` gives the files.
pub(crate) fn recorded_disk(name: &str, make: impl FnOnce(&Path)) -> PathBuf {
    static MAKING: Mutex<()> = Mutex::new(());
    let _one_at_a_time = MAKING.lock().unwrap_or_else(PoisonError::into_inner);
    let path = folder().join(name);
    if !path.exists() {
        assert!(
            is_recording(),
            "no disk is recorded as {name}; WOADREACH_RECORD=1 adds it"
        );
        let made = path.with_extension("new");
        // What an attempt that failed has left is not made on.
        let _ = fs::remove_dir_all(&made);
        fs::create_dir_all(&made).expect("a folder for the disk");
        make(&made);
        fs::rename(&made, &path).expect("the disk is in place");
    }
    path
}

/// Copies the files of a recorded disk: opening a disk changes it.
pub(crate) fn copy_disk(from: &Path, to: &Path) {
    for entry in fs::read_dir(from).expect("a recorded disk") {
        let entry = entry.expect("a file of the disk");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("a file is copied");
    }
}

/// Whether missing entries are to be added.
pub(crate) fn is_recording() -> bool {
    std::env::var("WOADREACH_RECORD").is_ok_and(|value| value == "1")
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded")
}

fn parse(text: &str) -> BTreeMap<String, Vec<u8>> {
    let mut entries = BTreeMap::new();
    let mut name = "";
    for line in text.lines() {
        if line.starts_with(' ') {
            let bytes: &mut Vec<u8> = entries
                .get_mut(name)
                .expect("a name stands before its bytes");
            bytes.extend(parse_line(line.trim()));
        } else {
            name = line;
            let earlier = entries.insert(line.to_owned(), Vec::new());
            assert!(earlier.is_none(), "{name} is recorded twice");
        }
    }
    entries
}

fn parse_line(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len())
        .step_by(2)
        .map(|place| &digits[place..place + 2]);
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal digits"))
        .collect()
}

fn format_entry(name: &str, bytes: &[u8]) -> String {
    let lines = bytes
        .chunks(LINE_BYTES)
        .map(|line| format!("  {}\n", hexadecimal(line)));
    format!("{name}\n{}", lines.collect::<String>())
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a text takes any digit");
        text
    })
}
