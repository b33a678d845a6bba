//! What the journal needs of a file system, and real files.

use std::fmt;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

use rustix::fs::fdatasync;

use crate::error::JournalError;

/// One of the two files of a journal. Their names never change, so that no rename has to be made durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// File `slot-a`.
    A,
    /// File `slot-b`.
    B,
}

impl Slot {
    /// Both slots.
    pub const ALL: [Slot; 2] = [Slot::A, Slot::B];

    /// The slot that is written next after this one.
    #[must_use]
    pub fn other(self) -> Slot {
        match self {
            Slot::A => Slot::B,
            Slot::B => Slot::A,
        }
    }

    /// Name of the file in the journal's folder.
    #[must_use]
    pub fn file_name(self) -> &'static str {
        match self {
            Slot::A => "slot-a",
            Slot::B => "slot-b",
        }
    }

    pub(crate) fn index(self) -> usize {
        match self {
            Slot::A => 0,
            Slot::B => 1,
        }
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.file_name())
    }
}

/// Two files that can be read whole, written at an offset, cut and synced.
///
/// After a loss of power, each write since the last successful [`Disk::sync`] of that slot may be present,
/// missing or torn.
pub trait Disk: Send {
    /// Whole content of a slot; empty if it was never written.
    ///
    /// # Errors
    /// Any failure of the file system.
    fn read(&mut self, slot: Slot) -> io::Result<Vec<u8>>;

    /// Writes all of `bytes` at `offset`; a later write may be partly done when this fails.
    ///
    /// # Errors
    /// [`io::ErrorKind::StorageFull`] or any other failure of the file system.
    fn write(&mut self, slot: Slot, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a slot to `length` bytes.
    ///
    /// # Errors
    /// Any failure of the file system.
    fn truncate(&mut self, slot: Slot, length: u64) -> io::Result<()>;

    /// Makes everything that was written to a slot durable.
    ///
    /// # Errors
    /// Any failure of the file system; what was written since the last sync is then in doubt.
    fn sync(&mut self, slot: Slot) -> io::Result<()>;
}

/// Real files in a folder.
#[derive(Debug)]
pub struct FileDisk {
    files: [File; 2],
}

impl FileDisk {
    /// Opens or creates the two files in `folder`, which is created if need be.
    ///
    /// # Errors
    /// [`JournalError::Open`].
    pub fn open(folder: &Path) -> Result<FileDisk, JournalError> {
        let failed = |path: &Path, error: &io::Error| JournalError::Open {
            path: path.to_path_buf(),
            kind: error.kind(),
        };
        std::fs::create_dir_all(folder).map_err(|error| failed(folder, &error))?;
        let open = |slot: Slot| {
            let path = folder.join(slot.file_name());
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
