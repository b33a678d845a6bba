//! A member's durable state in the journal: numbered records after a snapshot. In a configuration change a
//! write is a record here before any member passes it on.
//!
//! Records carry consecutive numbers. Where one is missing (its append failed, and later ones did not),
//! recovery skips the records after the gap: the driver has reported none of them as synced. The incarnation
//! that starts from there appends the missing number anew, behind the skipped records, and a later recovery
//! continues with it.

use woadreach_chain::{Durable, Record, RecordError};

/// Bytes of a record's number.
const NUMBER_BYTES: usize = 8;

/// State of a member as its journal has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredMember {
    /// The state, with every record up to `number` applied.
    pub durable: Durable,
    /// Number of the last record that is applied; 0 before the first.
    pub number: u64,
}

/// Encodes a record for [`woadreach_journal::Journal::append`]. Its number must be one more than the last.
pub fn encode_record(number: u64, record: &Record) -> Vec<u8> {
    with_number(number, record.encode())
}

/// Encodes a snapshot for [`woadreach_journal::Journal::replace`]. `number` is that of the last record in it.
pub fn encode_snapshot(number: u64, durable: &Durable) -> Vec<u8> {
    with_number(number, durable.encode())
}

/// Rebuilds the state from a snapshot and the records after it.
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

/// A snapshot or a record as it is in the journal.
struct Numbered<'a> {
    /// Number of the record, or of the last record in the snapshot.
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
