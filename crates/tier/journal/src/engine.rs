//! Format and recovery of a journal, synchronous and without threads or clock.

use std::io;

use crate::disk::{Disk, Slot};
use crate::error::JournalError;
use crate::format::{self, HEADER_BYTES, Header};
use crate::recovery::{Position, Recovered, blank_position, newest_slot, read_slot, start_of_log};

/// Bytes of a snapshot that are written and synced at once.
const PIECE_BYTES: usize = 256 << 10;

/// Receipt that records are on disk. Only the journal can make one, so that a message that must not leave
/// before the sync can demand it.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Synced(());

impl Synced {
    /// Receipt for the records that were covered by a sync.
    pub(crate) fn receipt() -> Synced {
        Synced(())
    }
}

/// A snapshot that is being written into the slot that is not in use, while appends go on.
struct Replacement {
    snapshot: Vec<u8>,
    written: usize,
    /// Batches committed since it began.
    tail: Vec<Vec<Vec<u8>>>,
}

/// Journal on a [`Disk`].
pub struct Engine {
    disk: Box<dyn Disk>,
    position: Position,
    max_bytes: u64,
    /// A replacement failed midway: its slot may come out as the newer one after a restart.
    replacement_in_doubt: bool,
    replacement: Option<Replacement>,
    piece_bytes: usize,
}

impl Engine {
    /// Reads what is on `disk`; the two files together stay below `max_bytes`.
    ///
    /// # Errors
    /// [`JournalError::Corrupt`] if acknowledged data is damaged, [`JournalError::Io`] or
    /// [`JournalError::Full`] if the disk does not work.
    pub fn open(
        mut disk: Box<dyn Disk>,
        max_bytes: u64,
    ) -> Result<(Engine, Recovered), JournalError> {
        let contents = [
            read_slot(disk.as_mut(), Slot::A)?,
            read_slot(disk.as_mut(), Slot::B)?,
        ];
        let Some(found) = newest_slot(&contents)? else {
            let position = blank_position();
            let engine = Engine::at(disk, position, max_bytes);
            return Ok((
                engine,
                Recovered {
                    was_empty: true,
                    ..Recovered::default()
                },
            ));
        };
        let position = found.position;
        let mut engine = Engine::at(disk, position, max_bytes);
        engine.settle_recovered(found.content_length)?;
        let other = engine.position.slot.other();
        if !contents[other.index()].is_empty() {
            engine.give_up(other);
        }
        Ok((engine, found.recovered))
    }

    fn at(disk: Box<dyn Disk>, position: Position, max_bytes: u64) -> Engine {
        Engine {
            disk,
            position,
            max_bytes,
            replacement_in_doubt: false,
            replacement: None,
            piece_bytes: PIECE_BYTES,
        }
    }

    /// Sets the bytes of a snapshot that are written and synced at once.
    #[must_use]
    pub fn with_piece_bytes(mut self, bytes: usize) -> Engine {
        self.piece_bytes = bytes.max(1);
        self
    }

    /// Bytes of a snapshot that are written at once.
    pub(crate) fn piece_bytes(&self) -> usize {
        self.piece_bytes
    }

    /// Appends `records` in one frame and syncs it.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]; none of the records then counts as written, though
    /// they may appear after a restart.
    pub fn commit(&mut self, records: &[Vec<u8>]) -> Result<Synced, JournalError> {
        self.start_log()?;
        self.withdraw_replacement()?;
        let position = &self.position;
        let (frame, checksum) = format::encode_frame(
            position.generation,
            position.sequence,
            position.checksum,
            records,
        );
        let (slot, offset) = (position.slot, position.end);
        self.write(slot, offset, &frame)?;
        self.sync(slot)?;
        self.position.end += frame.len() as u64;
        self.position.sequence += 1;
        self.position.checksum = checksum;
        if let Some(replacement) = &mut self.replacement {
            replacement.tail.push(records.to_vec());
        }
        Ok(Synced::receipt())
    }

