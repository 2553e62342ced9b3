//! Reads lengths of bodies.

/// Reads one value of `Content-Length` (RFC 9110, 8.6): digits alone, between spaces and tabs.
/// `None` for anything else, and for a length that no body can have.
#[must_use]
pub fn parse(text: &str) -> Option<u64> {
    let digits = text.trim_matches([' ', '\t']);
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| digits.parse().ok()).flatten()
}
