//! What a journal's two slots amount to after a restart.

use std::io;

use crate::disk::{Disk, Slot};
use crate::error::JournalError;
use crate::format::{self, HEADER_BYTES, Header, HeaderState};

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
pub(crate) struct Position {
    pub(crate) slot: Slot,
    pub(crate) generation: u64,
    pub(crate) log_start: u64,
    pub(crate) end: u64,
    pub(crate) sequence: u64,
    pub(crate) checksum: u32,
}

/// Content of a slot that can be read.
pub(crate) struct ReadableSlot {
    pub(crate) position: Position,
    pub(crate) recovered: Recovered,
    pub(crate) content_length: u64,
}

pub(crate) fn blank_position() -> Position {
    Position {
        slot: Slot::B,
        generation: 0,
        log_start: 0,
        end: 0,
        sequence: 0,
        checksum: 0,
    }
}

pub(crate) fn start_of_log(slot: Slot, header: &Header) -> Position {
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

pub(crate) fn read_slot(disk: &mut dyn Disk, slot: Slot) -> Result<Vec<u8>, JournalError> {
    let failed = |error: io::Error| JournalError::Io {
        slot,
        operation: "read",
        kind: error.kind(),
    };
    disk.read(slot).map_err(failed)
}

/// The readable slot of the highest generation; `None` if nothing was ever acknowledged.
pub(crate) fn newest_slot(contents: &[Vec<u8>; 2]) -> Result<Option<ReadableSlot>, JournalError> {
    let mut newest: Option<ReadableSlot> = None;
    let mut damaged: Option<(u64, JournalError)> = None;
    for slot in Slot::ALL {
        match read_log(slot, &contents[slot.index()])? {
            SlotState::Blank => {}
            SlotState::Damaged {
                offset,
                acknowledged_generation,
            } => {
                let error = JournalError::Corrupt { slot, offset };
                damaged = Some((acknowledged_generation.unwrap_or(0), error));
            }
            SlotState::Readable(found) => {
                let newer = newest
                    .as_ref()
                    .is_none_or(|best| found.position.generation > best.position.generation);
                if newer {
                    newest = Some(*found);
                }
            }
        }
    }
    let generation = newest.as_ref().map(|found| found.position.generation);
    match damaged {
        Some((acknowledged, error)) if generation.is_none_or(|newest| newest < acknowledged) => {
            Err(error)
        }
        _ => Ok(newest),
    }
}

/// What a slot's bytes amount to.
enum SlotState {
    Blank,
    /// Unreadable from this byte on: a replacement that was never acknowledged, an older slot that is being
    /// replaced, or damage.
    Damaged {
        offset: u64,
        /// Generation, if frames behind the damage prove that it was acknowledged.
        acknowledged_generation: Option<u64>,
    },
    Readable(Box<ReadableSlot>),
}

fn read_log(slot: Slot, content: &[u8]) -> Result<SlotState, JournalError> {
    let header = match format::decode_header(content) {
        HeaderState::Blank => return Ok(SlotState::Blank),
        HeaderState::Damaged => return Ok(damaged(0)),
        HeaderState::Other(version) => {
            return Err(JournalError::Version {
                slot,
                version,
                supported: format::FORMAT_VERSION,
            });
        }
        HeaderState::Valid(header) => header,
    };
    let mut position = start_of_log(slot, &header);
    let Some(snapshot) = slice(content, HEADER_BYTES as u64, header.snapshot_length) else {
        return Ok(damaged(HEADER_BYTES as u64));
    };
    if crc32fast::hash(snapshot) != header.snapshot_checksum {
        return Ok(damaged(HEADER_BYTES as u64));
    }
    let Some(records) = read_frames(content, &mut position) else {
        let acknowledged_generation = Some(header.generation);
        return Ok(SlotState::Damaged {
            offset: position.end,
            acknowledged_generation,
        });
    };
    let snapshot = (header.generation > 1 || !snapshot.is_empty()).then(|| snapshot.to_vec());
    let recovered = Recovered {
        snapshot,
        records,
        was_empty: false,
    };
    let content_length = content.len() as u64;
    Ok(SlotState::Readable(Box::new(ReadableSlot {
        position,
        recovered,
        content_length,
    })))
}

/// Damage of which nothing proves that it was acknowledged.
fn damaged(offset: u64) -> SlotState {
    SlotState::Damaged {
        offset,
        acknowledged_generation: None,
    }
}

/// Records of the frames up to the torn tail; `None` if acknowledged frames follow the first that is not
/// whole.
fn read_frames(content: &[u8], position: &mut Position) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    loop {
        let rest = &content[usize::try_from(position.end).expect("an offset within the file")..];
        let frame = format::decode_frame(rest, position.generation, position.checksum);
        let decoded = frame
            .filter(|frame| frame.sequence == position.sequence)
            .and_then(|frame| Some((format::decode_records(frame.payload)?, frame)));
        let Some((decoded, frame)) = decoded else {
            let later = format::holds_later_frame(rest, position.generation, position.sequence);
            return (!later).then_some(records);
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
