//! What decoders make of bytes that were changed.

use std::fmt::Display;

/// The text of an error, or `read`.
pub(crate) fn outcome<T, E: Display>(result: Result<T, E>) -> String {
    result.map_or_else(|error| error.to_string(), |_| "read".to_owned())
}

/// Outcomes of decoding `bytes` cut to each length below their own, as the first length of each run of the same
/// [`outcome`].
pub(crate) fn outcomes_when_cut<T, E: Display>(
    bytes: &[u8],
    decode: impl Fn(&[u8]) -> Result<T, E>,
) -> Vec<(usize, String)> {
    let mut runs: Vec<(usize, String)> = Vec::new();
    for length in 0..bytes.len() {
        let outcome = outcome(decode(&bytes[..length]));
        if runs.last().is_none_or(|(_, last)| *last != outcome) {
            runs.push((length, outcome));
        }
    }
    runs
}

/// Checks that a message of version 1 with another version in its first byte, and the beginning of another
/// program's file, are rejected with the error for the version that was found.
pub(crate) fn assert_other_versions_are_named<T, E: Display>(
    name: &str,
    bytes: &[u8],
    decode: impl Fn(&[u8]) -> Result<T, E>,
    error_for_version: impl Fn(u8) -> String,
) {
    for version in [0, 2, 255] {
        let other = [&[version], &bytes[1..]].concat();
        assert_eq!(
            outcome(decode(&other)),
            error_for_version(version),
            "{name}"
        );
    }
    assert_eq!(
        outcome(decode(b"WOADSLOT")),
        error_for_version(87),
        "{name}"
    );
}

/// What becomes of these bytes with one of them inverted, a letter for each of them: `t` where they are
/// taken, `r` where they are refused.
pub(crate) fn inverted(bytes: &[u8], taken: impl Fn(&[u8]) -> bool) -> String {
    let outcome = |at: usize| {
        let mut bytes = bytes.to_vec();
        bytes[at] = !bytes[at];
        if taken(&bytes) { 't' } else { 'r' }
    };
    (0..bytes.len()).map(outcome).collect()
}
