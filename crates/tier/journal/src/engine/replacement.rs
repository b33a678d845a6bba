//! Replacement of the log by a snapshot in the unused slot, concurrent with appends.

use super::Engine;
use crate::error::JournalError;
use crate::format::{HEADER_BYTES, encode_frame, encode_header};
use crate::recovery::LogPosition;
use crate::synced::Synced;

/// A snapshot that is being written to the unused slot.
pub(super) struct Replacement {
    snapshot: Vec<u8>,
    /// Bytes of the snapshot that are already written and synced.
    pub(super) written_bytes: usize,
    /// Batches that were synced to the current slot after the replacement began, in order. The snapshot does
    /// not include them.
    pub(super) appended_batches: Vec<Vec<Vec<u8>>>,
}

/// Initial log of the slot that a replacement writes.
struct EncodedLog {
    bytes: Vec<u8>,
    /// Position after the last frame in `bytes`.
    position: LogPosition,
}

impl Engine {
    /// Writes `snapshot` to the unused slot, syncs it and starts an empty log there. The snapshot must include
    /// all records that were appended before this call.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]. The journal then continues in the current slot.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<Synced, JournalError> {
        self.begin_replacement(snapshot.to_vec())?;
        loop {
            if let Some(outcome) = self.continue_replacement() {
                return outcome;
            }
        }
    }

    /// Starts a replacement of the log by `snapshot`. [`Engine::continue_replacement`] writes it to the unused
    /// slot in chunks, so that an append is delayed by one chunk at most. The snapshot must include all
    /// records that were appended before this call. Records appended during the replacement are written to
    /// the new slot's log. A replacement already in progress is abandoned.
    ///
    /// # Errors
    /// As for [`Engine::replace`].
    pub fn begin_replacement(&mut self, snapshot: Vec<u8>) -> Result<(), JournalError> {
        self.initialize()?;
        self.discard_uncertain_replacement()?;
        self.replacement = Some(Replacement {
            snapshot,
            written_bytes: 0,
            appended_batches: Vec::new(),
        });
        Ok(())
    }

    /// Whether a replacement is in progress.
    #[must_use]
    pub fn is_replacing(&self) -> bool {
        self.replacement.is_some()
    }

    /// Writes and syncs the next chunk of the replacement in progress. Returns its outcome after the last chunk
    /// or an error, and `None` if chunks remain or no replacement is in progress.
    pub fn continue_replacement(&mut self) -> Option<Result<Synced, JournalError>> {
        let mut replacement = self.replacement.take()?;
        let slot = self.position.slot.other();
        let start = replacement.written_bytes;
        let end = replacement.snapshot.len().min(start + self.chunk_bytes);
        if end < replacement.snapshot.len() {
            let written = self.write(
                slot,
                (HEADER_BYTES + start) as u64,
                &replacement.snapshot[start..end],
            );
            if let Err(error) = written.and_then(|()| self.sync(slot)) {
                self.empty_slot(slot);
                return Some(Err(error));
            }
            replacement.written_bytes = end;
            self.replacement = Some(replacement);
            return None;
        }
        let outcome = self.finish_replacement(&replacement);
        if outcome.is_err() && !self.is_replacement_uncertain {
            self.empty_slot(slot);
        }
        Some(outcome)
    }

    /// Writes the last chunk and the records appended during the replacement, syncs them, then writes and
    /// syncs the header and switches to the new slot.
    ///
    /// The header makes recovery choose this slot, so it is written only after all other bytes are synced. If
    /// the header became durable before the appended records, recovery after a power loss would choose a slot
    /// without them.
    fn finish_replacement(&mut self, replacement: &Replacement) -> Result<Synced, JournalError> {
        let previous = self.position.slot;
        let start = replacement.written_bytes;
        let log = self.encode_log(replacement);
        let position = log.position;
        self.write(
            position.slot,
            (HEADER_BYTES + start) as u64,
            &replacement.snapshot[start..],
        )?;
        self.write(position.slot, position.log_start, &log.bytes)?;
        self.truncate(position.slot, position.end)?;
        self.sync(position.slot)?;
        self.is_replacement_uncertain = true;
        let header = self.next_header(&replacement.snapshot);
        self.write(position.slot, 0, &encode_header(&header))?;
        self.sync(position.slot)?;
        self.is_replacement_uncertain = false;
        self.position = position;
        self.empty_slot(previous);
        Ok(Synced::receipt())
    }

    /// Encodes the batches that were appended during the replacement as the log of the new slot.
    fn encode_log(&self, replacement: &Replacement) -> EncodedLog {
        let header = self.next_header(&replacement.snapshot);
        let mut position = LogPosition::after_snapshot(self.position.slot.other(), &header);
        let mut bytes = Vec::new();
        for records in &replacement.appended_batches {
            let frame = encode_frame(
                position.generation,
                position.sequence,
                position.checksum,
                records,
            );
            bytes.extend_from_slice(&frame.bytes);
            position.advance(frame.bytes.len(), frame.checksum);
        }
        EncodedLog { bytes, position }
    }

    /// Empties the unused slot if a replacement failed while its header was written or synced. Otherwise
    /// recovery might choose that slot, which lacks the records that are appended to the current slot later.
    pub(super) fn discard_uncertain_replacement(&mut self) -> Result<(), JournalError> {
        if self.is_replacement_uncertain {
            let slot = self.position.slot.other();
            self.truncate(slot, 0)?;
            self.sync(slot)?;
            self.is_replacement_uncertain = false;
        }
        Ok(())
    }
}
