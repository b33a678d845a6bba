//! Format and recovery of a journal, synchronous and without threads or clock.

use std::io;

use crate::disk::{Disk, Slot};
use crate::error::JournalError;
use crate::format::{self, HEADER_BYTES, Header, HeaderState};

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

/// What was found on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Newest snapshot, if one was ever written.
    pub snapshot: Option<Vec<u8>>,
    /// Records appended after it, in order.
    pub records: Vec<Vec<u8>>,
    /// Whether the disk held nothing at all: first start, or a lost disk.
    pub was_empty: bool,
}

/// Slot in use and where its log ends.
#[derive(Debug)]
struct Position {
    slot: Slot,
    generation: u64,
    log_start: u64,
    end: u64,
    sequence: u64,
    checksum: u32,
}

/// Journal on a [`Disk`].
pub struct Engine {
    disk: Box<dyn Disk>,
    position: Position,
    max_bytes: u64,
    /// A replacement failed midway: its slot may come out as the newer one after a restart.
    replacement_in_doubt: bool,
}

/// Content of a slot that can be read.
struct ReadableSlot {
    position: Position,
    recovered: Recovered,
    content_length: u64,
}

impl Engine {
    /// Reads what is on `disk`; the two files together stay below `max_bytes`.
    ///
    /// # Errors
    /// [`JournalError::Corrupt`] if acknowledged data is damaged, [`JournalError::Io`] or
    /// [`JournalError::Full`] if the disk does not work.
    pub fn open(mut disk: Box<dyn Disk>, max_bytes: u64) -> Result<(Engine, Recovered), JournalError> {
        let contents = [read_slot(disk.as_mut(), Slot::A)?, read_slot(disk.as_mut(), Slot::B)?];
        let Some(found) = newest_slot(&contents)? else {
            let position = blank_position();
            let engine = Engine { disk, position, max_bytes, replacement_in_doubt: false };
            return Ok((engine, Recovered { was_empty: true, ..Recovered::default() }));
        };
        let position = found.position;
        let mut engine = Engine { disk, position, max_bytes, replacement_in_doubt: false };
        engine.settle_recovered(found.content_length)?;
        Ok((engine, found.recovered))
    }

    /// Appends `records` in one frame and syncs it.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]; none of the records then counts as written, though
    /// they may appear after a restart.
    pub fn commit(&mut self, records: &[Vec<u8>]) -> Result<Synced, JournalError> {
        if self.position.generation == 0 {
            self.write_snapshot(&[])?;
        }
        self.withdraw_replacement()?;
        let position = &self.position;
        let (frame, checksum) =
            format::encode_frame(position.generation, position.sequence, position.checksum, records);
        let (slot, offset) = (position.slot, position.end);
        self.write(slot, offset, &frame)?;
        self.sync(slot)?;
        self.position.end += frame.len() as u64;
        self.position.sequence += 1;
        self.position.checksum = checksum;
        Ok(Synced::receipt())
    }

    /// Writes `snapshot` into the other slot, syncs it and starts an empty log there. The snapshot must hold
    /// everything that was appended before.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]; the journal then goes on in the present slot.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<Synced, JournalError> {
        let previous = self.position.slot;
        let had_previous = self.position.generation > 0;
        self.write_snapshot(snapshot)?;
        if had_previous {
            self.give_up(previous);
        }
        Ok(Synced::receipt())
    }

    /// Bytes of the log since the last snapshot.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.position.end - self.position.log_start
    }

    fn write_snapshot(&mut self, snapshot: &[u8]) -> Result<(), JournalError> {
        let slot = self.position.slot.other();
        let header = Header {
            generation: self.position.generation + 1,
            snapshot_length: snapshot.len() as u64,
            snapshot_checksum: crc32fast::hash(snapshot),
        };
        self.replacement_in_doubt = true;
        self.write(slot, HEADER_BYTES as u64, snapshot)?;
        self.write(slot, 0, &format::encode_header(&header))?;
        self.truncate(slot, HEADER_BYTES as u64 + header.snapshot_length)?;
        self.sync(slot)?;
        self.replacement_in_doubt = false;
        self.position = start_of_log(slot, &header);
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

    /// Empties a slot that has been replaced, so that damage to the newer one cannot bring it back. Failures
    /// are left: the newer slot is durable, and is preferred by its generation.
    fn give_up(&mut self, slot: Slot) {
        let emptied = self.disk.truncate(slot, 0).and_then(|()| self.disk.sync(slot));
        if let Err(error) = emptied {
            tracing::warn!(%slot, %error, "a replaced slot could not be emptied");
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
        let other_end = if slot == self.position.slot { 0 } else { self.position.end };
        if offset + wanted + other_end > self.max_bytes {
            return Err(JournalError::Full { slot, wanted });
        }
        self.disk.write(slot, offset, bytes).map_err(|error| match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                JournalError::Full { slot, wanted }
            }
            kind => JournalError::Io { slot, operation: "write", kind },
        })
    }

    fn truncate(&mut self, slot: Slot, length: u64) -> Result<(), JournalError> {
        let failed = |error: io::Error| JournalError::Io { slot, operation: "truncate", kind: error.kind() };
        self.disk.truncate(slot, length).map_err(failed)
    }

    fn sync(&mut self, slot: Slot) -> Result<(), JournalError> {
        let failed = |error: io::Error| JournalError::Io { slot, operation: "sync", kind: error.kind() };
        self.disk.sync(slot).map_err(failed)
    }
}

