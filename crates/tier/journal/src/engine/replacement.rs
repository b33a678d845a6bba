//! Replacement of the log by a snapshot in the other slot, while appends go on.

use super::Engine;
use crate::error::JournalError;
use crate::format::{HEADER_BYTES, encode_frame, encode_header};
use crate::recovery::LogPosition;
use crate::synced::Synced;

/// A snapshot that is being written into the slot that is not in use.
pub(super) struct Replacement {
    snapshot: Vec<u8>,
    /// Bytes of the snapshot that are written and synced.
    pub(super) written: usize,
    /// Batches that were committed to the slot in use since the replacement began. The snapshot lacks them.
    pub(super) tail: Vec<Vec<Vec<u8>>>,
}

/// The log of a slot that a replacement finishes.
struct EncodedLog {
    bytes: Vec<u8>,
    /// Position behind `bytes`.
    position: LogPosition,
}

impl Engine {
    /// Writes `snapshot` into the other slot, syncs it and starts an empty log there. The snapshot must hold
    /// everything that was appended before.
    ///
    /// # Errors
    /// [`JournalError::Full`] or [`JournalError::Io`]; the journal then continues in the present slot.
    pub fn replace(&mut self, snapshot: &[u8]) -> Result<Synced, JournalError> {
        self.begin_replacement(snapshot.to_vec())?;
        loop {
            if let Some(outcome) = self.continue_replacement() {
                return outcome;
            }
        }
    }

    /// Begins to write `snapshot` into the other slot, chunk by chunk, so that appends wait for one chunk at
    /// most. The snapshot must hold everything that was appended before; what is appended meanwhile is added
    /// to the new slot's log. A replacement that is under way is abandoned.
    ///
    /// # Errors
    /// As for [`Engine::replace`].
    pub fn begin_replacement(&mut self, snapshot: Vec<u8>) -> Result<(), JournalError> {
        self.initialize()?;
        self.discard_uncertain_replacement()?;
        self.replacement = Some(Replacement {
            snapshot,
            written: 0,
            tail: Vec::new(),
        });
        Ok(())
    }

    /// Whether a replacement is under way.
    #[must_use]
    pub fn is_replacing(&self) -> bool {
        self.replacement.is_some()
    }

    /// Writes the next chunk of a replacement. Returns the outcome once there is one, and `None` while chunks
    /// remain or if no replacement is under way.
    pub fn continue_replacement(&mut self) -> Option<Result<Synced, JournalError>> {
        let mut replacement = self.replacement.take()?;
        let slot = self.position.slot.other();
        let start = replacement.written;
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
            replacement.written = end;
            self.replacement = Some(replacement);
            return None;
        }
        let outcome = self.finish_replacement(&replacement);
        if outcome.is_err() && !self.is_replacement_uncertain {
            self.empty_slot(slot);
        }
        Some(outcome)
    }

    /// Writes the last chunk, the records appended meanwhile, and then the header, and switches to the new
    /// slot.
    ///
    /// The header makes the slot the newer one, so it must be written only once everything else is synced: if
    /// it were durable before the appended records, recovery after a loss of power would choose a slot
    /// without them.
    fn finish_replacement(&mut self, replacement: &Replacement) -> Result<Synced, JournalError> {
        let previous = self.position.slot;
        let start = replacement.written;
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

    /// Encodes the batches that were committed during a replacement as the log of the new slot.
    fn encode_log(&self, replacement: &Replacement) -> EncodedLog {
        let header = self.next_header(&replacement.snapshot);
        let mut position = LogPosition::after_snapshot(self.position.slot.other(), &header);
        let mut bytes = Vec::new();
        for records in &replacement.tail {
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

    /// Empties the slot of a replacement that failed while its header was written, so that recovery can't
    /// choose it over records that are appended from here on.
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
