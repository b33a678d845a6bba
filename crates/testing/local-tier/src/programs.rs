//! Where the built programs are.

use std::path::{Path, PathBuf};

/// The folder of the programs that were built with this one: its own, or that of the release build beside it.
pub fn built_programs() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folders = own.ancestors().skip(1).take(2).map(Path::to_path_buf);
    let release = own.ancestors().nth(3).map(|target| target.join("release"));
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
