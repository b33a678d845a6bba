//! A journal on a disk, synchronous and without threads or clock.

mod replacement;

use std::io;

use crate::disk::Disk;
use crate::error::{DiskOperation, JournalError};
use crate::format::{HEADER_BYTES, Header, encode_frame, encode_header};
use crate::recovery::{LogPosition, Recovered, newest_slot, read_slot};
use crate::slot::Slot;
use crate::synced::Synced;

use replacement::Replacement;

/// Bytes of a snapshot that are written and synced at once.
const CHUNK_BYTES: usize = 256 << 10;

/// A journal on a [`Disk`].
pub struct Engine {
    disk: Box<dyn Disk>,
    /// Slot in use and the end of its log. Everything before the end is synced.
    position: LogPosition,
    /// Limit on the bytes of both slots together.
    max_bytes: u64,
    /// A replacement failed while its header was written, so recovery might choose its slot as the newer one.
    /// That slot must be emptied, and this be `false`, before anything else is appended.
    is_replacement_uncertain: bool,
    /// The replacement under way.
    replacement: Option<Replacement>,
    chunk_bytes: usize,
}

impl Engine {
    /// Recovers the journal on `disk`. The two slots together never exceed `max_bytes`.
    ///
    /// # Errors
    /// [`JournalError::Corrupt`] if acknowledged data is corrupt, [`JournalError::Version`] if it has another
    /// format, [`JournalError::Io`] if the disk fails.
    pub fn open(
        mut disk: Box<dyn Disk>,
        max_bytes: u64,
    ) -> Result<(Engine, Recovered), JournalError> {
        let contents = [
            read_slot(disk.as_mut(), Slot::A)?,
            read_slot(disk.as_mut(), Slot::B)?,
        ];
        let Some(found) = newest_slot(&contents)? else {
            let engine = Engine::with_position(disk, LogPosition::of_empty_disk(), max_bytes);
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

    /// Sets how many bytes of a snapshot are written and synced at once; at least 1.
    #[must_use]
    pub fn with_chunk_bytes(mut self, bytes: usize) -> Engine {
        self.chunk_bytes = bytes.max(1);
        self
    }

    /// How many bytes of a snapshot are written and synced at once.
    pub(crate) fn chunk_bytes(&self) -> usize {
        self.chunk_bytes
    }

    /// Appends `records` in one frame and syncs it.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]. None of the records is acknowledged then; after the
    /// latter they may be recovered after a restart all the same.
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
            replacement.tail.push(records.to_vec());
        }
        Ok(Synced::receipt())
    }

    /// Header of the slot that follows the one in use.
    fn next_header(&self, snapshot: &[u8]) -> Header {
        Header {
            generation: self.position.generation + 1,
            snapshot_length: snapshot.len() as u64,
            snapshot_checksum: crc32fast::hash(snapshot),
        }
    }

    /// Bytes of the log since the last snapshot.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.position.end - self.position.log_start
    }

    /// Writes the header of the first slot on an empty disk.
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

    /// Empties a slot that has been replaced, so that corruption of the newer one cannot bring it back, or in
    /// which a replacement has failed, so that it uses no space. A failure is logged only: the slot in use is
    /// durable, and recovery prefers it by its generation.
    fn empty_slot(&mut self, slot: Slot) {
        let emptied = self
            .disk
            .truncate(slot, 0)
            .and_then(|()| self.disk.sync(slot));
        if let Err(error) = emptied {
            tracing::warn!(%slot, %error, "unused slot not emptied");
        }
    }

    /// Truncates what follows the last complete frame, and syncs the frames: a process that was killed may
    /// have written them without a sync.
    fn truncate_torn_tail(&mut self, content_length: u64) -> Result<(), JournalError> {
        let (slot, end) = (self.position.slot, self.position.end);
        if content_length > end {
            self.truncate(slot, end)?;
        }
        self.sync(slot)
    }

    /// Writes to a slot within the limit of both slots together. The space of a replacement counts as used.
    fn write(&mut self, slot: Slot, offset: u64, bytes: &[u8]) -> Result<(), JournalError> {
        let wanted = bytes.len() as u64;
        let other_end = match &self.replacement {
            _ if slot != self.position.slot => self.position.end,
            Some(replacement) => (HEADER_BYTES + replacement.written) as u64,
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
