//! Encoding of a member's durable state in the journal: a snapshot followed by numbered records. In a
//! configuration change, a member writes a record here before it forwards the write.
//!
//! Records have consecutive numbers. A number is missing if its append failed while later appends succeeded.
//! Recovery then skips the records after the gap, none of which the driver has reported as synced. The next
//! incarnation appends a new record with the missing number after the skipped records, and a later recovery
//! continues from that record.

use woadreach_chain::{Durable, Record, RecordError};

/// Size in bytes of an encoded record number.
const NUMBER_BYTES: usize = 8;

/// State of a member recovered from its journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredMember {
    /// Durable state with every record up to `number` applied.
    pub durable: Durable,
    /// Number of the last applied record; 0 if none has been applied.
    pub number: u64,
}

/// Encodes a record for [`woadreach_journal::Journal::append`]. `number` must be one more than that of the
/// previous record.
pub fn encode_record(number: u64, record: &Record) -> Vec<u8> {
    with_number(number, record.encode())
}

/// Encodes a snapshot for [`woadreach_journal::Journal::replace`]. `number` is that of the last record that the
/// snapshot includes.
pub fn encode_snapshot(number: u64, durable: &Durable) -> Vec<u8> {
    with_number(number, durable.encode())
}

/// Rebuilds the state from a snapshot and the records in the log after it.
///
/// # Errors
/// [`RecordError`] if the snapshot or a record can't be decoded.
pub fn recover(snapshot: &[u8], records: &[Vec<u8>]) -> Result<RecoveredMember, RecordError> {
    let snapshot = Numbered::read(snapshot)?;
    let mut recovered = RecoveredMember {
        durable: Durable::decode(snapshot.body)?,
        number: snapshot.number,
    };
    for bytes in records {
        let record = Numbered::read(bytes)?;
        if record.number == recovered.number + 1 {
            recovered.durable.apply(&Record::decode(record.body)?);
            recovered.number = record.number;
        }
    }
    Ok(recovered)
}

/// A snapshot or a record, split into its number and its content.
struct Numbered<'a> {
    /// Number of the record, or of the last record that the snapshot includes.
    number: u64,
    /// The encoded snapshot or record.
    body: &'a [u8],
}

impl Numbered<'_> {
    fn read(bytes: &[u8]) -> Result<Numbered<'_>, RecordError> {
        let (number, body) = bytes
            .split_first_chunk::<NUMBER_BYTES>()
            .ok_or(RecordError::Empty)?;
        Ok(Numbered {
            number: u64::from_le_bytes(*number),
            body,
        })
    }
}

fn with_number(number: u64, body: Vec<u8>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(NUMBER_BYTES + body.len());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}
