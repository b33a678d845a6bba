//! Finds the folder of the tier's executables.

use std::path::{Path, PathBuf};

/// Returns the first folder with both executables: that of the current executable, the parent of
/// that folder, or `release` two levels above it. Falls back to the folder of the current executable.
pub fn built_programs() -> PathBuf {
    let current_exe = std::env::current_exe().unwrap_or_default();
    let folders = current_exe
        .ancestors()
        .skip(1)
        .take(2)
        .map(Path::to_path_buf);
    let release = current_exe
        .ancestors()
        .nth(3)
        .map(|target| target.join("release"));
    let candidates: Vec<PathBuf> = folders.chain(release).collect();
    let complete = |folder: &&PathBuf| {
        ["woadreach-proxy", "woadreach-control"]
            .iter()
            .all(|program| folder.join(program).exists())
    };
    candidates
        .iter()
        .find(complete)
        .or(candidates.first())
        .cloned()
        .unwrap_or_default()
}
