//! Hash function of the digests by which core machines compare the content of replica records
//! ([`ReplicaRecord::content_digest`](crate::ReplicaRecord::content_digest)).

/// FNV-1a, 32 bits (Fowler, Noll and Vo; draft-eastlake-fnv).
pub(crate) struct Fnv32(u32);

impl Fnv32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;

    /// Starts a hash of empty input.
    pub(crate) fn new() -> Self {
        Self(Self::OFFSET)
    }

    fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u32::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }

    /// Adds the length of `text` and its bytes.
    pub(crate) fn add_text(&mut self, text: &str) {
        self.add_number(text.len() as u64);
        self.add_bytes(text.as_bytes());
    }

    /// Adds the little-endian bytes of `number`.
    pub(crate) fn add_number(&mut self, number: u64) {
        self.add_bytes(&number.to_le_bytes());
    }

    /// Returns the hash of the added values.
    pub(crate) fn finish(self) -> u32 {
        self.0
    }
}
