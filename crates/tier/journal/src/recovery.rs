//! Recovery: finds the newest of the two slots and the end of its log.

use std::io;

use crate::disk::Disk;
use crate::error::{DiskOperation, JournalError};
use crate::format::{
    FORMAT_VERSION, FRAME_HEADER_BYTES, HEADER_BYTES, Header, HeaderState, contains_later_frame,
    decode_frame, decode_header, decode_records, initial_checksum,
};
use crate::slot::Slot;

/// State that was recovered from a disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest snapshot; `None` if no snapshot was written yet.
    pub snapshot: Option<Vec<u8>>,
    /// Records that were appended after the snapshot, in order. They include all acknowledged ones, and may include
    /// a batch that was not acknowledged.
    pub records: Vec<Vec<u8>>,
    /// Whether the disk was empty: on the first start, or after the disk was replaced or discarded.
    pub was_empty: bool,
}

/// Current slot and the end of its log, where the next frame is written.
#[derive(Debug)]
pub(crate) struct LogPosition {
    pub(crate) slot: Slot,
    /// Generation of the slot, counted from 1; 0 on an empty disk.
    pub(crate) generation: u64,
    /// Offset of the first frame in bytes.
    pub(crate) log_start: u64,
    /// Offset of the end of the last frame in bytes, not less than `log_start`.
    pub(crate) end: u64,
    /// Sequence number of the next frame, equal to the number of frames in the log.
    pub(crate) sequence: u64,
    /// Checksum of the last frame, or of the slot's header if the log is empty. The next frame's checksum
    /// continues from it.
    pub(crate) checksum: u32,
}

/// A slot that is not corrupt.
pub(crate) struct IntactSlot {
    pub(crate) position: LogPosition,
    pub(crate) recovered: Recovered,
    /// Length of the file in bytes. Bytes from `position.end` on are a torn tail.
    pub(crate) content_length: u64,
}

impl LogPosition {
    /// Position on a disk without any slot. The current slot is B, so that the first header is written to the
    /// other one, `slot-a`.
    pub(crate) fn for_empty_disk() -> LogPosition {
        LogPosition {
            slot: Slot::B,
            generation: 0,
            log_start: 0,
            end: 0,
            sequence: 0,
            checksum: 0,
        }
    }

    /// Position of the first frame in a slot with `header`.
    pub(crate) fn after_snapshot(slot: Slot, header: &Header) -> LogPosition {
        let log_start = HEADER_BYTES as u64 + header.snapshot_length;
        LogPosition {
            slot,
            generation: header.generation,
            log_start,
            end: log_start,
            sequence: 0,
            checksum: initial_checksum(header),
        }
    }

    /// Moves past a frame of `frame_bytes` bytes, header included, with checksum `checksum`.
    pub(crate) fn advance(&mut self, frame_bytes: usize, checksum: u32) {
        self.end += frame_bytes as u64;
        self.sequence += 1;
        self.checksum = checksum;
    }
}

pub(crate) fn read_slot(disk: &mut dyn Disk, slot: Slot) -> Result<Vec<u8>, JournalError> {
    let failed = |error: io::Error| JournalError::Io {
        slot,
        operation: DiskOperation::Read,
        kind: error.kind(),
    };
    disk.read(slot).map_err(failed)
}

