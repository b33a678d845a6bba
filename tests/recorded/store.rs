//! Named records in a text file, in whichever format.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How records stand in a text file.
pub(super) trait Format {
    /// What a record holds.
    type Content: Clone;

    /// All records of a file, in its order.
    fn parse(text: &str) -> Vec<Record<Self::Content>>;

    /// The text that is appended for one record.
    fn format(name: &str, content: &Self::Content) -> String;
}

/// A record and its name.
pub(super) struct Record<Content> {
    pub(super) name: String,
    pub(super) content: Content,
}

/// A text file of records.
pub(super) struct RecordFile {
    path: PathBuf,
    adds_missing: bool,
}

impl RecordFile {
    /// A file, to which missing records are added if `adds_missing`.
    pub(super) fn new(path: PathBuf, adds_missing: bool) -> RecordFile {
        RecordFile { path, adds_missing }
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// All records, in the order of the file; none if it does not exist.
    pub(super) fn records<F: Format>(&self) -> Vec<Record<F::Content>> {
        F::parse(&fs::read_to_string(&self.path).unwrap_or_default())
    }

    /// The record of this name. If it is missing, and missing ones are to be added, `today` becomes it.
    pub(super) fn find_or_add<F: Format>(&self, name: &str, today: &F::Content) -> F::Content {
        let _guard = lock();
        let found = self
            .records::<F>()
            .into_iter()
            .find(|record| record.name == name);
        if let Some(record) = found {
            return record.content;
        }
        assert!(
            self.adds_missing,
            "{}: no record named {name}; WOADREACH_RECORD=1 adds it",
            self.path.display()
        );
        append(&self.path, &F::format(name, today));
        today.clone()
    }
}

/// Whether missing records are to be added.
pub(super) fn is_recording() -> bool {
    std::env::var("WOADREACH_RECORD").is_ok_and(|value| value == "1")
}

/// Held while a record is looked for and added: tests run at the same time.
pub(super) fn lock() -> MutexGuard<'static, ()> {
    static LOOKING: Mutex<()> = Mutex::new(());
    LOOKING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Folder of the records of the crate under test.
pub(super) fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded")
}

/// Appends to a file, which is created if it does not exist.
pub(super) fn append(path: &Path, text: &str) {
    if let Some(parent) = path.parent() {
        fs::create_dir_all(parent).unwrap_or_else(|e| panic!("{}: {e}", parent.display()));
    }
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes()))
        .unwrap_or_else(|e| panic!("{}: {e}", path.display()));
}