    /// Writes `snapshot` into the other slot, syncs it and starts an empty log there. The snapshot must hold
    /// everything that was appended before.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]; the journal then goes on in the present slot.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<Synced, JournalError> {
        self.begin_replacement(snapshot.to_vec())?;
        loop {
            if let Some(outcome) = self.continue_replacement() {
                return outcome;
            }
        }
    }

    /// Begins to write `snapshot` into the other slot, piece by piece, so that appends wait for one piece at
    /// most. The snapshot must hold everything that was appended before; what is appended meanwhile is added.
    ///
    /// # Errors
    /// As for [`Engine::replace`].
    pub fn begin_replacement(&mut self, snapshot: Vec<u8>) -> Result<(), JournalError> {
        self.start_log()?;
        self.withdraw_replacement()?;
        self.replacement = Some(Replacement {
            snapshot,
            written: 0,
            tail: Vec::new(),
        });
        Ok(())
    }

    /// Whether a replacement is under way.
    #[must_use]
    pub fn is_replacing(&self) -> bool {
        self.replacement.is_some()
    }

    /// Writes the next piece of a replacement; `None` while more remains to be done.
    pub fn continue_replacement(&mut self) -> Option<Result<Synced, JournalError>> {
        let mut replacement = self.replacement.take()?;
        let slot = self.position.slot.other();
        let start = replacement.written;
        let end = replacement.snapshot.len().min(start + self.piece_bytes);
        if end < replacement.snapshot.len() {
            let written = self.write(
                slot,
                (HEADER_BYTES + start) as u64,
                &replacement.snapshot[start..end],
            );
            if let Err(error) = written.and_then(|()| self.sync(slot)) {
                self.give_up(slot);
                return Some(Err(error));
            }
            replacement.written = end;
            self.replacement = Some(replacement);
            return None;
        }
        let outcome = self.end_replacement(&replacement);
        if outcome.is_err() && !self.replacement_in_doubt {
            self.give_up(slot);
        }
        Some(outcome)
    }

    /// Writes the last piece and what was appended meanwhile, then the head, and goes on in the new slot.
    ///
    /// The head makes the slot the newer one, so it is written only once all the rest is synced: with a head
    /// and without the appended frames, a loss of power would bring the slot back without acknowledged
    /// records.
    fn end_replacement(&mut self, replacement: &Replacement) -> Result<Synced, JournalError> {
        let previous = self.position.slot;
        let start = replacement.written;
        let (position, tail) = self.tail_frames(replacement);
        self.write(
            position.slot,
            (HEADER_BYTES + start) as u64,
            &replacement.snapshot[start..],
        )?;
        self.write(position.slot, position.log_start, &tail)?;
        self.truncate(position.slot, position.end)?;
        self.sync(position.slot)?;
        self.replacement_in_doubt = true;
        let header = self.next_header(&replacement.snapshot);
        self.write(position.slot, 0, &format::encode_header(&header))?;
        self.sync(position.slot)?;
        self.replacement_in_doubt = false;
        self.position = position;
        self.give_up(previous);
        Ok(Synced::receipt())
    }

    /// Frames of the batches that were committed during a replacement, and where the log ends behind them.
    fn tail_frames(&self, replacement: &Replacement) -> (Position, Vec<u8>) {
        let header = self.next_header(&replacement.snapshot);
        let mut position = start_of_log(self.position.slot.other(), &header);
        let mut bytes = Vec::new();
        for records in &replacement.tail {
            let (frame, checksum) = format::encode_frame(
                position.generation,
                position.sequence,
                position.checksum,
                records,
            );
            bytes.extend_from_slice(&frame);
            position.sequence += 1;
            position.checksum = checksum;
        }
        position.end += bytes.len() as u64;
        (position, bytes)
    }

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

    /// Writes the first head of an empty journal.
    fn start_log(&mut self) -> Result<(), JournalError> {
        if self.position.generation > 0 {
            return Ok(());
        }
        let header = self.next_header(&[]);
        let position = start_of_log(self.position.slot.other(), &header);
        self.write(position.slot, 0, &format::encode_header(&header))?;
        self.truncate(position.slot, position.end)?;
        self.sync(position.slot)?;
        self.position = position;
        Ok(())
    }

    /// Makes sure that a replacement which failed midway does not outlive what is appended after it.
    fn withdraw_replacement(&mut self) -> Result<(), JournalError> {
        if self.replacement_in_doubt {
            let slot = self.position.slot.other();
            self.truncate(slot, 0)?;
            self.sync(slot)?;
            self.replacement_in_doubt = false;
        }
        Ok(())
    }

    /// Empties a slot that has been replaced, so that damage to the newer one cannot bring it back, or in
    /// which a replacement has failed, so that it takes no room. Failures are left: the slot in use is
    /// durable, and is preferred by its generation.
    fn give_up(&mut self, slot: Slot) {
        let emptied = self
            .disk
            .truncate(slot, 0)
            .and_then(|()| self.disk.sync(slot));
        if let Err(error) = emptied {
            tracing::warn!(%slot, %error, "the slot that is not in use could not be emptied");
        }
    }

    /// Removes what follows the last whole frame, and makes what was read durable: a process that was killed
    /// may have written it without a sync.
    fn settle_recovered(&mut self, content_length: u64) -> Result<(), JournalError> {
        let (slot, end) = (self.position.slot, self.position.end);
        if content_length > end {
            self.truncate(slot, end)?;
        }
        self.sync(slot)
    }

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
                    operation: "write",
                    kind,
                },
            })
    }

    fn truncate(&mut self, slot: Slot, length: u64) -> Result<(), JournalError> {
        let failed = |error: io::Error| JournalError::Io {
            slot,
            operation: "truncate",
            kind: error.kind(),
        };
        self.disk.truncate(slot, length).map_err(failed)
    }

    fn sync(&mut self, slot: Slot) -> Result<(), JournalError> {
        let failed = |error: io::Error| JournalError::Io {
            slot,
            operation: "sync",
            kind: error.kind(),
        };
        self.disk.sync(slot).map_err(failed)
    }
}
