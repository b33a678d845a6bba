//! Bytes of a slot: a header, a snapshot, and frames of records.
//!
//! ```text
//! header   magic 8 | version 1 | generation 8 | snapshot length 8 | snapshot crc 4 | header crc 4
//! snapshot bytes
//! frame    magic 4 | generation 8 | sequence 8 | payload length 4 | crc 4 | payload
//! payload  (record length 4 | record)*
//! ```
//!
//! Numbers are little-endian. The checksum of a frame covers its head, its payload and the checksum of what
//! precedes it, so that a frame of an earlier use of the slot, or one after a gap, never fits.

use crc32fast::Hasher;

/// The format that is read and written.
pub const FORMAT_VERSION: u8 = 1;
/// Bytes before the snapshot.
pub const HEADER_BYTES: usize = 33;
/// Bytes of a frame before its payload.
pub const FRAME_HEAD_BYTES: usize = 28;

const SLOT_MAGIC: [u8; 8] = *b"WOADSLOT";
const FRAME_MAGIC: [u8; 4] = *b"WFRM";

/// Decoded head of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Rises by one with each replacement; the slot with the higher one is in use.
    pub generation: u64,
    /// Bytes of the snapshot.
    pub snapshot_length: u64,
    /// Checksum of the snapshot.
    pub snapshot_checksum: u32,
}

/// What the head of a slot says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderState {
    /// Nothing was written, or the slot was given up.
    Blank,
    /// Written, and not readable.
    Damaged,
    /// Written by a program of another format.
    Other(u8),
    /// Readable.
    Valid(Header),
}

/// Frame found at some offset.
#[derive(Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Position in the log, from 0.
    pub sequence: u64,
    /// Checksum, from which the next frame's continues.
    pub checksum: u32,
    /// Encoded records.
    pub payload: &'a [u8],
}

/// Encodes the head of a slot.
#[must_use]
pub fn encode_header(header: &Header) -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..8].copy_from_slice(&SLOT_MAGIC);
    bytes[8] = FORMAT_VERSION;
    bytes[9..17].copy_from_slice(&header.generation.to_le_bytes());
    bytes[17..25].copy_from_slice(&header.snapshot_length.to_le_bytes());
    bytes[25..29].copy_from_slice(&header.snapshot_checksum.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..29]);
    bytes[29..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the head of a slot.
#[must_use]
pub fn decode_header(content: &[u8]) -> HeaderState {
    if content.is_empty() {
        return HeaderState::Blank;
    }
    let Some(bytes) = content.get(..HEADER_BYTES) else {
        return HeaderState::Damaged;
    };
    if bytes.iter().all(|byte| *byte == 0) {
        return HeaderState::Blank;
    }
    if bytes[..8] != SLOT_MAGIC || read_u32(bytes, 29) != crc32fast::hash(&bytes[..29]) {
        return HeaderState::Damaged;
    }
    if bytes[8] != FORMAT_VERSION {
        return HeaderState::Other(bytes[8]);
    }
    HeaderState::Valid(Header {
        generation: read_u64(bytes, 9),
        snapshot_length: read_u64(bytes, 17),
        snapshot_checksum: read_u32(bytes, 25),
    })
}

/// Checksum from which the first frame after a header continues.
#[must_use]
pub fn chain_start(header: &Header) -> u32 {
    crc32fast::hash(&encode_header(header))
}

/// Encodes `records` as one frame.
#[must_use]
pub fn encode_frame(
    generation: u64,
    sequence: u64,
    previous: u32,
    records: &[Vec<u8>],
) -> (Vec<u8>, u32) {
    let payload_length: usize = records.iter().map(|record| 4 + record.len()).sum();
    let mut bytes = Vec::with_capacity(FRAME_HEAD_BYTES + payload_length);
    bytes.extend_from_slice(&FRAME_MAGIC);
    bytes.extend_from_slice(&generation.to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&length_field(payload_length));
    bytes.extend_from_slice(&[0; 4]);
    for record in records {
        bytes.extend_from_slice(&length_field(record.len()));
        bytes.extend_from_slice(record);
    }
    let checksum = frame_checksum(previous, &bytes[..24], &bytes[FRAME_HEAD_BYTES..]);
    bytes[24..28].copy_from_slice(&checksum.to_le_bytes());
    (bytes, checksum)
}

/// Decodes the frame at the start of `content`, if it is whole and continues from `previous`.
#[must_use]
pub fn decode_frame(content: &[u8], generation: u64, previous: u32) -> Option<Frame<'_>> {
    let head = content.get(..FRAME_HEAD_BYTES)?;
    if head[..4] != FRAME_MAGIC || read_u64(head, 4) != generation {
        return None;
    }
    let length = read_u32(head, 20) as usize;
    let payload = content.get(FRAME_HEAD_BYTES..FRAME_HEAD_BYTES.checked_add(length)?)?;
    let checksum = read_u32(head, 24);
    let fits = checksum == frame_checksum(previous, &head[..24], payload);
    fits.then(|| Frame {
        sequence: read_u64(head, 12),
        checksum,
        payload,
    })
}

/// Whether a frame of `generation` later than `sequence` begins anywhere in `content`.
///
/// One frame at a time is unsynced, so a later one proves that what precedes it was acknowledged.
#[must_use]
pub fn holds_later_frame(content: &[u8], generation: u64, sequence: u64) -> bool {
    content.windows(FRAME_HEAD_BYTES).any(|head| {
        head[..4] == FRAME_MAGIC && read_u64(head, 4) == generation && read_u64(head, 12) > sequence
    })
}

/// Splits a frame's payload into records.
#[must_use]
pub fn decode_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let length = read_u32(payload.get(..4)?, 0) as usize;
        let end = length.checked_add(4)?;
        records.push(payload.get(4..end)?.to_vec());
        payload = &payload[end..];
    }
    Some(records)
}

fn frame_checksum(previous: u32, head: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&previous.to_le_bytes());
    hasher.update(head);
    hasher.update(payload);
    hasher.finalize()
}

fn length_field(length: usize) -> [u8; 4] {
    u32::try_from(length)
        .expect("a record is shorter than 4 GiB")
        .to_le_bytes()
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"))
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"))
}
