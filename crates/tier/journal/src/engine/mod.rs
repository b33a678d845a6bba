//! Synchronous journal on a [`Disk`]. It uses no threads and reads no clock.

mod replacement;

use std::io;

use crate::disk::Disk;
use crate::error::{DiskOperation, JournalError};
use crate::format::{HEADER_BYTES, Header, encode_frame, encode_header};
use crate::recovery::{LogPosition, Recovered, newest_slot, read_slot};
use crate::slot::Slot;
use crate::synced::Synced;

use replacement::Replacement;

/// Bytes of a snapshot per chunk. Each chunk is one write and one sync.
const CHUNK_BYTES: usize = 256 << 10;

/// Synchronous journal on a [`Disk`].
pub struct Engine {
    disk: Box<dyn Disk>,
    /// Current slot and the end of its log. All bytes before the end are synced.
    position: LogPosition,
    /// Limit on the total bytes of both slots.
    max_bytes: u64,
    /// A replacement failed while its header was written or synced, so recovery might choose its slot as the
    /// newer one. That slot must be emptied before the next append, which resets this to `false`.
    is_replacement_uncertain: bool,
    /// Replacement in progress, if any.
    replacement: Option<Replacement>,
    /// Bytes of a snapshot per chunk, at least 1.
    chunk_bytes: usize,
}

impl Engine {
    /// Recovers the journal on `disk`. A write that would make the two slots together exceed `max_bytes` fails.
    ///
    /// # Errors
    /// [`JournalError::Corrupt`] if data that may have been acknowledged is corrupt, [`JournalError::Version`]
    /// if a slot has another format version, [`JournalError::Io`] if the disk fails.
    pub fn open(
        mut disk: Box<dyn Disk>,
        max_bytes: u64,
    ) -> Result<(Engine, Recovered), JournalError> {
        let contents = [
            read_slot(disk.as_mut(), Slot::A)?,
            read_slot(disk.as_mut(), Slot::B)?,
        ];
        let Some(found) = newest_slot(&contents)? else {
            let engine = Engine::with_position(disk, LogPosition::for_empty_disk(), max_bytes);
            return Ok((
                engine,
                Recovered {
                    was_empty: true,
                    ..Recovered::default()
                },
            ));
        };
        let mut engine = Engine::with_position(disk, found.position, max_bytes);
        engine.truncate_torn_tail(found.content_length)?;
        let other = engine.position.slot.other();
        if !contents[other.index()].is_empty() {
            engine.empty_slot(other);
        }
        Ok((engine, found.recovered))
    }

    fn with_position(disk: Box<dyn Disk>, position: LogPosition, max_bytes: u64) -> Engine {
        Engine {
            disk,
            position,
            max_bytes,
            is_replacement_uncertain: false,
            replacement: None,
            chunk_bytes: CHUNK_BYTES,
        }
    }

    /// Sets the bytes of a snapshot per chunk (one write and one sync each). 0 is raised to 1.
    #[must_use]
    pub fn with_chunk_bytes(mut self, bytes: usize) -> Engine {
        self.chunk_bytes = bytes.max(1);
        self
    }

    pub(crate) fn chunk_bytes(&self) -> usize {
        self.chunk_bytes
    }

    /// Appends `records` to the log as one frame and syncs it.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]. No record is acknowledged then. After
    /// [`JournalError::Io`], a restart may still recover the records.
    pub fn append_batch(&mut self, records: &[Vec<u8>]) -> Result<Synced, JournalError> {
        self.initialize()?;
        self.discard_uncertain_replacement()?;
        let position = &self.position;
        let frame = encode_frame(
            position.generation,
            position.sequence,
            position.checksum,
            records,
        );
        let (slot, offset) = (position.slot, position.end);
        self.write(slot, offset, &frame.bytes)?;
        self.sync(slot)?;
        self.position.advance(frame.bytes.len(), frame.checksum);
        if let Some(replacement) = &mut self.replacement {
            replacement.appended_batches.push(records.to_vec());
        }
        Ok(Synced::receipt())
    }

    /// Header for the next generation, with `snapshot` as its snapshot.
    fn next_header(&self, snapshot: &[u8]) -> Header {
        Header {
            generation: self.position.generation + 1,
            snapshot_length: snapshot.len() as u64,
            snapshot_checksum: crc32fast::hash(snapshot),
        }
    }

    /// Bytes of the frames appended since the last snapshot.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.position.end - self.position.log_start
    }

    /// On an empty disk, writes and syncs the header of the first slot. Otherwise does nothing.
    fn initialize(&mut self) -> Result<(), JournalError> {
        if self.position.generation > 0 {
            return Ok(());
        }
        let header = self.next_header(&[]);
        let position = LogPosition::after_snapshot(self.position.slot.other(), &header);
        self.write(position.slot, 0, &encode_header(&header))?;
        self.truncate(position.slot, position.end)?;
        self.sync(position.slot)?;
        self.position = position;
        Ok(())
    }

    /// Empties the unused slot. After a successful replacement, this prevents recovery from falling back to
    /// the old slot if the new one becomes corrupt. After a failed replacement, it frees the space. An error
    /// is only logged, because the current slot is durable and recovery prefers it by its generation.
    fn empty_slot(&mut self, slot: Slot) {
        let emptied = self
            .disk
            .truncate(slot, 0)
            .and_then(|()| self.disk.sync(slot));
        if let Err(error) = emptied {
            tracing::warn!(%slot, %error, "unused slot not emptied");
        }
    }

    /// Truncates the bytes after the last complete frame and syncs the slot. The sync is needed because a
    /// process that was killed may have written its last frame without a sync.
    fn truncate_torn_tail(&mut self, content_length: u64) -> Result<(), JournalError> {
        let (slot, end) = (self.position.slot, self.position.end);
        if content_length > end {
            self.truncate(slot, end)?;
        }
        self.sync(slot)
    }

    /// Writes to a slot if both slots together stay within `max_bytes`. Bytes that a replacement in progress
    /// has written count as used.
    fn write(&mut self, slot: Slot, offset: u64, bytes: &[u8]) -> Result<(), JournalError> {
        let wanted = bytes.len() as u64;
        let other_end = match &self.replacement {
            _ if slot != self.position.slot => self.position.end,
            Some(replacement) => (HEADER_BYTES + replacement.written_bytes) as u64,
            None => 0,
        };
        if offset + wanted + other_end > self.max_bytes {
            return Err(JournalError::Full { slot, wanted });
        }
        self.disk
            .write(slot, offset, bytes)
            .map_err(|error| match error.kind() {
                io::ErrorKind::StorageFull
                | io::ErrorKind::QuotaExceeded
                | io::ErrorKind::FileTooLarge => JournalError::Full { slot, wanted },
                kind => JournalError::Io {
                    slot,
                    operation: DiskOperation::Write,
                    kind,
                },
            })
    }

    fn truncate(&mut self, slot: Slot, length: u64) -> Result<(), JournalError> {
        let failed = |error: io::Error| JournalError::Io {
            slot,
            operation: DiskOperation::Truncate,
            kind: error.kind(),
        };
        self.disk.truncate(slot, length).map_err(failed)
    }

    fn sync(&mut self, slot: Slot) -> Result<(), JournalError> {
        let failed = |error: io::Error| JournalError::Io {
            slot,
            operation: DiskOperation::Sync,
            kind: error.kind(),
        };
        self.disk.sync(slot).map_err(failed)
    }
}
