//! Bytes as hexadecimal digits.

/// Two digits for each byte.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of digits that [`hex`] wrote.
pub(crate) fn unhex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16);
    (0..digits.len())
        .step_by(2)
        .map(|at| byte(at).unwrap_or_else(|e| panic!("{digits}: {e}")))
        .collect()
}
