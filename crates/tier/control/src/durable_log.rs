//! A member's durable state in the journal: numbered records after a snapshot.
//!
//! Records carry consecutive numbers. Where one is missing (an append failed, later ones did not), those
//! after the gap are left out: the driver reported none of them as synced. The life that starts from there
//! appends the missing number anew, behind what was left out; recovery goes on with it.

use woadreach_chain::{Durable, Record, RecordError};

/// Bytes of a record's number.
const NUMBER_BYTES: usize = 8;

/// What a journal held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredMember {
    pub durable: Durable,
    /// Number of the last record that is applied.
    pub number: u64,
}

/// A record with its number, as it is appended.
pub fn encode_record(number: u64, record: &Record) -> Vec<u8> {
    with_number(number, record.encode())
}

/// A snapshot with the number of the last record in it.
pub fn encode_snapshot(number: u64, durable: &Durable) -> Vec<u8> {
    with_number(number, durable.encode())
}

/// Rebuilds the state from a snapshot and the records after it.
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