fn blank_position() -> Position {
    Position { slot: Slot::B, generation: 0, log_start: 0, end: 0, sequence: 0, checksum: 0 }
}

fn start_of_log(slot: Slot, header: &Header) -> Position {
    let log_start = HEADER_BYTES as u64 + header.snapshot_length;
    Position {
        slot,
        generation: header.generation,
        log_start,
        end: log_start,
        sequence: 0,
        checksum: format::chain_start(header),
    }
}

fn read_slot(disk: &mut dyn Disk, slot: Slot) -> Result<Vec<u8>, JournalError> {
    let failed = |error: io::Error| JournalError::Io { slot, operation: "read", kind: error.kind() };
    disk.read(slot).map_err(failed)
}

/// The readable slot of the highest generation; `None` if nothing was ever acknowledged.
fn newest_slot(contents: &[Vec<u8>; 2]) -> Result<Option<ReadableSlot>, JournalError> {
    let mut newest: Option<ReadableSlot> = None;
    let mut damaged: Option<JournalError> = None;
    for slot in Slot::ALL {
        match read_log(slot, &contents[slot.index()])? {
            SlotState::Blank => {}
            SlotState::Damaged(offset) => damaged = Some(JournalError::Corrupt { slot, offset }),
            SlotState::Readable(found) => {
                let newer =
                    newest.as_ref().is_none_or(|best| found.position.generation > best.position.generation);
                if newer {
                    newest = Some(*found);
                }
            }
        }
    }
    match (newest, damaged) {
        (Some(found), _) => Ok(Some(found)),
        (None, Some(error)) => Err(error),
        (None, None) => Ok(None),
    }
}

/// What a slot's bytes amount to.
enum SlotState {
    Blank,
    /// Unreadable from this byte on: a replacement that was never acknowledged, or damage.
    Damaged(u64),
    Readable(Box<ReadableSlot>),
}

fn read_log(slot: Slot, content: &[u8]) -> Result<SlotState, JournalError> {
    let header = match format::decode_header(content) {
        HeaderState::Blank => return Ok(SlotState::Blank),
        HeaderState::Damaged => return Ok(SlotState::Damaged(0)),
        HeaderState::Newer(version) => {
            return Err(JournalError::Version { slot, version, supported: format::FORMAT_VERSION });
        }
        HeaderState::Valid(header) => header,
    };
    let mut position = start_of_log(slot, &header);
    let Some(snapshot) = slice(content, HEADER_BYTES as u64, header.snapshot_length) else {
        return Ok(SlotState::Damaged(HEADER_BYTES as u64));
    };
    if crc32fast::hash(snapshot) != header.snapshot_checksum {
        return Ok(SlotState::Damaged(HEADER_BYTES as u64));
    }
    let records = read_frames(slot, content, &mut position)?;
    let snapshot = (header.generation > 1 || !snapshot.is_empty()).then(|| snapshot.to_vec());
    let recovered = Recovered { snapshot, records, was_empty: false };
    let content_length = content.len() as u64;
    Ok(SlotState::Readable(Box::new(ReadableSlot { position, recovered, content_length })))
}

fn read_frames(slot: Slot, content: &[u8], position: &mut Position) -> Result<Vec<Vec<u8>>, JournalError> {
    let mut records = Vec::new();
    loop {
        let rest = &content[usize::try_from(position.end).expect("an offset within the file")..];
        let frame = format::decode_frame(rest, position.generation, position.checksum);
        let decoded = frame
            .filter(|frame| frame.sequence == position.sequence)
            .and_then(|frame| Some((format::decode_records(frame.payload)?, frame)));
        let Some((decoded, frame)) = decoded else {
            if format::holds_later_frame(rest, position.generation, position.sequence) {
                return Err(JournalError::Corrupt { slot, offset: position.end });
            }
            return Ok(records);
        };
        records.extend(decoded);
        position.end += (format::FRAME_HEAD_BYTES + frame.payload.len()) as u64;
        position.sequence += 1;
        position.checksum = frame.checksum;
    }
}

fn slice(content: &[u8], start: u64, length: u64) -> Option<&[u8]> {
    let start = usize::try_from(start).ok()?;
    let end = start.checked_add(usize::try_from(length).ok()?)?;
    content.get(start..end)
}
