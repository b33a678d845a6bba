//! Encoding of a slot: a header, a snapshot, and frames of records. Lengths of fields are in bytes.
//!
//! ```text
//! header   magic 8 | version 1 | generation 8 | snapshot length 8 | snapshot crc 4 | header crc 4
//! snapshot bytes
//! frame    magic 4 | generation 8 | sequence 8 | payload length 4 | crc 4 | payload
//! payload  (record length 4 | record)*
//! ```
//!
//! Integers are little-endian. Checksums are CRC-32. The checksum of a frame covers the checksum of the frame
//! before it (for the first frame, the CRC-32 of the whole slot header), its own header and its payload. A
//! frame left over from an earlier use of the slot, or a frame after a gap, therefore does not match.

use crc32fast::Hasher;

/// Format version that is written, and the only one that is read.
pub(crate) const FORMAT_VERSION: u8 = 1;
/// Length of the slot header, which is also the offset of the snapshot.
pub(crate) const HEADER_BYTES: usize = 33;
/// Length of a frame's header, which precedes its payload.
pub(crate) const FRAME_HEADER_BYTES: usize = 28;

const SLOT_MAGIC: [u8; 8] = *b"WOADSLOT";
const FRAME_MAGIC: [u8; 4] = *b"WFRM";

/// Header of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    /// Number of the snapshot in the slot, counted from 1. The slot with the higher generation is current.
    pub(crate) generation: u64,
    /// Length of the snapshot in bytes.
    pub(crate) snapshot_length: u64,
    /// CRC-32 of the snapshot.
    pub(crate) snapshot_checksum: u32,
}

/// Outcome of decoding a slot's header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeaderState {
    /// The slot has no bytes, or all bytes of its header are zero.
    Empty,
    /// The header is incomplete, or its magic or checksum does not match.
    Corrupt,
    /// The header is intact and has this other format version.
    UnsupportedVersion(u8),
    /// The header is intact.
    Valid(Header),
}

/// A decoded frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    /// Sequence number of the frame in its log, counted from 0.
    pub(crate) sequence: u64,
    /// Checksum of the frame, which the checksum of the next frame covers.
    pub(crate) checksum: u32,
    /// Encoded records, see [`decode_records`].
    pub(crate) payload: &'a [u8],
}

/// An encoded frame.
#[derive(Debug)]
pub(crate) struct EncodedFrame {
    /// Header and payload of the frame.
    pub(crate) bytes: Vec<u8>,
    /// Checksum of the frame, which the checksum of the next frame covers.
    pub(crate) checksum: u32,
}

#[must_use]
pub(crate) fn encode_header(header: &Header) -> [u8; HEADER_BYTES] {
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

/// Decodes the header of a slot from the start of its content.
#[must_use]
pub(crate) fn decode_header(content: &[u8]) -> HeaderState {
    if content.is_empty() {
        return HeaderState::Empty;
    }
    let Some(bytes) = content.get(..HEADER_BYTES) else {
        return HeaderState::Corrupt;
    };
    if bytes.iter().all(|byte| *byte == 0) {
        return HeaderState::Empty;
    }
    if bytes[..8] != SLOT_MAGIC || read_u32(bytes, 29) != crc32fast::hash(&bytes[..29]) {
        return HeaderState::Corrupt;
    }
    if bytes[8] != FORMAT_VERSION {
        return HeaderState::UnsupportedVersion(bytes[8]);
    }
    HeaderState::Valid(Header {
        generation: read_u64(bytes, 9),
        snapshot_length: read_u64(bytes, 17),
        snapshot_checksum: read_u32(bytes, 25),
    })
}

/// Checksum that the first frame of a slot continues from: the CRC-32 of the whole slot header.
#[must_use]
pub(crate) fn initial_checksum(header: &Header) -> u32 {
    crc32fast::hash(&encode_header(header))
}

/// Encodes `records` as frame `sequence` of a slot's log. `previous_checksum` is the checksum of the frame
/// before it, or [`initial_checksum`].
#[must_use]
pub(crate) fn encode_frame(
    generation: u64,
    sequence: u64,
    previous_checksum: u32,
    records: &[Vec<u8>],
) -> EncodedFrame {
    let payload_length: usize = records.iter().map(|record| 4 + record.len()).sum();
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload_length);
    bytes.extend_from_slice(&FRAME_MAGIC);
    bytes.extend_from_slice(&generation.to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&encode_length(payload_length));
    bytes.extend_from_slice(&[0; 4]);
    for record in records {
        bytes.extend_from_slice(&encode_length(record.len()));
        bytes.extend_from_slice(record);
    }
    let checksum = frame_checksum(
        previous_checksum,
        &bytes[..24],
        &bytes[FRAME_HEADER_BYTES..],
    );
    bytes[24..28].copy_from_slice(&checksum.to_le_bytes());
    EncodedFrame { bytes, checksum }
}

/// Decodes the frame at the start of `content`. `None` if there is no complete frame of `generation` there, or
/// if its checksum does not continue from `previous_checksum`.
#[must_use]
pub(crate) fn decode_frame(
    content: &[u8],
    generation: u64,
    previous_checksum: u32,
) -> Option<Frame<'_>> {
    let header = content.get(..FRAME_HEADER_BYTES)?;
    if header[..4] != FRAME_MAGIC || read_u64(header, 4) != generation {
        return None;
    }
    let length = read_u32(header, 20) as usize;
    let payload = content.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES.checked_add(length)?)?;
    let checksum = read_u32(header, 24);
    let is_valid = checksum == frame_checksum(previous_checksum, &header[..24], payload);
    is_valid.then(|| Frame {
        sequence: read_u64(header, 12),
        checksum,
        payload,
    })
}

/// Whether `content` has, at any offset, a frame header of `generation` with a sequence number above
/// `sequence`.
///
/// At most one frame is unsynced at a time, so such a frame proves that the frames before it were acknowledged.
#[must_use]
pub(crate) fn contains_later_frame(content: &[u8], generation: u64, sequence: u64) -> bool {
    content.windows(FRAME_HEADER_BYTES).any(|header| {
        header[..4] == FRAME_MAGIC
            && read_u64(header, 4) == generation
            && read_u64(header, 12) > sequence
    })
}

/// Splits a frame's payload into records. `None` if a record's length exceeds the remaining payload.
#[must_use]
pub(crate) fn decode_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let length = read_u32(payload.get(..4)?, 0) as usize;
        let end = length.checked_add(4)?;
        records.push(payload.get(4..end)?.to_vec());
        payload = &payload[end..];
    }
    Some(records)
}

fn frame_checksum(previous_checksum: u32, header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&previous_checksum.to_le_bytes());
    hasher.update(header);
    hasher.update(payload);
    hasher.finalize()
}

fn encode_length(length: usize) -> [u8; 4] {
    u32::try_from(length)
        .expect("a record is shorter than 4 GiB")
        .to_le_bytes()
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().expect("four bytes"))
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(bytes[offset..offset + 8].try_into().expect("eight bytes"))
}
