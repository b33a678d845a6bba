//! Storage interface of the journal and its implementation on files.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

use rustix::fs::fdatasync;

use crate::error::JournalError;
use crate::slot::Slot;

/// Two files that can be read, written at an offset, truncated and synced.
///
/// After a power loss, each write and truncation since the last successful [`Disk::sync`] of that slot may be
/// present, missing or torn.
pub trait Disk: Send {
    /// Reads the whole content of a slot. A slot that was never written is empty.
    ///
    /// # Errors
    /// Any file system error.
    fn read(&mut self, slot: Slot) -> io::Result<Vec<u8>>;

    /// Writes all of `bytes` at byte `offset`. After an error, any part of `bytes` may have been written.
    ///
    /// # Errors
    /// [`io::ErrorKind::StorageFull`] or any other file system error.
    fn write(&mut self, slot: Slot, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of a slot to `length` bytes.
    ///
    /// # Errors
    /// Any file system error.
    fn truncate(&mut self, slot: Slot, length: u64) -> io::Result<()>;

    /// Makes all earlier writes and truncations of a slot durable.
    ///
    /// # Errors
    /// Any file system error. It is then unknown whether the changes since the last sync are durable.
    fn sync(&mut self, slot: Slot) -> io::Result<()>;
}

/// The two slots as files in one folder, named by a prefix and [`Slot::file_name`].
#[derive(Debug)]
pub struct FileDisk {
    files: [File; 2],
}

impl FileDisk {
    /// Opens the two files without a prefix in `folder`. Creates the folder and the files if they do not exist.
    ///
    /// # Errors
    /// [`JournalError::Open`] if the folder cannot be created or a file cannot be opened.
    pub fn open(folder: &Path) -> Result<FileDisk, JournalError> {
        FileDisk::open_with_prefix(folder, "")
    }

    /// Opens the two files whose names begin with `prefix` in `folder`, so that several journals can share a folder.
    /// Creates the folder and the files if they do not exist.
    ///
    /// # Errors
    /// [`JournalError::Open`] if the folder cannot be created or a file cannot be opened.
    pub fn open_with_prefix(folder: &Path, prefix: &str) -> Result<FileDisk, JournalError> {
        let failed = |path: &Path, error: &io::Error| JournalError::Open {
            path: path.to_path_buf(),
            kind: error.kind(),
        };
        std::fs::create_dir_all(folder).map_err(|error| failed(folder, &error))?;
        let open = |slot: Slot| {
            let path = folder.join(format!("{prefix}{slot}"));
            OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(&path)
                .map_err(|error| failed(&path, &error))
        };
        Ok(FileDisk {
            files: [open(Slot::A)?, open(Slot::B)?],
        })
    }

    fn file(&self, slot: Slot) -> &File {
        &self.files[slot.index()]
    }
}

impl Disk for FileDisk {
    fn read(&mut self, slot: Slot) -> io::Result<Vec<u8>> {
        let file = self.file(slot);
        let length = usize::try_from(file.metadata()?.len()).unwrap_or(usize::MAX);
        let mut content = vec![0; length];
        let mut filled = 0;
        while filled < length {
            let count = file.read_at(&mut content[filled..], filled as u64)?;
            if count == 0 {
                break;
            }
            filled += count;
        }
        content.truncate(filled);
        Ok(content)
    }

    fn write(&mut self, slot: Slot, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(slot).write_all_at(bytes, offset)
    }

    fn truncate(&mut self, slot: Slot, length: u64) -> io::Result<()> {
        self.file(slot).set_len(length)
    }

    fn sync(&mut self, slot: Slot) -> io::Result<()> {
        fdatasync(self.file(slot)).map_err(io::Error::from)
    }
}