/// Returns the intact slot of the highest generation; `None` if both slots are empty.
///
/// # Errors
/// [`JournalError::Corrupt`] if a slot is corrupt and may be the newest, [`JournalError::Version`] if one has
/// another format version.
pub(crate) fn newest_slot(contents: &[Vec<u8>; 2]) -> Result<Option<IntactSlot>, JournalError> {
    let mut newest: Option<IntactSlot> = None;
    let mut corrupt: Option<CorruptSlot> = None;
    for slot in Slot::ALL {
        match slot_state(slot, &contents[slot.index()])? {
            SlotState::Empty => {}
            SlotState::Corrupt {
                offset,
                acknowledged_generation,
            } => {
                corrupt = Some(CorruptSlot {
                    acknowledged_generation: acknowledged_generation.unwrap_or(0),
                    error: JournalError::Corrupt { slot, offset },
                });
            }
            SlotState::Intact(found) => {
                let is_newer = newest
                    .as_ref()
                    .is_none_or(|best| found.position.generation > best.position.generation);
                if is_newer {
                    newest = Some(*found);
                }
            }
        }
    }
    let generation = newest.as_ref().map(|found| found.position.generation);
    match corrupt {
        Some(corrupt)
            if generation.is_none_or(|newest| newest < corrupt.acknowledged_generation) =>
        {
            Err(corrupt.error)
        }
        _ => Ok(newest),
    }
}

struct CorruptSlot {
    /// Generation of the slot if it is known to have been acknowledged, else 0.
    acknowledged_generation: u64,
    error: JournalError,
}

/// State of a slot, derived from its content.
enum SlotState {
    Empty,
    /// The header, snapshot or frame at `offset` is incomplete or fails its check. Either a replacement
    /// that overwrote this slot was interrupted before it was acknowledged, or acknowledged data was damaged.
    Corrupt {
        offset: u64,
        /// Generation of the slot, if frames after the corruption prove that it was acknowledged.
        acknowledged_generation: Option<u64>,
    },
    Intact(Box<IntactSlot>),
}

fn slot_state(slot: Slot, content: &[u8]) -> Result<SlotState, JournalError> {
    let header = match decode_header(content) {
        HeaderState::Empty => return Ok(SlotState::Empty),
        HeaderState::Corrupt => return Ok(corrupt_from(0)),
        HeaderState::UnsupportedVersion(version) => {
            return Err(JournalError::Version {
                slot,
                version,
                supported: FORMAT_VERSION,
            });
        }
        HeaderState::Valid(header) => header,
    };
    let mut position = LogPosition::after_snapshot(slot, &header);
    let Some(snapshot) = slice(content, HEADER_BYTES as u64, header.snapshot_length) else {
        return Ok(corrupt_from(HEADER_BYTES as u64));
    };
    if crc32fast::hash(snapshot) != header.snapshot_checksum {
        return Ok(corrupt_from(HEADER_BYTES as u64));
    }
    let Some(records) = read_frames(content, &mut position) else {
        let acknowledged_generation = Some(header.generation);
        return Ok(SlotState::Corrupt {
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
    Ok(SlotState::Intact(Box::new(IntactSlot {
        position,
        recovered,
        content_length,
    })))
}

/// State of a corrupt slot whose generation is not known to have been acknowledged.
fn corrupt_from(offset: u64) -> SlotState {
    SlotState::Corrupt {
        offset,
        acknowledged_generation: None,
    }
}

/// Reads the records of all frames before the torn tail and moves `position` past them. `None` if a later frame
/// proves that the first invalid one was acknowledged.
fn read_frames(content: &[u8], position: &mut LogPosition) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    loop {
        let rest = &content[usize::try_from(position.end).expect("an offset within the file")..];
        let frame = decode_frame(rest, position.generation, position.checksum);
        let decoded = frame
            .filter(|frame| frame.sequence == position.sequence)
            .and_then(|frame| Some((decode_records(frame.payload)?, frame)));
        let Some((decoded, frame)) = decoded else {
            let is_acknowledged =
                contains_later_frame(rest, position.generation, position.sequence);
            return (!is_acknowledged).then_some(records);
        };
        records.extend(decoded);
        let frame_bytes = FRAME_HEADER_BYTES + frame.payload.len();
        position.advance(frame_bytes, frame.checksum);
    }
}

fn slice(content: &[u8], start: u64, length: u64) -> Option<&[u8]> {
    let start = usize::try_from(start).ok()?;
    let end = start.checked_add(usize::try_from(length).ok()?)?;
    content.get(start..end)
}
