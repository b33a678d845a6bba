//! Encoding of departures on a core machine's disk: one record for the departures that are written together, and a
//! snapshot of the same form that replaces all records.
//!
//! A record is a version byte followed by the `speedy` encoding of the statuses. Its recovery merges the statuses by
//! [`ReplicaStatus::is_newer_than`](crate::ReplicaStatus::is_newer_than), so records may repeat each other.

use snafu::{ResultExt, Snafu, ensure};
use speedy::{LittleEndian, Readable, Writable};

use crate::messages::StatusEntry;
use crate::status::IdentifiedStatus;

/// First byte of every record and snapshot.
pub const DEPARTURE_RECORD_VERSION: u8 = 1;

/// Why a record of departures cannot be decoded.
#[derive(Debug, Snafu)]
pub enum DepartureRecordError {
    /// The version byte is not [`DEPARTURE_RECORD_VERSION`], or missing.
    #[snafu(display(
        "record of departures has version {version:?}, expected {DEPARTURE_RECORD_VERSION}"
    ))]
    UnsupportedVersion {
        /// Version byte of the record; `None` if the record is empty.
        version: Option<u8>,
    },
    /// The bytes after the version are not the encoding of statuses.
    #[snafu(display("record of departures cannot be decoded"))]
    MalformedRecord {
        /// Error from the decoder.
        source: speedy::Error,
    },
}

/// Encodes a record or a snapshot.
pub fn encode_departures(departures: Vec<IdentifiedStatus>) -> Vec<u8> {
    let entries: Vec<StatusEntry> = departures
        .into_iter()
        .map(|departure| StatusEntry::new(departure.id, &departure.status))
        .collect();
    let mut bytes = vec![DEPARTURE_RECORD_VERSION];
    <[StatusEntry] as Writable<LittleEndian>>::write_to_stream(&entries, &mut bytes)
        .expect("the registry bounds all lengths to 32 bits");
    bytes
}

/// Decodes a record or a snapshot.
///
/// # Errors
/// [`DepartureRecordError`] if the bytes have another version or form.
pub fn decode_departures(bytes: &[u8]) -> Result<Vec<IdentifiedStatus>, DepartureRecordError> {
    let version = bytes.first().copied();
    ensure!(
        version == Some(DEPARTURE_RECORD_VERSION),
        UnsupportedVersionSnafu { version }
    );
    let entries = <Vec<StatusEntry> as Readable<LittleEndian>>::read_from_buffer(&bytes[1..])
        .context(MalformedRecordSnafu)?;
    Ok(entries.into_iter().map(StatusEntry::into_status).collect())
}
