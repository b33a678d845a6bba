//! A member's durable state in the journal: numbered records after a snapshot.
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
    let (mut number, body) = split_number(snapshot)?;
    let mut durable = Durable::decode(body)?;
    for bytes in records {
        let (next, body) = split_number(bytes)?;
        if next != number + 1 {
            continue;
        }
        durable.apply(&Record::decode(body)?);
        number = next;
    }
    Ok(RecoveredMember { durable, number })
}

fn with_number(number: u64, body: Vec<u8>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(NUMBER_BYTES + body.len());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

fn split_number(bytes: &[u8]) -> Result<(u64, &[u8]), RecordError> {
    let (number, body) = bytes
        .split_first_chunk::<NUMBER_BYTES>()
        .ok_or(RecordError::Empty)?;
    Ok((u64::from_le_bytes(*number), body))
}
