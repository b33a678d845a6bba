//! Records that are whole files: one file, or the folder of a disk.

use std::fs;
use std::path::{Path, PathBuf};

use super::store::{append, folder, is_recording, lock};

/// A file that is one record as a whole; `today` is what would be recorded.
pub(crate) fn file(path: &str, today: &str) -> String {
    let path = Path::new(path);
    let _guard = lock();
    if !path.exists() {
        assert!(is_recording(), "{}: no such record", path.display());
        append(path, today);
    }
    fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Folder of a recorded disk, `tests/recorded/{name}` of the crate under test. If it is missing, and
/// recording is asked for, `make` gives the files.
pub(crate) fn recorded_disk(name: &str, make: impl FnOnce(&Path)) -> PathBuf {
    let _guard = lock();
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
