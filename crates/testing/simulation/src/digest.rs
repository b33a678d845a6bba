//! Short digests, for comparing runs.

/// How many hexadecimal digits a digest has.
const DIGITS: usize = 16;

/// The digest of a text.
pub fn digest(text: &str) -> String {
    shorten(&blake3::hash(text.as_bytes()))
}

/// The first digits of a hash.
pub(crate) fn shorten(hash: &blake3::Hash) -> String {
    hash.to_hex()[..DIGITS].to_string()
}
